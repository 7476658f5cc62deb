"""Order systems of several entries in a world of faults.

The world has one clock and one random source; each entry has a clock of
its own that is ahead by a fixed time. Real order systems run; all else
is faked at the interfaces. One scenario gives one run.
"""

import dataclasses
import enum
import heapq
import random

from sniperudder import effects
from sniperudder import inputs
from sniperudder.systems import orders
from sniperudder import tables
from sniperudder.testing import _rowstore
from sniperudder.testing import _services

_TICK_S = 0.1
_PLATFORM_DELAY_S = 0.02
_SERVICE_DELAY_S = 0.01
_RUN_S = 0.2
_LONG_RUN_S = 8.0
_LONG_FREEZE_S = 10.0
_LATE_S = 6.0
_SLOW_S = 8.0
_CALLER_PAUSE_S = 0.5
_CLOCK_ERROR_S = 0.5
_GRACE_S = 60.0
_HIT_SHARE = 0.2
_LOST_REQUESTS = 0.2
_LOST_ANSWERS = 0.4
_THREAD_LAG_S = 0.3

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
    """What may go wrong in the world."""

    KILL = 'kill'
    FREEZE = 'freeze'
    KILL_MIDWAY = 'kill between decision and deed'
    FREEZE_MIDWAY = 'freeze between decision and deed'
    STOP = 'planned stop'
    STALE = 'stale'
    PLATFORM_DOWN = 'platform down'
    PLATFORM_SLOW = 'platform slow'
    PLATFORM_LOSES = 'platform loses answers'
    SERVICE_REFUSES = 'service refuses connections'
    SERVICE_LOSES = 'service loses answers'
    SERVICE_CRASHES = 'service crashes before the run'
    SERVICE_LATE = 'service runs late'
    SERVICE_SLOW = 'service runs for long'


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
    """A fault with its place and time.

    Attributes
    ----------
    kind : FaultKind
    at, duration_s : float
        Seconds.
    entry : int
        Index of the entry, where the kind concerns one.
    """

    kind: FaultKind
    at: float
    duration_s: float
    entry: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What one caller does with one order.

    Attributes
    ----------
    at : float
        When it is first sent, seconds.
    organisation, service, key, body : str
    deadline_s : float
    entry : int
        Index of the entry of the first try.
    twin : bool
        Whether the next entry gets it at the same moment.
    repeats : int
        Times that it is sent again after an outcome.
    patience_s : float or None
        Time after which the caller hangs up.
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
    """Callers' plans and faults; ``seed`` decides all else.

    Attributes
    ----------
    seed : int
    plans : tuple of Plan
    faults : tuple of Fault
    entries : int
        Number of entries.
    final_repeats : bool
        Whether all keys are sent once more after the faults have ended.
    """

    seed: int
    plans: tuple
    faults: tuple = ()
    entries: int = 3
    final_repeats: bool = True


@dataclasses.dataclass(slots=True)
class Try:
    """One sending of an order, as its caller saw it.

    Attributes
    ----------
    name : str
    plan : Plan
    sent_at : float
    outcomes : list of Outcome
        What the caller got; empty where its entry died.
    ended_at : float or None
    entry : str
    final : bool
        Whether it was sent after all faults had ended.
    """

    name: str
    plan: Plan
    sent_at: float
    entry: str
    outcomes: list = dataclasses.field(default_factory=list)
    ended_at: float | None = None
    broken: bool = False
    final: bool = False


@dataclasses.dataclass(slots=True)
class Entry:
    """One process with its own tables and clock."""

    index: int
    T: tables.Tables
    ahead_s: float
    frozen_until: float = 0.0
    stale_until: float = 0.0
    dead: bool = False
    backlog: list = dataclasses.field(default_factory=list)


class OrderWorld:
    """Runs one scenario.

    Parameters
    ----------
    scenario : Scenario

    Attributes
    ----------
    now : float
        World time, seconds.
    store : RowStore
    services : dict of str to ServiceStand
    entries : list of Entry
    tries : list of Try
        Every sending, in order.
    """

    def __init__(self, scenario):
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.now = 0.0
        self.events = []
        self.serial = 0
        self.store = _rowstore.RowStore()
        self.services = {
            kind: _services.ServiceStand(_create_service(kind))
            for kind in KINDS
        }
        self.entries = [self._create_entry(i) for i in range(scenario.entries)]
        self.tries = []
        self.calm_at = _find_calm(scenario)

    def run(self):
        """Run until all is settled; return this world."""
        for plan in self.scenario.plans:
            self._schedule(plan.at, self._start_plan, plan)
        for fault in self.scenario.faults:
            self._schedule(fault.at, self._start_fault, fault)
        if self.scenario.final_repeats:
            self._schedule(self.calm_at + HEAL_S, self._repeat_all)
        self._schedule(0.0, self._tick)
        end = self.calm_at + 2 * HEAL_S + _GRACE_S
        while self.events and self.events[0][0] < end:
            self.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
        return self

    def has_fault(self, kind):
        """Return whether a kind of fault lasts at this moment."""
        return any(
            fault.kind is kind
            and fault.at <= self.now < fault.at + fault.duration_s
            for fault in self.scenario.faults
        )

    def send(self, plan, index, repeats, final=False):
        """Send an order to an entry as a new try."""
        entry = self.entries[index % len(self.entries)]
        name = f'try-{len(self.tries)}'
        attempt = Try(name, plan, self.now, entry.T.me, final=final)
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
            self.now + _CALLER_PAUSE_S,
            self._watch,
            entry,
            attempt,
            repeats,
        )

    def _schedule(self, at, function, *arguments):
        self.serial += 1
        heapq.heappush(self.events, (at, self.serial, function, arguments))

    def _create_entry(self, index):
        policy = tables.Policy(
            order_timeout_s=ORDER_TIMEOUT_S,
            platform_timeout_s=PLATFORM_TIMEOUT_S,
        )
        # The same seed in every process of a name: the worst case.
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

    def _kill(self, entry):
        if entry.dead:
            return
        entry.dead = True
        self.entries[entry.index] = self._create_entry(entry.index)

    def _replace_stopped(self, entry):
        """Replace an entry that stops once its work is done."""
        if entry.dead:
            return
        if entry.T.orders or self.now < entry.frozen_until:
            at = self.now + _CALLER_PAUSE_S
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
            at = self.now + _THREAD_LAG_S * self.rng.random()
            self._schedule(at, self._on_entry, entry, function, *arguments)

    def _on_entry(self, entry, function, *arguments):
        """Run a step of a process; later where it is frozen."""
        if entry.dead:
            return
        if self.now < entry.frozen_until:
            entry.backlog.append((function, arguments))
            return
        function(*arguments)

    def _deliver(self, entry, inp):
        self._on_entry(entry, self._handle, entry, inp)

    def _handle(self, entry, inp):
        self._refresh(entry)
        if isinstance(inp, inputs.TransactReturned):
            handler = orders.PURPOSES[type(inp.purpose)]
        else:
            handler = orders.HANDLERS[type(inp)]
        now = self.now + entry.ahead_s
        self._perform(entry, handler(entry.T, inp, now))

    def _tick(self):
        for entry in self.entries:
            if entry.T.orders and self.now >= entry.frozen_until:
                self._refresh(entry)
                now = self.now + entry.ahead_s
                self._perform(entry, orders.run_orders(entry.T, now))
        busy = any(entry.T.orders for entry in self.entries)
        if self.events or busy:
            self._schedule(self.now + _TICK_S, self._tick)

    def _refresh(self, entry):
        if self.now >= entry.stale_until:
            entry.T.confirmed_at = self.now + entry.ahead_s

    def _perform(self, entry, results):
        for effect in results:
            self._disturb(entry)
            self._schedule(
                self.now,
                self._on_entry,
                entry,
                self._perform_one,
                entry,
                effect,
            )

    def _perform_one(self, entry, effect):
        match effect:
            case effects.Transact():
                self._begin_transaction(entry, effect)
            case effects.CallService():
                self._begin_call(entry, effect)
            case effects.AskService():
                self._begin_question(entry, effect)
            case effects.Finish():
                self._end_try(effect)

    def _disturb(self, entry):
        """Perhaps hit a process in the middle of a step."""
        if self._is_hit(FaultKind.KILL_MIDWAY):
            self._schedule(self.now, self._kill, entry)
        if self._is_hit(FaultKind.FREEZE_MIDWAY):
            duration_s = _LONG_FREEZE_S * self.rng.random()
            self._schedule(self.now, self._freeze, entry, duration_s)

    def _is_hit(self, kind):
        return self.has_fault(kind) and self.rng.random() < _HIT_SHARE

    def _end_try(self, effect):
        attempt = self.tries[int(effect.request.removeprefix('try-'))]
        attempt.outcomes.append(effect.outcome)
        attempt.ended_at = self.now

    def _begin_transaction(self, entry, call):
        sent_at = self.now + entry.ahead_s
        if self.has_fault(FaultKind.PLATFORM_DOWN):
            outcome = inputs.NotSent()
            if self.rng.random() < 0.3:
                outcome = inputs.Unknown()
            self._return(entry, call, outcome, sent_at, PLATFORM_TIMEOUT_S)
            return
        delay_s = _PLATFORM_DELAY_S * self.rng.uniform(0.5, 2.0)
        if self.has_fault(FaultKind.PLATFORM_SLOW):
            delay_s = _SLOW_S * self.rng.random()
        self._schedule(
            self.now + delay_s / 2,
            self._apply_transaction,
            entry,
            call,
            sent_at,
            delay_s,
        )
        if delay_s > PLATFORM_TIMEOUT_S:
            # The client gives up; the transaction may still run later.
            answer = inputs.TransactReturned(
                call.purpose, inputs.Unknown(), sent_at
            )
            at = self.now + PLATFORM_TIMEOUT_S
            self._schedule(at, self._deliver, entry, answer)

    def _apply_transaction(self, entry, call, sent_at, delay_s):
        loses = self.has_fault(FaultKind.PLATFORM_LOSES)
        fate = self.rng.random() if loses else 1.0
        outcome = inputs.Unknown()
        if fate >= _LOST_REQUESTS:
            outcome = self.store.transact(call)
        if fate < _LOST_REQUESTS + _LOST_ANSWERS:
            outcome = inputs.Unknown()
        if delay_s <= PLATFORM_TIMEOUT_S:
            self._return(entry, call, outcome, sent_at, delay_s / 2)

    def _return(self, entry, call, outcome, sent_at, delay_s):
        answer = inputs.TransactReturned(call.purpose, outcome, sent_at)
        if isinstance(outcome, inputs.Unknown):
            delay_s = PLATFORM_TIMEOUT_S * self.rng.random()
        self._schedule(self.now + delay_s, self._deliver, entry, answer)

    def _begin_call(self, entry, call):
        now = self.now + entry.ahead_s
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
        patience_s = ORDER_TIMEOUT_S
        late = self.has_fault(FaultKind.SERVICE_LATE)
        if late and self.rng.random() < 0.6:
            travel_s = _LATE_S * self.rng.random()
            patience_s *= self.rng.random()
        self._schedule(
            self.now + travel_s,
            self._run_call,
            entry,
            call,
            wall_deadline,
            patience_s - travel_s,
        )
        if travel_s > patience_s:
            self._answer_call(entry, call, inputs.Delivery.LOST, patience_s)

    def compute_wall_deadline(self, entry, call):
        """Return the latest start that the service reads in the call."""
        error_s = self.rng.uniform(-_CLOCK_ERROR_S, _CLOCK_ERROR_S)
        return call.start_by - entry.ahead_s + error_s

    def _run_call(self, entry, call, wall_deadline, patience_s):
        stand = self.services[_find_kind(call.address)]
        duration_s = _RUN_S * self.rng.uniform(0.1, 2.0)
        slow = self.has_fault(FaultKind.SERVICE_SLOW)
        if slow and self.rng.random() < 0.6:
            duration_s = _LONG_RUN_S * self.rng.random()
        run = stand.run(call, self.now, duration_s, wall_deadline)
        if patience_s < 0.0:
            return
        if run is None:
            self._answer_call(entry, call, inputs.Delivery.NOT_SENT, 0.0)
            return
        wait_s = max(0.0, run.ended_at - self.now)
        loses = self.has_fault(FaultKind.SERVICE_LOSES)
        if loses and self.rng.random() < 0.6:
            patience_s = min(patience_s, wait_s * self.rng.random())
        if wait_s > patience_s:
            self._answer_call(entry, call, inputs.Delivery.LOST, patience_s)
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

    def _begin_question(self, entry, call):
        delay_s = _SERVICE_DELAY_S
        unreachable = self.has_fault(FaultKind.SERVICE_REFUSES)
        crashes = self.has_fault(FaultKind.SERVICE_CRASHES)
        if unreachable or (crashes and self.rng.random() < 0.6):
            answer = inputs.ServiceTold(
                call.order, False, question=call.question
            )
            self._schedule(self.now + delay_s, self._deliver, entry, answer)
            return
        self._schedule(self.now + delay_s, self._tell, entry, call, delay_s)

    def _tell(self, entry, call, delay_s):
        stand = self.services[_find_kind(call.address)]
        answer = stand.tell(call, self.now)
        self._schedule(self.now + delay_s, self._deliver, entry, answer)

    def _hang_up(self, entry, attempt):
        if not attempt.outcomes:
            self._deliver(entry, inputs.CallerLeft(attempt.name))

    def _watch(self, entry, attempt, repeats):
        ended = attempt.outcomes or entry.dead
        if not ended:
            self._schedule(
                self.now + _CALLER_PAUSE_S,
                self._watch,
                entry,
                attempt,
                repeats,
            )
            return
        attempt.broken = not attempt.outcomes
        if repeats > 0 and not attempt.final:
            index = self.rng.randrange(len(self.entries))
            self.send(attempt.plan, index, repeats - 1)

    def _repeat_all(self):
        """Send each key once more with every body that it had."""
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


def _find_calm(scenario):
    """Return the time at which all faults and plans are over."""
    ends = [fault.at + fault.duration_s for fault in scenario.faults]
    ends += [plan.at for plan in scenario.plans]
    return max(ends, default=0.0) + _LONG_FREEZE_S
