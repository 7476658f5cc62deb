"""Naive variants of the order system, which the checker must catch."""

import contextlib
import dataclasses
import typing
from unittest import mock

from sniperudder import inputs
from sniperudder import outcomes
from sniperudder.systems import orders
from sniperudder.systems.orders import _calls
from sniperudder.systems.orders import _claims
from sniperudder.systems.orders import _endings
from sniperudder.systems.orders import _purposes
from sniperudder.systems.orders import _rows
from sniperudder.systems.orders import _steps
from sniperudder.systems.orders import _timing
from sniperudder.tables import OrderState
from sniperudder.testing import _orderplans
from sniperudder.testing import _orders
from sniperudder.testing._orders import FaultKind as Kind

_TAKEOVER_S = 2.0


def _replace_answer(purpose, handle):
    state, _ = _steps._PLATFORM[purpose]
    return mock.patch.dict(_steps._PLATFORM, {purpose: (state, handle)})


def skip_read_back():
    """Take a lost answer to the claim for a success."""

    def handle(T, order, outcome, now):
        if isinstance(outcome, inputs.Unknown):
            order.holds = True
            order.row_version = order.base_version + 1
            _endings.enter(order, OrderState.CALLING, now)
            return []
        return _claims.handle_claimed(T, order, outcome, now)

    return _replace_answer(_purposes.ClaimOrder, handle)


def claim_without_condition():
    """Write the claim whatever the row holds."""
    real = _claims.run_claiming

    def run(T, order, now):
        return [
            dataclasses.replace(effect, conditions=())
            for effect in real(T, order, now)
        ]

    return mock.patch.dict(_steps._RUN, {OrderState.CLAIMING: run})


def take_over_after_time():
    """Take over any claim that has not changed for a while."""
    real = _claims._await_other

    def wait(T, order, row, now):
        if now - order.seen_at >= _TAKEOVER_S:
            _claims.begin_claim(T, order, now, row.version)
            return []
        return real(T, order, row, now)

    return mock.patch.object(_claims, '_await_other', wait)


def release_after_sending():
    """Take a call that brought no answer for one that was not sent."""

    def handle(T, order, now):
        order.open_calls = 0
        return _calls._end_unreachable(T, order, now)

    return mock.patch.object(_calls, 'handle_lost', handle)


def resend_after_loss():
    """Send again whatever the service is."""

    def handle(T, order, now):
        order.open_calls = 0
        return _calls._retry_call(T, order, now)

    return mock.patch.object(_calls, 'handle_lost', handle)


def ignore_start_limit():
    """Send a call however old the claim is."""

    def compute(order, service):
        return order.deadline

    return mock.patch.object(_timing, 'compute_start_by', compute)


def settle_at_once():
    """Believe at once that a call that was not found will not run."""
    return mock.patch.object(_calls, '_is_settled', lambda T, order: True)


def ignore_running_calls():
    """Take a call that still runs for one that was not run."""
    real = _calls.handle_told

    def handle(T, order, inp, now):
        return real(T, order, dataclasses.replace(inp, started=False), now)

    return mock.patch.object(_calls, 'handle_told', handle)


def share_keys():
    """Give services the caller's key without the organisation."""

    def format_key(order):
        return order.key

    return mock.patch.object(_calls, '_format_key', format_key)


def share_rows():
    """Keep one row for a key of all organisations."""

    def format_key(organisation, service, key):
        return f'order/{service}/{key}'

    return mock.patch.object(_rows, 'format_row_key', format_key)


def ignore_digest():
    """Give the stored result to orders with another body."""
    return mock.patch.object(_rows, 'digest_body', lambda body: '')


def repeat_nonces():
    """Draw nonces that a replaced process draws again."""
    real = _claims.begin_claim

    def begin(T, order, now, base_version=0, takes_over=False):
        real(T, order, now, base_version, takes_over)
        order.nonce = f'{T.me}/{order.base_version}'

    return mock.patch.object(_claims, 'begin_claim', begin)


def refuse_without_release():
    """Refuse and forget a claim that may have been written."""

    def run(T, order, now):
        _endings.drop(T, order)
        return []

    return mock.patch.dict(_steps._RUN, {OrderState.RELEASING: run})


def release_unfenced():
    """Forget an unknown claim that the platform does not hold yet."""
    real = _endings.run_releasing

    def run(T, order, now):
        if not order.holds:
            _endings.drop(T, order)
            return []
        return real(T, order, now)

    return mock.patch.dict(_steps._RUN, {OrderState.RELEASING: run})


def refuse_while_calling():
    """Say at the deadline that a call under way was not run."""
    real = _steps._meet_deadline

    def meet(T, order, now):
        calling = order.state is OrderState.CALLING and order.pending
        if calling and not order.answered and now >= order.deadline:
            order.open_calls = 0
            code = outcomes.Code.DEADLINE_BEFORE_START
            return _endings.end_not_run(T, order, now, code)
        return real(T, order, now)

    return mock.patch.object(_steps, '_meet_deadline', meet)


def release_for_leavers():
    """Release the claim when the caller leaves during the call."""
    real = _steps.handle_departure

    def handle(T, inp, now):
        order = T.orders.get(inp.request)
        if order is not None and not order.answered:
            order.open_calls = 0
        return real(T, inp, now)

    return mock.patch.dict(_steps.HANDLERS, {inputs.CallerLeft: handle})


def release_taken_over_claims():
    """Forget that a claim took the place of one that may have run."""
    real = _claims.begin_claim

    def begin(T, order, now, base_version=0, takes_over=False):
        real(T, order, now, base_version)

    return mock.patch.object(_claims, 'begin_claim', begin)


def forget_results():
    """Answer the caller and store nothing."""

    def run(T, order, now):
        return _endings._end_stored(T, order)

    return mock.patch.dict(_steps._RUN, {OrderState.STORING: run})


def send_after_thaw():
    """Send what was decided before a freeze, with the time left then."""

    left_s = {}
    real = _calls._send_call

    def send(T, order, service, address, now):
        start_by = _timing.compute_start_by(order, service)
        left_s[order.name] = start_by - now
        return real(T, order, service, address, now)

    def compute(world, entry, call):
        return world.now + left_s[call.order]

    stack = contextlib.ExitStack()
    stack.enter_context(mock.patch.object(_calls, '_send_call', send))
    stack.enter_context(
        mock.patch.object(orders, 'may_call', lambda T, call, now: True)
    )
    stack.enter_context(
        mock.patch.object(_orders.OrderWorld, 'compute_wall_deadline', compute)
    )
    return stack


@dataclasses.dataclass(frozen=True, slots=True)
class Mutant:
    """A naive variant and where its fault shows.

    Attributes
    ----------
    apply : callable
        Gives a context manager in which the variant is in force.
    breaks : str
        Part of the sentence that the checker must say.
    services : tuple of str or None
        Kinds of services to try; None for all.
    kinds : tuple of FaultKind or None
        Kinds of faults to try; None for all.
    script : callable or None
        Gives the scenario of a seed where random ones seldom show it.
    """

    apply: typing.Any
    breaks: str
    services: tuple | None = None
    kinds: tuple | None = None
    script: typing.Any = None

    def draw(self, seed):
        """Return the scenario that belongs to a seed."""
        if self.script is not None:
            return self.script(seed)
        return _orderplans.draw_scenario(
            seed, services=self.services, kinds=self.kinds
        )


def _script_takeover(seed):
    """Kill the first holder; hide the service from the second one."""
    plan = _orders.Plan(
        0.0, 'north', _orders.DEDUPLICATING, 'a', '{"boxes":1}', repeats=0
    )
    second = dataclasses.replace(plan, at=1.0, entry=1)
    other = dataclasses.replace(plan, at=13.0, entry=2, body='{"boxes":2}')
    faults = (
        _orders.Fault(Kind.KILL, 0.1, 0.0, 0),
        _orders.Fault(Kind.SERVICE_REFUSES, 0.5, 12.0),
    )
    return _orders.Scenario(seed, (plan, second, other), faults)


_TWICE = 'ran twice'
_UNTRUE = 'was refused as not run but ran'
_CROSSED = 'got a result of another order'
_UNSETTLED = 'is not settled'

_PLAIN = (_orders.PLAIN,)
_LOOKUP = (_orders.LOOKUP,)
_DEDUPLICATING = (_orders.DEDUPLICATING,)
_PLATFORM = (Kind.PLATFORM_LOSES, Kind.PLATFORM_SLOW, Kind.PLATFORM_DOWN)
_CALLS = (Kind.SERVICE_LOSES, Kind.SERVICE_LATE, Kind.SERVICE_CRASHES)
_RUNS = (Kind.SERVICE_SLOW, Kind.SERVICE_LOSES, Kind.KILL_MIDWAY)
_LATE_STARTS = (Kind.SERVICE_REFUSES, Kind.FREEZE, Kind.SERVICE_LATE)
_PROCESSES = (Kind.FREEZE_MIDWAY, Kind.KILL_MIDWAY)

MUTANTS = (
    Mutant(skip_read_back, _TWICE, _PLAIN, _PLATFORM),
    Mutant(claim_without_condition, _TWICE),
    Mutant(take_over_after_time, _TWICE, _PLAIN, _PROCESSES),
    Mutant(release_after_sending, _UNTRUE, _PLAIN, _CALLS),
    Mutant(release_after_sending, _TWICE, _PLAIN, _CALLS),
    Mutant(resend_after_loss, _TWICE, _PLAIN, _CALLS),
    Mutant(ignore_start_limit, _TWICE, _LOOKUP, _LATE_STARTS),
    Mutant(settle_at_once, _TWICE, _LOOKUP, _CALLS),
    Mutant(ignore_running_calls, _TWICE, _LOOKUP, _RUNS),
    Mutant(share_keys, _CROSSED, _DEDUPLICATING),
    Mutant(share_rows, _CROSSED),
    Mutant(ignore_digest, _CROSSED),
    Mutant(repeat_nonces, _TWICE, _PLAIN),
    Mutant(refuse_without_release, _UNSETTLED, _PLAIN, _PLATFORM),
    Mutant(release_unfenced, _UNSETTLED, _PLAIN, _PLATFORM),
    Mutant(refuse_while_calling, _UNTRUE, _PLAIN, _CALLS),
    Mutant(release_for_leavers, _UNTRUE, _PLAIN),
    Mutant(release_taken_over_claims, _CROSSED, script=_script_takeover),
    Mutant(forget_results, _UNSETTLED, _PLAIN, _PLATFORM),
    Mutant(send_after_thaw, _TWICE, _LOOKUP, _PROCESSES),
)
