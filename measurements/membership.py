"""Cost of membership and configuration by the number of members.

Virtual time, the real systems and the real thrift encoding; processor
time is that of the systems and the encoding, without sockets. Run with
``python -m measurements.membership 9 50 390``.
"""

import dataclasses
import resource
import sys
import time

from sniperudder.inputs import CommandArrived
from sniperudder import intents
from sniperudder import peers
from sniperudder.peers.gen.wire import Peer
from sniperudder.systems import configuration
from sniperudder.systems import membership
from sniperudder.tables import InstanceState
from sniperudder import testing
from thrift.protocol import TBinaryProtocol
from thrift.transport import TTransport

_KEY = 'k' * 32
_JOIN_PER_S = 20
_STEADY_S = 10.0
_LIMIT_S = 30.0
_FRAME_BYTES = 4
_PACKET_BYTES = 66


@dataclasses.dataclass(slots=True)
class Result:
    """One row of the report, all figures for one member."""

    members: int
    phase: str
    sent_kb_s: float
    received_kb_s: float
    calls_s: float
    core_share: float
    fresh_share: float
    suspected: int


class Meter:
    """Counts bytes, calls and processor time of a whole fleet."""

    def __init__(self):
        self.reset()

    def reset(self):
        """Count from zero again."""
        self.bytes = 0
        self.calls = 0
        self.busy_s = 0.0

    def time(self, function):
        """Return a function whose processor time is counted."""

        def run(*args):
            start = time.thread_time()
            try:
                return function(*args)
            finally:
                self.busy_s += time.thread_time() - start

        return run

    def carry(self, beat, call_type, **fields):
        """Encode and decode a heartbeat, as on the wire."""
        start = time.thread_time()
        transport = TTransport.TMemoryBuffer()
        protocol = TBinaryProtocol.TBinaryProtocolAccelerated(transport)
        message = call_type(**fields, **{_name(call_type): _encode(beat)})
        message.write(protocol)
        data = transport.getvalue()
        transport = TTransport.TMemoryBuffer(data)
        protocol = TBinaryProtocol.TBinaryProtocolAccelerated(transport)
        copy = call_type()
        copy.read(protocol)
        result = peers.decode_beat(getattr(copy, _name(call_type)))
        self.busy_s += time.thread_time() - start
        header = len('exchange') + 12
        self.bytes += len(data) + header + _FRAME_BYTES + _PACKET_BYTES
        self.calls += 1
        return result


def _name(call_type):
    return 'beat' if call_type is Peer.exchange_args else 'success'


def _encode(beat):
    return peers.encode_beat(beat)


class MeteredFleet(testing.Fleet):
    """A fleet whose heartbeats pass through the encoding."""

    def __init__(self, seed, meter, *args):
        super().__init__(seed, *args)
        self.meter = meter

    def _receive_beat(self, node, peer, beat, sent_at, answered):
        beat = self.meter.carry(beat, Peer.exchange_args, peer_key=_KEY)
        super()._receive_beat(node, peer, beat, sent_at, answered)

    def _return_beat(self, node, returned, answered):
        beat = self.meter.carry(returned.beat, Peer.exchange_result)
        returned = dataclasses.replace(returned, beat=beat)
        super()._return_beat(node, returned, answered)


def create_fleet(members, meter):
    """Return a fleet all of whose members have joined."""
    plain = testing.create_fleet(1)
    systems = (configuration, membership)
    fleet = MeteredFleet(1, meter, systems, plain.runs, plain.platform)
    for key, handler in fleet.handlers.items():
        fleet.handlers[key] = meter.time(handler)
    for key, handler in fleet.purposes.items():
        fleet.purposes[key] = meter.time(handler)
    fleet.runs = tuple(map(meter.time, fleet.runs))
    for number in range(members):
        name = f'entry-{number:03d}'
        fleet.start(name, prepare=testing.fill_endpoints)
        if number % _JOIN_PER_S == _JOIN_PER_S - 1:
            fleet.run(1.0)
    start = fleet.now
    first = fleet.nodes['entry-000'].T
    while len(first.config.members) < members:
        fleet.run(1.0)
    print(f'{members}: all joined {fleet.now - start:.0f} s after the last')
    fleet.run(5.0)
    return fleet


def measure_phase(fleet, phase):
    """Let time pass and return what it cost a member."""
    meter = fleet.meter
    members = len(fleet.live_nodes())
    meter.reset()
    fresh = looked = 0
    seconds = int(_STEADY_S)
    for _ in range(seconds):
        fleet.run(1.0)
        for node in fleet.live_nodes():
            now = fleet.read_clock(node)
            fresh += configuration.is_fresh(node.T, now)
            looked += 1
    kb_s = meter.bytes / 1000 / seconds / members
    return Result(
        members=members,
        phase=phase,
        sent_kb_s=kb_s,
        received_kb_s=kb_s,
        calls_s=meter.calls / seconds / members,
        core_share=meter.busy_s / seconds / members,
        fresh_share=fresh / looked,
        suspected=_count_suspected(fleet),
    )


def _count_suspected(fleet):
    live = {node.name for node in fleet.live_nodes()}
    return sum(
        peer.state is not InstanceState.LIVE
        for node in fleet.live_nodes()
        for peer in node.T.instances.values()
        if peer.name in live
    )


def measure_change(fleet, command, outage):
    """Commit a change; return seconds until in force and accepted.

    Parameters
    ----------
    outage : bool
        Whether the platform goes down right after the commit.
    """
    node = fleet.live_nodes()[0]
    intent = intents.SetWeight('studio', 2.0)
    before = node.T.config.version
    fleet.give(node, CommandArrived(command, 'ada', intent))
    while node.T.config.version == before:
        fleet.run(0.001)
    fleet.platform.up = not outage
    version = node.T.config.version
    start = fleet.now
    force = accepted = None
    while fleet.now - start < _LIMIT_S and not (force and accepted):
        fleet.run(0.05)
        tables = [n.T for n in fleet.live_nodes()]
        if not force and all(T.config.version >= version for T in tables):
            force = fleet.now - start
        told = configuration.get_accepted(node.T) >= version
        if not accepted and told:
            accepted = fleet.now - start
    return force, accepted


def measure_size(members):
    """Measure one size and return its results and times."""
    meter = Meter()
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    fleet = create_fleet(members, meter)
    after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    memory_mb = (after - before) / 1024 / members
    results = [measure_phase(fleet, 'platform up')]
    up = measure_change(fleet, 'up', outage=False)
    down = measure_change(fleet, 'down', outage=True)
    fleet.run(5.0)
    results.append(measure_phase(fleet, 'platform down'))
    return results, up, down, memory_mb


def print_report(sizes):
    """Measure all sizes and print the tables of the report."""
    rows = [(size, measure_size(size)) for size in sizes]
    print(
        '| members | phase | KB/s out | KB/s in | messages/s out |'
        ' core | fresh | live peers suspected |'
    )
    print('|---|---|---|---|---|---|---|---|')
    for _, (results, _, _, _) in rows:
        for r in results:
            print(
                f'| {r.members} | {r.phase} | {r.sent_kb_s:.2f}'
                f' | {r.received_kb_s:.2f} | {r.calls_s:.1f}'
                f' | {100 * r.core_share:.2f} % | {100 * r.fresh_share:.1f} %'
                f' | {r.suspected} |'
            )
    print()
    print(
        '| members | in force everywhere, s | accepted, s |'
        ' the same in an outage, s | memory, MB |'
    )
    print('|---|---|---|---|---|')
    for size, (_, up, down, memory_mb) in rows:
        print(
            f'| {size} | {_show(up[0])} | {_show(up[1])}'
            f' | {_show(down[0])} and {_show(down[1])}'
            f' | {memory_mb:.1f} |'
        )


def _show(seconds):
    return 'not within the limit' if seconds is None else f'{seconds:.2f}'


if __name__ == '__main__':
    print_report([int(size) for size in sys.argv[1:]])
