"""Random workloads and faults for fleets of entries and engines."""

import dataclasses
import enum
import random

from sniperudder import inputs
from sniperudder import tables
from sniperudder.testing._engines import FakeEngine
from sniperudder.testing._engines import IterationTimes
from sniperudder.testing._engines import predict_tokens
from sniperudder.testing._streams import list_violations
from sniperudder.testing._streams import StreamFleet
from sniperudder.testing._virtual_time import VirtualTime

LAYERS = 8

_STAGES = (0, 4)
_SIMULATION_S = 40.0
_FAULT_WINDOW_S = 20.0
_DRAIN_S = 5.0
_MAX_CRASHES = 2
_LINK_SLACK_S = 0.01
# A step then exceeds its timeout, so that its result arrives late.
_SLOWDOWN_FACTOR = 150.0


class FaultKind(enum.Enum):
    """Kind of fault of an endpoint or an entry."""

    CRASH = 'crash'
    SLOW = 'slow'
    LOSE = 'lose'
    BREAK = 'break'
    WITHDRAW = 'withdraw'
    KILL_ENTRY = 'kill entry'
    STOP_ENTRY = 'stop entry'


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault; the last entry of a fleet is never killed or stopped."""

    time: float
    kind: FaultKind
    endpoint: str
    entry: str
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """One request and the behaviour of its caller."""

    time: float
    entry: str
    rank: tables.Rank
    organisation: str
    max_tokens: int
    leaves: bool = False
    poison: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StreamPlan:
    """Workload and faults of one run."""

    seed: int
    callers: tuple
    faults: tuple


def list_endpoints(copies=2):
    """Return the names of the endpoints of a random run's fleet."""
    return [f'ep-{first}-{n}' for first in _STAGES for n in range(copies)]


def draw_plan(
    seed, kinds=tuple(FaultKind), durations_s=(0.1, 6.0), max_faults=8
):
    """Return the random plan that belongs to a seed.

    Parameters
    ----------
    seed : int
    kinds : tuple of FaultKind
        Kinds of faults to draw from.
    durations_s : tuple of float
        Minimum and maximum duration of a fault, seconds.
    max_faults : int
        Largest number of faults.

    Examples
    --------
    >>> draw_plan(7) == draw_plan(7)
    True
    """
    rng = random.Random(seed)
    callers = [_draw_caller(rng) for _ in range(rng.randint(1, 40))]
    faults = [
        _draw_fault(rng, kinds, durations_s)
        for _ in range(rng.randint(0, max_faults))
    ]
    return StreamPlan(seed, tuple(callers), tuple(faults))


def _draw_caller(rng):
    behaviour = rng.choice(['stay', 'stay', 'stay', 'leave', 'poison'])
    return Caller(
        rng.uniform(0, _FAULT_WINDOW_S),
        f'entry-{rng.randrange(3)}',
        rng.choice(tables.RANKS),
        rng.choice(['big', 'small']),
        rng.randint(1, 30),
        behaviour == 'leave',
        behaviour == 'poison',
    )


def _draw_fault(rng, kinds, durations_s):
    return Fault(
        rng.uniform(0, _FAULT_WINDOW_S),
        rng.choice(kinds),
        rng.choice(list_endpoints()),
        f'entry-{rng.randrange(2)}',
        rng.uniform(*durations_s),
    )


class StreamSimulation:
    """Simulation of a fleet under one plan.

    Attributes
    ----------
    fleet : StreamFleet
    withdrawn : list of (str, float, float)
        Endpoint, start and end time of each withdrawal, seconds.
    """

    def __init__(self, plan, entries=3, copies=2, streams=4):
        self.plan = plan
        self.fleet = create_stream_fleet(entries, copies, streams, plan.seed)
        self.fleet.step_timeout_s = 1.0
        self.withdrawn = []

    def run(self):
        """Run the plan to its end and return this simulation."""
        clock = self.fleet.clock
        for number, caller in enumerate(self.plan.callers):
            clock.call_at(caller.time, self._send, number, caller)
        for fault in self.plan.faults:
            clock.call_at(fault.time, self._inject, fault)
        clock.run_until(_SIMULATION_S)
        for T in self.fleet.entries.values():
            for name in list(T.requests):
                self.fleet.submit(T.me, inputs.CallerDisconnected(name))
        clock.run_until(_SIMULATION_S + _DRAIN_S)
        return self

    def _send(self, number, caller):
        if caller.entry in self.fleet.dead:
            return
        prompt = f'prompt {number}'
        if caller.poison:
            prompt = f'{prompt} \0poison'
        arrival = inputs.RequestArrived(
            f'req-{number}',
            caller.organisation,
            caller.rank,
            'm',
            prompt,
            caller.max_tokens,
        )
        self.fleet.send_request(caller.entry, arrival)
        if caller.leaves:
            left = inputs.CallerDisconnected(arrival.request)
            clock = self.fleet.clock
            clock.call_in(0.3, self.fleet.submit, caller.entry, left)

    def _inject(self, fault):
        engine = self.fleet.engines[fault.endpoint]
        clock = self.fleet.clock
        match fault.kind:
            case FaultKind.CRASH:
                engine.crash(fault.duration_s)
            case FaultKind.SLOW:
                engine.slow = _SLOWDOWN_FACTOR
                clock.call_in(fault.duration_s, setattr, engine, 'slow', 1.0)
            case FaultKind.LOSE:
                self.fleet.lose.add(fault.endpoint)
                clock.call_in(
                    fault.duration_s, self.fleet.lose.discard, fault.endpoint
                )
            case FaultKind.BREAK:
                engine.break_calls()
            case FaultKind.WITHDRAW:
                self._withdraw(fault)
            case FaultKind.KILL_ENTRY:
                self.fleet.dead.add(fault.entry)
            case FaultKind.STOP_ENTRY:
                self.fleet.submit(fault.entry, inputs.StopRequested())

    def _withdraw(self, fault):
        begin = self.fleet.clock.now
        if any(name == fault.endpoint for name, _, _ in self.withdrawn):
            return
        self.withdrawn.append(
            (fault.endpoint, begin, begin + fault.duration_s)
        )
        for T in self.fleet.entries.values():
            T.config.withdrawn.add(fault.endpoint)
            self.fleet.clock.call_in(
                fault.duration_s, T.config.withdrawn.discard, fault.endpoint
            )


def create_stream_fleet(entries, copies, streams, seed, lag_s=0.5):
    """Return a fleet with ``copies`` engines for each of two stages."""
    clock = VirtualTime()
    cores = {}
    for number in range(entries):
        T = _create_core(f'entry-{number}', seed + number, copies, streams)
        cores[T.me] = T
    for T in cores.values():
        for name in cores:
            T.instances[name] = tables.Instance(
                name, 'h:1', 'dc', state=tables.InstanceState.LIVE
            )
    engines = {
        ep.name: FakeEngine(clock, ep, IterationTimes())
        for ep in _create_endpoints(copies, streams)
    }
    # Half of the engines run a step without checking its position.
    for name in engines:
        engines[name].checks_positions = not name.endswith('1')
    return StreamFleet(clock, cores, engines, lag_s)


def _create_core(name, seed, copies, streams):
    T = tables.create_tables(name, 'dc', seed)
    T.confirmed_at = 0.0
    T.models['m'] = tables.Model('m', LAYERS)
    for ep in _create_endpoints(copies, streams):
        T.endpoints[ep.name] = ep
    return T


def _create_endpoints(copies, streams):
    width = LAYERS // len(_STAGES)
    return [
        tables.Endpoint(
            f'ep-{first}-{n}',
            'h:1',
            'dc',
            'kind',
            'm',
            '1',
            first,
            first + width,
            streams,
        )
        for first in _STAGES
        for n in range(copies)
    ]


def check_streams(simulation):
    """Return the guarantees that a finished run violated.

    Uses only what callers received, the engines' own logs and, at the
    end of the run, what the entries still hold for ended requests.

    Returns
    -------
    list of str
    """
    fleet = simulation.fleet
    found = list_violations(fleet, LAYERS, predict_tokens)
    found.extend(_check_withdrawals(simulation))
    found.extend(_check_crashes(fleet))
    found.extend(_check_outcomes(fleet))
    found.extend(_check_leftovers(fleet))
    return found


def _check_withdrawals(simulation):
    # An attempt counts as started when its first stage starts; a later
    # stage may still start at an endpoint withdrawn in the meantime.
    first = {}
    for engine in simulation.fleet.engines.values():
        for time, *attempt in engine.started_attempts:
            key = tuple(attempt)
            first[key] = min(time, first.get(key, time))
    for name, begin, end in simulation.withdrawn:
        for time, *attempt in simulation.fleet.engines[name].started_attempts:
            started_at = first[tuple(attempt)]
            if begin + _LINK_SLACK_S < started_at and time < end:
                yield f'{attempt[0]} was begun at the withdrawn {name}'


def _check_crashes(fleet):
    counts = {}
    for engine in fleet.engines.values():
        for request in engine.crashing_requests:
            counts[request] = counts.get(request, 0) + 1
    for request, count in counts.items():
        if count > _MAX_CRASHES:
            yield f'{request} crashed {count} engines'


def _check_outcomes(fleet):
    for name, received in fleet.received.items():
        if received.entry in fleet.dead:
            continue
        if received.outcome is None:
            yield f'{name}: no outcome'


def _check_leftovers(fleet):
    for T in fleet.entries.values():
        if T.me in fleet.dead:
            continue
        if T.requests or T.tickets:
            yield f'{T.me}: something is left behind'
        if any(ep.streams for ep in T.endpoints.values()):
            yield f'{T.me}: slots are left taken'
