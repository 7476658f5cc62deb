"""State machine of orders: due actions and handlers of inputs."""

from sniperudder import effects
from sniperudder import errors
from sniperudder import inputs
from sniperudder import outcomes
from sniperudder.systems.orders import _admission
from sniperudder.systems.orders import _calls
from sniperudder.systems.orders import _claims
from sniperudder.systems.orders import _completion
from sniperudder.systems.orders import _purposes
from sniperudder.systems.orders import _restoration
from sniperudder.systems.orders import _rows
from sniperudder.systems.orders import _timing
from sniperudder import tables
from sniperudder.tables import OrderState

_MAX_ACTIONS_PER_ADVANCE = 10
_SUSPENSION_THRESHOLD_S = 0.5
_WAIT_EXTENSION_S = 1.0
# An order that ends while it waits for another order's claim is in doubt if
# it saw that claim longer ago than this multiple of the time-out of calls.
# The claim's owner waits as long for the service's reply, see
# ``_timing.expect_service_reply``.
_MAX_RUN_FACTOR = 2

_STATE_ACTIONS = {
    OrderState.CLAIMING: _claims.request_claim,
    OrderState.WAITING: _claims.read_other_claim,
    OrderState.CALLING: _calls.call_service,
    OrderState.ASKING: _calls.look_up_result,
    OrderState.STORING: _completion.store_result,
    OrderState.MARKING: _completion.mark_in_doubt,
    OrderState.LISTENING: _completion.await_late_report,
    OrderState.RELEASING: _completion.release_claim,
}

_PLATFORM_HANDLERS = {
    _purposes.ClaimOrder: (OrderState.CLAIMING, _claims.handle_claim_outcome),
    _purposes.ReadOrder: (OrderState.WAITING, _claims.handle_read_outcome),
    _purposes.StoreOrder: (
        OrderState.STORING,
        _completion.handle_store_outcome,
    ),
    _purposes.MarkOrder: (OrderState.MARKING, _completion.handle_mark_outcome),
    _purposes.ReleaseOrder: (
        OrderState.RELEASING,
        _completion.handle_mark_outcome,
    ),
}


def handle_arrival(T, inp, now):
    """Admit or refuse an order."""
    if inp.order in T.orders:
        raise errors.InvariantBroken(
            f'{inp.order}: order with this name has already arrived'
        )
    refusal = _admission.find_refusal(T, inp, now)
    if refusal is not None:
        outcome = outcomes.Refused(refusal)
        return [effects.SendOutcome(inp.order, outcome)]
    T.orders[inp.order] = _create_order(T, inp, now)
    return _begin_orders(T, now)


def handle_disconnect(T, inp, now):
    """Handle a caller's disconnect; open calls continue."""
    order = T.orders.get(inp.request)
    if order is None or order.answered:
        return []
    order.left = True
    if order.open_calls or order.state is OrderState.STORING:
        return []
    if order.state in (OrderState.WAITING, OrderState.ASKING):
        return _end_waiting(T, order, now)
    code = outcomes.Code.LEFT_BEFORE_START
    out = _completion.end_not_run(T, order, now, code)
    return out + _advance(T, order, now)


def handle_call_result(T, inp, now):
    """Handle the result of a call to a service."""
    order = T.orders.get(inp.order)
    if order is None:
        return [effects.LogEvent('order:late-answer', inp.order)]
    out = _calls.handle_call_result(T, order, inp, now)
    out += _advance(T, order, now)
    return out + _begin_orders(T, now)


def handle_lookup(T, inp, now):
    """Handle the reply to a lookup."""
    order = T.orders.get(inp.order)
    if order is None or order.state is not OrderState.ASKING:
        return []
    current = order.pending and order.pending == inp.lookup_number
    if not current and not inp.found:
        # The call may have run since an earlier lookup did not find its
        # key.
        return []
    out = _calls.handle_lookup(T, order, inp, now)
    return out + _advance(T, order, now)


def handle_transaction(T, inp, now):
    """Handle the outcome of a transaction; late ones are ignored."""
    state, handle = _PLATFORM_HANDLERS[type(inp.purpose)]
    order = T.orders.get(inp.purpose.order)
    if order is None or order.state is not state:
        return []
    if order.pending != inp.purpose.serial:
        return []
    order.pending = 0
    out = handle(T, order, inp.outcome, now)
    return out + _advance(T, order, now)


def run_orders(T, now):
    """Run the due actions of all orders."""
    out = _restoration.check_rows(T, now)
    for order in list(T.orders.values()):
        out += _advance(T, order, now)
    return out + _begin_orders(T, now)


def _begin_orders(T, now):
    out = []
    for order in _admission.begin_orders(T, now):
        out += _advance(T, order, now)
    return out


def _create_order(T, inp, now):
    allowed_s = inp.deadline_s
    if allowed_s is None:
        allowed_s = T.policy.ranks[inp.rank].deadline_s
    return tables.Order(
        name=inp.order,
        organisation=inp.organisation,
        rank=inp.rank,
        service=inp.service,
        key=inp.key,
        body=inp.body,
        digest=_rows.digest_body(inp.body),
        nonce='',
        arrived_at=now,
        deadline=now + allowed_s,
    )


def _advance(T, order, now):
    out = []
    for _ in range(_MAX_ACTIONS_PER_ADVANCE):
        if order.name not in T.orders:
            return out
        out += _check_deadline(T, order, now)
        if order.name not in T.orders or now < order.next_action_at:
            return out
        out += _run_action(T, order, now)
    return out


def _run_action(T, order, now):
    if not order.pending:
        return _STATE_ACTIONS[order.state](T, order, now)
    if (
        not order.wait_extended
        or now > order.next_action_at + _SUSPENSION_THRESHOLD_S
    ):
        # At the first time-out, or after a suspension of this process, the
        # reply may already have arrived and its thread is about to report
        # it. The wait is extended before the reply is treated as lost.
        order.wait_extended = True
        order.next_action_at = now + _WAIT_EXTENSION_S
        return []
    order.pending = 0
    if order.state is OrderState.CALLING:
        return _calls.handle_lost_call(T, order, now)
    if order.state is OrderState.CLAIMING:
        order.claim_lost = True
    _timing.schedule_retry(T, order, now)
    return []


def _check_deadline(T, order, now):
    if order.answered:
        return []
    if order.state is OrderState.STORING:
        if now < order.result_at + _timing.MAX_STORE_WAIT_S:
            return []
        return _completion.send_result(order)
    if now < order.deadline:
        return []
    if order.open_calls:
        code = outcomes.Code.ORDER_IN_PROGRESS
        return _completion.send_outcome(order, outcomes.InDoubt(code))
    if order.state in (OrderState.WAITING, OrderState.ASKING):
        return _end_waiting(T, order, now)
    code = outcomes.Code.DEADLINE_BEFORE_START
    if order.state is OrderState.CLAIMING:
        code = outcomes.Code.PLATFORM_UNAVAILABLE
    return _completion.end_not_run(T, order, now, code)


def _end_waiting(T, order, now):
    max_run_s = _MAX_RUN_FACTOR * T.policy.order_timeout_s
    if order.row_in_doubt or now - order.seen_at > max_run_s:
        # An owner of the claim that still runs would have stored its result.
        return _completion.end_in_doubt(T, order, now)
    code = outcomes.Code.ORDER_IN_PROGRESS
    out = _completion.send_outcome(order, outcomes.InDoubt(code))
    _completion.remove_order(T, order)
    return out


HANDLERS = {
    inputs.OrderArrived: handle_arrival,
    inputs.CallerDisconnected: handle_disconnect,
    inputs.ServiceReturned: handle_call_result,
    inputs.KeyLookupReturned: handle_lookup,
}

PURPOSES = {
    **dict.fromkeys(_PLATFORM_HANDLERS, handle_transaction),
    _purposes.CheckOrder: _restoration.handle_checked,
}
