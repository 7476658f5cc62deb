"""Measures the cost of membership and configuration by number of members.

Run as ``python -m measurements.membership 9 50 390``. It runs the real
systems and the real Thrift encoding in virtual time. CPU time includes the
systems and the encoding, but no sockets.
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
_JOINS_PER_S = 20
_PHASE_S = 10.0
_TIMEOUT_S = 30.0
_FRAME_HEADER_BYTES = 4
_PACKET_HEADER_BYTES = 66


@dataclasses.dataclass(slots=True)
class Result:
    """One row of the report; all rates are per member."""

    members: int
    phase: str
    sent_kb_s: float
    received_kb_s: float
    calls_s: float
    core_share: float
    fresh_share: float
    suspected: int


class Meter:
    """Counts bytes, calls and CPU time of a whole fleet."""

    def __init__(self):
        self.reset()

    def reset(self):
        """Reset all counts to zero."""
        self.bytes = 0
        self.calls = 0
        self.busy_s = 0.0

    def time(self, function):
        """Return a wrapper that counts the CPU time of a function."""

        def run(*args):
            start_at = time.thread_time()
            try:
                return function(*args)
            finally:
                self.busy_s += time.thread_time() - start_at

        return run

    def transfer(self, beat, call_type, **fields):
        """Encode and decode a heartbeat, and count its bytes."""
        start_at = time.thread_time()
        transport = TTransport.TMemoryBuffer()
        protocol = TBinaryProtocol.TBinaryProtocolAccelerated(transport)
        message = call_type(
            **fields, **{_get_field_name(call_type): _encode_heartbeat(beat)}
        )
        message.write(protocol)
        data = transport.getvalue()
        transport = TTransport.TMemoryBuffer(data)
        protocol = TBinaryProtocol.TBinaryProtocolAccelerated(transport)
        copy = call_type()
        copy.read(protocol)
        result = peers.decode_heartbeat(
            getattr(copy, _get_field_name(call_type))
        )
        self.busy_s += time.thread_time() - start_at
        header = len('exchange') + 12
        self.bytes += (
            len(data) + header + _FRAME_HEADER_BYTES + _PACKET_HEADER_BYTES
        )
        self.calls += 1
        return result


def _get_field_name(call_type):
    return 'beat' if call_type is Peer.exchange_args else 'success'


def _encode_heartbeat(beat):
    return peers.encode_heartbeat(beat)


class MeteredFleet(testing.Fleet):
    """A simulated fleet that encodes and decodes all heartbeats."""

    def __init__(self, seed, meter, *args):
        super().__init__(seed, *args)
        self.meter = meter

    def _receive_heartbeat(self, node, peer, beat, sent_at, answered):
        beat = self.meter.transfer(beat, Peer.exchange_args, peer_key=_KEY)
        super()._receive_heartbeat(node, peer, beat, sent_at, answered)

    def _return_heartbeat(self, node, returned, answered):
        beat = self.meter.transfer(returned.beat, Peer.exchange_result)
        returned = dataclasses.replace(returned, beat=beat)
        super()._return_heartbeat(node, returned, answered)


def create_fleet(members, meter):
    """Return a fleet of which all members have joined."""
    plain = testing.create_fleet(1)
    systems = (configuration, membership)
    fleet = MeteredFleet(
        1, meter, systems, plain.run_functions, plain.platform
    )
    for key, handler in fleet.handlers.items():
        fleet.handlers[key] = meter.time(handler)
    for key, handler in fleet.purposes.items():
        fleet.purposes[key] = meter.time(handler)
    fleet.run_functions = tuple(map(meter.time, fleet.run_functions))
    for number in range(members):
        name = f'entry-{number:03d}'
        fleet.start(name, prepare=testing.fill_endpoints)
        if number % _JOINS_PER_S == _JOINS_PER_S - 1:
            fleet.run(1.0)
    start_at = fleet.now
    first = fleet.nodes['entry-000'].T
    while len(first.config.members) < members:
        fleet.run(1.0)
    print(f'{members}: all joined {fleet.now - start_at:.0f} s after the last')
    fleet.run(5.0)
    return fleet


def measure_phase(fleet, phase):
    """Run the fleet for a phase and return its cost per member."""
    meter = fleet.meter
    members = len(fleet.live_nodes())
    meter.reset()
    fresh = observations = 0
    seconds = int(_PHASE_S)
    for _ in range(seconds):
        fleet.run(1.0)
        for node in fleet.live_nodes():
            now = fleet.read_clock(node)
            fresh += configuration.is_fresh(node.T, now)
            observations += 1
    kb_s = meter.bytes / 1000 / seconds / members
    return Result(
        members=members,
        phase=phase,
        sent_kb_s=kb_s,
        received_kb_s=kb_s,
        calls_s=meter.calls / seconds / members,
        core_share=meter.busy_s / seconds / members,
        fresh_share=fresh / observations,
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
    """Commit a change and return when it is in force and accepted.

    Parameters
    ----------
    fleet : MeteredFleet
    command : str
        Identifier of the command.
    outage : bool
        Whether the platform goes down right after the commit.

    Returns
    -------
    in_force_s, accepted_s : float or None
        Time after the commit, seconds; None if it exceeds the limit.
    """
    node = fleet.live_nodes()[0]
    intent = intents.SetWeight('studio', 2.0)
    before = node.T.config.version
    fleet.handle_input(node, CommandArrived(command, 'ada', intent))
    while node.T.config.version == before:
        fleet.run(0.001)
    fleet.platform.up = not outage
    version = node.T.config.version
    start_at = fleet.now
    in_force_s = accepted_s = None
    while fleet.now - start_at < _TIMEOUT_S and not (
        in_force_s and accepted_s
    ):
        fleet.run(0.05)
        tables = [n.T for n in fleet.live_nodes()]
        if not in_force_s and all(T.config.version >= version for T in tables):
            in_force_s = fleet.now - start_at
        is_accepted = configuration.get_accepted_version(node.T) >= version
        if not accepted_s and is_accepted:
            accepted_s = fleet.now - start_at
    return in_force_s, accepted_s


def measure_size(members):
    """Return the phases, the times of both changes and MB per member."""
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
    """Measure fleets of all sizes and print the tables of the report."""
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
            f'| {size} | {_format_time(up[0])} | {_format_time(up[1])}'
            f' | {_format_time(down[0])} and {_format_time(down[1])}'
            f' | {memory_mb:.1f} |'
        )


def _format_time(seconds):
    return 'not within the limit' if seconds is None else f'{seconds:.2f}'


if __name__ == '__main__':
    print_report([int(size) for size in sys.argv[1:]])
