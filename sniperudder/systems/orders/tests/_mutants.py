"""Mutants of the order system that the checker must detect."""

import contextlib
import dataclasses
import typing
from unittest import mock

from sniperudder import inputs
from sniperudder import outcomes
from sniperudder.systems import orders
from sniperudder.systems.orders import _calls
from sniperudder.systems.orders import _claims
from sniperudder.systems.orders import _completion
from sniperudder.systems.orders import _purposes
from sniperudder.systems.orders import _rows
from sniperudder.systems.orders import _state_machine
from sniperudder.systems.orders import _timing
from sniperudder.tables import OrderState
from sniperudder.testing import _orders
from sniperudder.testing._orders import FaultKind as Kind
from sniperudder.testing import _orderscenarios

_TAKEOVER_AGE_S = 2.0


def _replace_handler(purpose, handle):
    state, _ = _state_machine._PLATFORM_HANDLERS[purpose]
    return mock.patch.dict(
        _state_machine._PLATFORM_HANDLERS, {purpose: (state, handle)}
    )


def accept_unknown_claim():
    """Treat a claim with an unknown outcome as committed."""

    def handle(T, order, outcome, now):
        if isinstance(outcome, inputs.Unknown):
            order.owns_claim = True
            order.row_version = order.base_version + 1
            _completion.enter_state(order, OrderState.CALLING, now)
            return []
        return _claims.handle_claim_outcome(T, order, outcome, now)

    return _replace_handler(_purposes.ClaimOrder, handle)


def claim_without_condition():
    """Write the claim without a condition on the row version."""
    real = _claims.request_claim

    def run(T, order, now):
        return [
            dataclasses.replace(effect, conditions=())
            for effect in real(T, order, now)
        ]

    return mock.patch.dict(
        _state_machine._STATE_ACTIONS, {OrderState.CLAIMING: run}
    )


def take_over_idle_claim():
    """Take over a claim whose row has not changed for a fixed time."""
    real = _claims._await_other_claim

    def wait(T, order, row, now):
        if now - order.seen_at >= _TAKEOVER_AGE_S:
            _claims.begin_claim(T, order, now, row.version)
            return []
        return real(T, order, row, now)

    return mock.patch.object(_claims, '_await_other_claim', wait)


def treat_lost_call_as_unsent():
    """Treat a call whose reply was lost as a call that was not sent."""

    def handle(T, order, now):
        order.open_calls = 0
        return _calls._end_unreachable(T, order, now)

    return mock.patch.object(_calls, 'handle_lost_call', handle)


def resend_lost_call():
    """Retry a lost call, even if the service does not deduplicate."""

    def handle(T, order, now):
        order.open_calls = 0
        return _calls._retry_call(T, order, now)

    return mock.patch.object(_calls, 'handle_lost_call', handle)


def ignore_start_deadline():
    """Send a call regardless of the age of the claim."""

    def compute(order, service):
        return order.deadline

    return mock.patch.object(_timing, 'compute_start_by', compute)


def skip_settle_time():
    """Conclude at once that a call that is not found will not run."""
    return mock.patch.object(_calls, '_is_settled', lambda T, order: True)


def ignore_started_flag():
    """Treat a call that is still running as a call that did not run."""
    real = _calls.handle_lookup

    def handle(T, order, inp, now):
        return real(T, order, dataclasses.replace(inp, started=False), now)

    return mock.patch.object(_calls, 'handle_lookup', handle)


def omit_organisation_from_service_key():
    """Send the caller's key to the service without the organisation."""

    def format_key(order):
        return order.key

    return mock.patch.object(_calls, '_format_key', format_key)


def omit_organisation_from_row_key():
    """Use one row for equal keys of all organisations."""

    def format_key(organisation, service, key):
        return f'order/{service}/{key}'

    return mock.patch.object(_rows, 'format_row_key', format_key)


def ignore_digest():
    """Return the stored result to orders with another body."""
    return mock.patch.object(_rows, 'digest_body', lambda body: '')


def reuse_nonces():
    """Use nonces that are repeated after a restart of the process."""
    real = _claims.begin_claim

    def begin(T, order, now, base_version=0, takes_over=False):
        real(T, order, now, base_version, takes_over)
        order.nonce = f'{T.me}/{order.base_version}'

    return mock.patch.object(_claims, 'begin_claim', begin)


def skip_release():
    """Remove a refused order whose claim may have been committed."""

    def run(T, order, now):
        _completion.remove_order(T, order)
        return []

    return mock.patch.dict(
        _state_machine._STATE_ACTIONS, {OrderState.RELEASING: run}
    )


def skip_release_of_unconfirmed_claim():
    """Remove an order whose claim is unconfirmed and may commit later."""
    real = _completion.release_claim

    def run(T, order, now):
        if not order.owns_claim:
            _completion.remove_order(T, order)
            return []
        return real(T, order, now)

    return mock.patch.dict(
        _state_machine._STATE_ACTIONS, {OrderState.RELEASING: run}
    )


def refuse_running_call_at_deadline():
    """Refuse an order as not run at its deadline while its call runs."""
    real = _state_machine._check_deadline

    def check(T, order, now):
        calling = order.state is OrderState.CALLING and order.pending
        if calling and not order.answered and now >= order.deadline:
            order.open_calls = 0
            code = outcomes.Code.DEADLINE_BEFORE_START
            return _completion.end_not_run(T, order, now, code)
        return real(T, order, now)

    return mock.patch.object(_state_machine, '_check_deadline', check)


def release_on_disconnect():
    """Release the claim when the caller disconnects during the call."""
    real = _state_machine.handle_disconnect

    def handle(T, inp, now):
        order = T.orders.get(inp.request)
        if order is not None and not order.answered:
            order.open_calls = 0
        return real(T, inp, now)

    return mock.patch.dict(
        _state_machine.HANDLERS, {inputs.CallerDisconnected: handle}
    )


def release_taken_over_claims():
    """Ignore that a claim replaced one whose order may have run."""
    real = _claims.begin_claim

    def begin(T, order, now, base_version=0, takes_over=False):
        real(T, order, now, base_version)

    return mock.patch.object(_claims, 'begin_claim', begin)


def skip_storing():
    """Answer the caller without storing the result."""

    def run(T, order, now):
        return _completion._complete_stored(T, order)

    return mock.patch.dict(
        _state_machine._STATE_ACTIONS, {OrderState.STORING: run}
    )


def send_after_suspension():
    """Send a call after a suspension with its earlier remaining time.

    The remaining time was computed before the process was suspended, and
    the call is not checked again before it is sent.
    """

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
        mock.patch.object(
            _orders.OrderSimulation, 'compute_wall_deadline', compute
        )
    )
    return stack


@dataclasses.dataclass(frozen=True, slots=True)
class Mutant:
    """A mutant and the scenarios that reveal its fault.

    Attributes
    ----------
    apply : callable
        Returns a context manager within which the mutant is active.
    expected_finding : str
        Part of the finding that the checker must return.
    services : tuple of str or None
        Kinds of services in the scenarios; None for all.
    kinds : tuple of FaultKind or None
        Kinds of faults in the scenarios; None for all.
    script : callable or None
        Returns the scenario for a seed; for faults that random scenarios
        seldom reveal.
    """

    apply: typing.Any
    expected_finding: str
    services: tuple | None = None
    kinds: tuple | None = None
    script: typing.Any = None

    def draw(self, seed):
        """Return the scenario for a seed."""
        if self.script is not None:
            return self.script(seed)
        return _orderscenarios.draw_scenario(
            seed, services=self.services, kinds=self.kinds
        )


def _script_takeover(seed):
    """Kill the first holder of a claim and make the service unreachable.

    The second instance then takes over the claim and cannot call.
    """
    plan = _orders.OrderPlan(
        0.0, 'north', _orders.DEDUPLICATING, 'a', '{"boxes":1}', repeats=0
    )
    second = dataclasses.replace(plan, at=1.0, entry=1)
    other = dataclasses.replace(plan, at=13.0, entry=2, body='{"boxes":2}')
    faults = (
        _orders.Fault(Kind.KILL, 0.1, 0.0, 0),
        _orders.Fault(Kind.SERVICE_REFUSES, 0.5, 12.0),
    )
    return _orders.Scenario(seed, (plan, second, other), faults)


_RAN_TWICE = 'ran twice'
_FALSE_REFUSAL = 'was refused as not run but ran'
_WRONG_RESULT = 'got a result of another order'
_UNRESOLVED = 'is not settled'

_PLAIN = (_orders.PLAIN,)
_LOOKUP = (_orders.LOOKUP,)
_DEDUPLICATING = (_orders.DEDUPLICATING,)
_PLATFORM_FAULTS = (
    Kind.PLATFORM_LOSES,
    Kind.PLATFORM_SLOW,
    Kind.PLATFORM_DOWN,
)
_CALL_FAULTS = (Kind.SERVICE_LOSES, Kind.SERVICE_LATE, Kind.SERVICE_CRASHES)
_RUN_FAULTS = (Kind.SERVICE_SLOW, Kind.SERVICE_LOSES, Kind.KILL_MIDWAY)
_LATE_START_FAULTS = (Kind.SERVICE_REFUSES, Kind.FREEZE, Kind.SERVICE_LATE)
_PROCESS_FAULTS = (Kind.FREEZE_MIDWAY, Kind.KILL_MIDWAY)

MUTANTS = (
    Mutant(accept_unknown_claim, _RAN_TWICE, _PLAIN, _PLATFORM_FAULTS),
    Mutant(claim_without_condition, _RAN_TWICE),
    Mutant(take_over_idle_claim, _RAN_TWICE, _PLAIN, _PROCESS_FAULTS),
    Mutant(treat_lost_call_as_unsent, _FALSE_REFUSAL, _PLAIN, _CALL_FAULTS),
    Mutant(treat_lost_call_as_unsent, _RAN_TWICE, _PLAIN, _CALL_FAULTS),
    Mutant(resend_lost_call, _RAN_TWICE, _PLAIN, _CALL_FAULTS),
    Mutant(ignore_start_deadline, _RAN_TWICE, _LOOKUP, _LATE_START_FAULTS),
    Mutant(skip_settle_time, _RAN_TWICE, _LOOKUP, _CALL_FAULTS),
    Mutant(ignore_started_flag, _RAN_TWICE, _LOOKUP, _RUN_FAULTS),
    Mutant(omit_organisation_from_service_key, _WRONG_RESULT, _DEDUPLICATING),
    Mutant(omit_organisation_from_row_key, _WRONG_RESULT),
    Mutant(ignore_digest, _WRONG_RESULT),
    Mutant(reuse_nonces, _RAN_TWICE, _PLAIN),
    Mutant(skip_release, _UNRESOLVED, _PLAIN, _PLATFORM_FAULTS),
    Mutant(
        skip_release_of_unconfirmed_claim,
        _UNRESOLVED,
        _PLAIN,
        _PLATFORM_FAULTS,
    ),
    Mutant(
        refuse_running_call_at_deadline, _FALSE_REFUSAL, _PLAIN, _CALL_FAULTS
    ),
    Mutant(release_on_disconnect, _FALSE_REFUSAL, _PLAIN),
    Mutant(release_taken_over_claims, _WRONG_RESULT, script=_script_takeover),
    Mutant(skip_storing, _UNRESOLVED, _PLAIN, _PLATFORM_FAULTS),
    Mutant(send_after_suspension, _RAN_TWICE, _LOOKUP, _PROCESS_FAULTS),
)
