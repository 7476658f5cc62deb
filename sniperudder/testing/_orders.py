"""Simulation of the order systems of several entries under faults.

The simulation has one clock and one random source. Each entry has its
own clock with a constant offset. The order systems are the real ones;
the platform, the services and the callers are simulated. A scenario
determines its run completely.
"""

import dataclasses
import enum
import heapq
import random

from sniperudder import effects
from sniperudder import inputs
from sniperudder.systems import orders
from sniperudder.systems import restoration
from sniperudder import tables
from sniperudder.testing import _rowstore
from sniperudder.testing import _services

_TICK_S = 0.1
_PLATFORM_DELAY_S = 0.02
_SERVICE_DELAY_S = 0.01
_CALL_RUN_S = 0.2
_MAX_SLOW_CALL_RUN_S = 8.0
_MAX_FREEZE_S = 10.0
_MAX_LATENESS_S = 6.0
_MAX_PLATFORM_DELAY_S = 8.0
_RETRY_INTERVAL_S = 0.5
_CLOCK_ERROR_S = 0.5
_GRACE_S = 60.0
_HIT_PROBABILITY = 0.2
_LOST_REQUEST_PROBABILITY = 0.2
_LOST_ANSWER_PROBABILITY = 0.4
_MAX_THREAD_DELAY_S = 0.3

PLATFORM_TIMEOUT_S = 0.5
ORDER_TIMEOUT_S = 1.0
SETTLE_S = 4.0
HEAL_S = 60.0

PLAIN = 'plain'
DEDUPLICATING = 'deduplicating'
LOOKUP = 'lookup'
REPEATABLE = 'repeatable'
KINDS = (PLAIN, DEDUPLICATING, LOOKUP, REPEATABLE)


class FaultKind(enum.Enum):
    """Kind of fault of an entry, the platform or the services."""

    KILL = 'kill'
    FREEZE = 'freeze'
    KILL_MIDWAY = 'kill between decision and effect'
    FREEZE_MIDWAY = 'freeze between decision and effect'
    STOP = 'planned stop'
    STALE = 'stale'
    PLATFORM_DOWN = 'platform down'
    PLATFORM_SLOW = 'platform slow'
    PLATFORM_LOSES = 'platform loses answers'
    SERVICE_REFUSES = 'service refuses connections'
    SERVICE_LOSES = 'service loses answers'
    SERVICE_CRASHES = 'service crashes before the run'
    SERVICE_LATE = 'service runs late'
    SERVICE_SLOW = 'service runs for a long time'
    PLATFORM_RESTORED = 'platform restored from a copy'


# Faults after which no promise is void. Drawn by default.
DEFAULT_FAULTS = tuple(
    kind for kind in FaultKind if kind is not FaultKind.PLATFORM_RESTORED
)

SERVICE_FAULTS = frozenset(
    {
        FaultKind.SERVICE_LOSES,
        FaultKind.SERVICE_CRASHES,
        FaultKind.SERVICE_LATE,
        FaultKind.SERVICE_SLOW,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    Attributes
    ----------
    kind : FaultKind
    at, duration_s : float
        Start and duration, seconds; the age of the copy for a platform that
        is restored.
    entry : int
        Index of the entry, for kinds that affect one entry.
    """

    kind: FaultKind
    at: float
    duration_s: float
    entry: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class OrderPlan:
    """Behaviour of one caller with one order.

    Attributes
    ----------
    at : float
        Time at which it is first sent, seconds.
    organisation, service, key, body : str
    deadline_s : float
    entry : int
        Index of the entry of the first attempt.
    twin : bool
        Whether it is sent to the next entry at the same time too.
    repeats : int
        Number of times it is sent again after an outcome.
    patience_s : float or None
        Time after which the caller disconnects, seconds; None means
        never.
    """

    at: float
    organisation: str
    service: str
    key: str
    body: str
    deadline_s: float = 10.0
    entry: int = 0
    twin: bool = False
    repeats: int = 1
    patience_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Callers' plans and faults; ``seed`` determines all else.

    Attributes
    ----------
    seed : int
    plans : tuple of OrderPlan
    faults : tuple of Fault
    entries : int
        Number of entries.
    final_repeats : bool
        Whether each key is sent once more after all faults ended.
    """

    seed: int
    plans: tuple
    faults: tuple = ()
    entries: int = 3
    final_repeats: bool = True


@dataclasses.dataclass(slots=True)
class Attempt:
    """One submission of an order, as seen by its caller.

    Attributes
    ----------
    name : str
    plan : OrderPlan
    sent_at : float
    outcomes : list of Outcome
        Outcomes that the caller received; empty if its entry died.
    ended_at : float or None
    entry : str
    broken : bool
        Whether its entry died before an outcome.
    final : bool
        Whether it was sent after all faults ended.
    """

    name: str
    plan: OrderPlan
    sent_at: float
    entry: str
    outcomes: list = dataclasses.field(default_factory=list)
    ended_at: float | None = None
    broken: bool = False
    final: bool = False


@dataclasses.dataclass(slots=True)
class Entry:
    """Simulated entry instance with its own tables and clock."""

    index: int
    T: tables.Tables
    clock_offset_s: float
    frozen_until: float = 0.0
    stale_until: float = 0.0
    dead: bool = False
    polled_at: float = float('-inf')
    backlog: list = dataclasses.field(default_factory=list)


class OrderSimulation:
    """Simulation of one scenario.

    Parameters
    ----------
    scenario : Scenario

    Attributes
    ----------
    now : float
        Simulation time, seconds.
    store : RowStore
    services : dict of str to FakeService
    entries : list of Entry
    tries : list of Attempt
        All submissions, in order.
    """

    def __init__(self, scenario):
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.now = 0.0
        self.events = []
        self.event_number = 0
        self.store = _rowstore.RowStore()
        self.copies = []
        self.restores = any(
            fault.kind is FaultKind.PLATFORM_RESTORED
            for fault in scenario.faults
        )
        self.services = {
            kind: _services.FakeService(_create_service(kind))
            for kind in KINDS
        }
        self.entries = [self._create_entry(i) for i in range(scenario.entries)]
        self.tries = []
        self.faults_over_at = _compute_faults_over(scenario)

    def run(self):
        """Run to the end of the scenario and return this simulation."""
        for plan in self.scenario.plans:
            self._schedule(plan.at, self._start_plan, plan)
        for fault in self.scenario.faults:
            self._schedule(fault.at, self._start_fault, fault)
        if self.scenario.final_repeats:
            self._schedule(self.faults_over_at + HEAL_S, self._resend_all)
        self._schedule(0.0, self._tick)
        end = self.faults_over_at + 2 * HEAL_S + _GRACE_S
        while self.events and self.events[0][0] < end:
            self.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
        return self

    def has_fault(self, kind):
        """Return whether a fault of a kind is active now."""
        return any(
            fault.kind is kind
            and fault.at <= self.now < fault.at + fault.duration_s
            for fault in self.scenario.faults
        )

    def send(self, plan, index, repeats, final=False):
        """Send an order to an entry as a new attempt."""
        entry = self.entries[index % len(self.entries)]
        name = f'try-{len(self.tries)}'
        attempt = Attempt(name, plan, self.now, entry.T.me, final=final)
        self.tries.append(attempt)
        arrival = inputs.OrderArrived(
            order=name,
            organisation=plan.organisation,
            rank=tables.Rank.MIDDLE,
            service=plan.service,
            key=plan.key,
            body=plan.body,
            deadline_s=plan.deadline_s,
        )
        self._deliver(entry, arrival)
        if plan.patience_s is not None and not final:
            self._schedule(
                self.now + plan.patience_s, self._hang_up, entry, attempt
            )
        self._schedule(
            self.now + _RETRY_INTERVAL_S,
            self._check_attempt,
            entry,
            attempt,
            repeats,
        )

    def _schedule(self, at, function, *arguments):
        self.event_number += 1
        heapq.heappush(
            self.events, (at, self.event_number, function, arguments)
        )

    def _create_entry(self, index):
        policy = tables.Policy(
            order_timeout_s=ORDER_TIMEOUT_S,
            platform_timeout_s=PLATFORM_TIMEOUT_S,
        )
        # A restarted entry gets the same seed again, the worst case: it
        # draws the same random values as its predecessor.
        T = tables.create_tables(f'entry-{index}', 'here', index, policy)
        for kind in KINDS:
            T.services[kind] = _create_service(kind)
        return Entry(index, T, self.rng.uniform(0.0, 1000.0))

    def _start_plan(self, plan):
        self.send(plan, plan.entry, plan.repeats)
        if plan.twin:
            self.send(plan, plan.entry + 1, plan.repeats)

    def _start_fault(self, fault):
        entry = self.entries[fault.entry % len(self.entries)]
        match fault.kind:
            case FaultKind.KILL:
                self._kill(entry)
            case FaultKind.FREEZE:
                self._freeze(entry, fault.duration_s)
            case FaultKind.STOP:
                entry.T.stopping = True
                entry.T.refuse_at = self.now
                at = self.now + fault.duration_s
                self._schedule(at, self._replace_stopped, entry)
            case FaultKind.STALE:
                entry.stale_until = self.now + fault.duration_s
            case FaultKind.PLATFORM_RESTORED:
                self._restore_store(self.now - fault.duration_s)

    def _restore_store(self, copied_at):
        rows = {}
        for at, copy in self.copies:
            if at <= copied_at:
                rows = copy
        self.store.restore(rows)

    def _poll_era(self, entry):
        """Have an entry learn the platform's era, as its polls do."""
        due = self.now >= entry.polled_at + entry.T.policy.poll_s
        if due and not self.has_fault(FaultKind.PLATFORM_DOWN):
            entry.polled_at = self.now
            now = self.now + entry.clock_offset_s
            restoration.record_era(entry.T, self.store.era, now)

    def _kill(self, entry):
        if entry.dead:
            return
        entry.dead = True
        self.entries[entry.index] = self._create_entry(entry.index)

    def _replace_stopped(self, entry):
        """Replace a stopping entry as soon as it has no orders left."""
        if entry.dead:
            return
        if entry.T.orders or self.now < entry.frozen_until:
            at = self.now + _RETRY_INTERVAL_S
            self._schedule(at, self._replace_stopped, entry)
            return
        self._kill(entry)

    def _freeze(self, entry, duration_s):
        until = self.now + duration_s
        entry.frozen_until = max(entry.frozen_until, until)
        self._schedule(until, self._thaw, entry)

    def _thaw(self, entry):
        if entry.dead or self.now < entry.frozen_until:
            return
        backlog = entry.backlog
        entry.backlog = []
        self.rng.shuffle(backlog)
        for function, arguments in backlog:
            at = self.now + _MAX_THREAD_DELAY_S * self.rng.random()
            self._schedule(at, self._run_on, entry, function, *arguments)

    def _run_on(self, entry, function, *arguments):
        """Run a function on an entry, or queue it while that is frozen."""
        if entry.dead:
            return
        if self.now < entry.frozen_until:
            entry.backlog.append((function, arguments))
            return
        function(*arguments)

    def _deliver(self, entry, inp):
        self._run_on(entry, self._handle, entry, inp)

    def _handle(self, entry, inp):
        self._refresh(entry)
        now = self.now + entry.clock_offset_s
        if isinstance(inp, inputs.TransactReturned):
            inp, _ = restoration.receive_result(entry.T, inp, now)
            handler = orders.PURPOSES[type(inp.purpose)]
        else:
            handler = orders.HANDLERS[type(inp)]
        self._perform(entry, handler(entry.T, inp, now))

    def _tick(self):
        if self.restores:
            self.copies.append((self.now, dict(self.store.rows)))
        for entry in self.entries:
            if self.now < entry.frozen_until:
                continue
            if self.restores:
                self._poll_era(entry)
            if entry.T.orders or self.restores:
                self._refresh(entry)
                now = self.now + entry.clock_offset_s
                self._perform(entry, orders.run_orders(entry.T, now))
        busy = any(entry.T.orders for entry in self.entries)
        if self.events or busy:
            self._schedule(self.now + _TICK_S, self._tick)

    def _refresh(self, entry):
        if self.now >= entry.stale_until:
            entry.T.confirmed_at = self.now + entry.clock_offset_s

    def _perform(self, entry, results):
        for effect in results:
            self._inject_midway_fault(entry)
            self._schedule(
                self.now,
                self._run_on,
                entry,
                self._perform_effect,
                entry,
                effect,
            )

    def _perform_effect(self, entry, effect):
        match effect:
            case effects.Transact():
                self._begin_transaction(entry, effect)
            case effects.CallService():
                self._begin_call(entry, effect)
            case effects.LookUpKey():
                self._begin_lookup(entry, effect)
            case effects.SendOutcome():
                self._end_attempt(effect)

    def _inject_midway_fault(self, entry):
        """Kill or freeze an entry, at random, between two effects."""
        if self._draw_hit(FaultKind.KILL_MIDWAY):
            self._schedule(self.now, self._kill, entry)
        if self._draw_hit(FaultKind.FREEZE_MIDWAY):
            duration_s = _MAX_FREEZE_S * self.rng.random()
            self._schedule(self.now, self._freeze, entry, duration_s)

    def _draw_hit(self, kind):
        return self.has_fault(kind) and self.rng.random() < _HIT_PROBABILITY

    def _end_attempt(self, effect):
        attempt = self.tries[int(effect.request.removeprefix('try-'))]
        attempt.outcomes.append(effect.outcome)
        attempt.ended_at = self.now

    def _begin_transaction(self, entry, call):
        sent_at = self.now + entry.clock_offset_s
        if self.has_fault(FaultKind.PLATFORM_DOWN):
            outcome = inputs.NotSent()
            if self.rng.random() < 0.3:
                outcome = inputs.Unknown()
            self._return(entry, call, outcome, sent_at, PLATFORM_TIMEOUT_S)
            return
        delay_s = _PLATFORM_DELAY_S * self.rng.uniform(0.5, 2.0)
        if self.has_fault(FaultKind.PLATFORM_SLOW):
            delay_s = _MAX_PLATFORM_DELAY_S * self.rng.random()
        self._schedule(
            self.now + delay_s / 2,
            self._apply_transaction,
            entry,
            call,
            sent_at,
            delay_s,
        )
        if delay_s > PLATFORM_TIMEOUT_S:
            # The client times out; the transaction may still run later.
            answer = inputs.TransactReturned(
                call.purpose, inputs.Unknown(), sent_at
            )
            at = self.now + PLATFORM_TIMEOUT_S
            self._schedule(at, self._deliver, entry, answer)

    def _apply_transaction(self, entry, call, sent_at, delay_s):
        loses = self.has_fault(FaultKind.PLATFORM_LOSES)
        draw = self.rng.random() if loses else 1.0
        outcome = inputs.Unknown()
        if draw >= _LOST_REQUEST_PROBABILITY:
            outcome = self.store.transact(call)
        if draw < _LOST_REQUEST_PROBABILITY + _LOST_ANSWER_PROBABILITY:
            outcome = inputs.Unknown()
        if delay_s <= PLATFORM_TIMEOUT_S:
            self._return(entry, call, outcome, sent_at, delay_s / 2)

    def _return(self, entry, call, outcome, sent_at, delay_s):
        answer = inputs.TransactReturned(call.purpose, outcome, sent_at)
        if isinstance(outcome, inputs.Unknown):
            delay_s = PLATFORM_TIMEOUT_S * self.rng.random()
        self._schedule(self.now + delay_s, self._deliver, entry, answer)

    def _begin_call(self, entry, call):
        now = self.now + entry.clock_offset_s
        refused = self.has_fault(FaultKind.SERVICE_REFUSES)
        if not orders.may_call(entry.T, call, now):
            refused = True
        elif refused:
            refused = self.rng.random() < 0.7
        if refused:
            self._answer_call(entry, call, inputs.Delivery.NOT_SENT, 0.0)
            return
        wall_deadline = self.compute_wall_deadline(entry, call)
        crashes = self.has_fault(FaultKind.SERVICE_CRASHES)
        travel_s = _SERVICE_DELAY_S * self.rng.uniform(0.5, 2.0)
        if crashes and self.rng.random() < 0.6:
            self._answer_call(entry, call, inputs.Delivery.LOST, travel_s)
            return
        timeout_s = ORDER_TIMEOUT_S
        late = self.has_fault(FaultKind.SERVICE_LATE)
        if late and self.rng.random() < 0.6:
            travel_s = _MAX_LATENESS_S * self.rng.random()
            timeout_s *= self.rng.random()
        self._schedule(
            self.now + travel_s,
            self._run_call,
            entry,
            call,
            wall_deadline,
            timeout_s - travel_s,
        )
        if travel_s > timeout_s:
            self._answer_call(entry, call, inputs.Delivery.LOST, timeout_s)

    def compute_wall_deadline(self, entry, call):
        """Return the latest time at which the call may start.

        The time is on the service's inexact clock.
        """
        error_s = self.rng.uniform(-_CLOCK_ERROR_S, _CLOCK_ERROR_S)
        return call.start_by - entry.clock_offset_s + error_s

    def _run_call(self, entry, call, wall_deadline, timeout_s):
        service = self.services[_find_kind(call.address)]
        duration_s = _CALL_RUN_S * self.rng.uniform(0.1, 2.0)
        slow = self.has_fault(FaultKind.SERVICE_SLOW)
        if slow and self.rng.random() < 0.6:
            duration_s = _MAX_SLOW_CALL_RUN_S * self.rng.random()
        run = service.run(call, self.now, duration_s, wall_deadline)
        if timeout_s < 0.0:
            return
        if run is None:
            self._answer_call(entry, call, inputs.Delivery.NOT_SENT, 0.0)
            return
        wait_s = max(0.0, run.ended_at - self.now)
        loses = self.has_fault(FaultKind.SERVICE_LOSES)
        if loses and self.rng.random() < 0.6:
            timeout_s = min(timeout_s, wait_s * self.rng.random())
        if wait_s > timeout_s:
            self._answer_call(entry, call, inputs.Delivery.LOST, timeout_s)
            return
        answer = inputs.ServiceReturned(
            call.order, 200, run.result, None, call.address
        )
        self._schedule(self.now + wait_s, self._deliver, entry, answer)

    def _answer_call(self, entry, call, delivery, delay_s):
        answer = inputs.ServiceReturned(
            call.order, 0, '', delivery, call.address
        )
        self._schedule(self.now + delay_s, self._deliver, entry, answer)

    def _begin_lookup(self, entry, call):
        delay_s = _SERVICE_DELAY_S
        unreachable = self.has_fault(FaultKind.SERVICE_REFUSES)
        crashes = self.has_fault(FaultKind.SERVICE_CRASHES)
        if unreachable or (crashes and self.rng.random() < 0.6):
            answer = inputs.KeyLookupReturned(
                call.order, False, lookup_number=call.lookup_number
            )
            self._schedule(self.now + delay_s, self._deliver, entry, answer)
            return
        self._schedule(
            self.now + delay_s, self._answer_lookup, entry, call, delay_s
        )

    def _answer_lookup(self, entry, call, delay_s):
        service = self.services[_find_kind(call.address)]
        answer = service.look_up(call, self.now)
        self._schedule(self.now + delay_s, self._deliver, entry, answer)

    def _hang_up(self, entry, attempt):
        if not attempt.outcomes:
            self._deliver(entry, inputs.CallerDisconnected(attempt.name))

    def _check_attempt(self, entry, attempt, repeats):
        ended = attempt.outcomes or entry.dead
        if not ended:
            self._schedule(
                self.now + _RETRY_INTERVAL_S,
                self._check_attempt,
                entry,
                attempt,
                repeats,
            )
            return
        attempt.broken = not attempt.outcomes
        if repeats > 0 and not attempt.final:
            index = self.rng.randrange(len(self.entries))
            self.send(attempt.plan, index, repeats - 1)

    def _resend_all(self):
        """Send each key once more with each body it was sent with.

        Keys of repeatable services are left out: those may run again.
        """
        seen = set()
        for attempt in list(self.tries):
            plan = attempt.plan
            identity = (plan.organisation, plan.service, plan.key, plan.body)
            if identity in seen or plan.service == REPEATABLE:
                continue
            seen.add(identity)
            lasting = dataclasses.replace(plan, deadline_s=HEAL_S)
            index = self.rng.randrange(len(self.entries))
            self.send(lasting, index, 0, final=True)


def _create_service(kind):
    return tables.Service(
        name=kind,
        addresses=[f'{kind}-1:80', f'{kind}-2:80'],
        repeatable=kind == REPEATABLE,
        deduplicates=kind == DEDUPLICATING,
        lookup=kind == LOOKUP,
        settle_s=SETTLE_S,
    )


def _find_kind(address):
    return address.rpartition('-')[0]


def _compute_faults_over(scenario):
    """Return a time by which all faults, random freezes included, ended."""
    ends = [fault.at + fault.duration_s for fault in scenario.faults]
    ends += [plan.at for plan in scenario.plans]
    return max(ends, default=0.0) + _MAX_FREEZE_S
