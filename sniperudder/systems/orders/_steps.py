"""What is due for an order, and what its inputs bring about."""

from sniperudder import effects
from sniperudder import errors
from sniperudder import inputs
from sniperudder import outcomes
from sniperudder.systems.orders import _admission
from sniperudder.systems.orders import _calls
from sniperudder.systems.orders import _claims
from sniperudder.systems.orders import _endings
from sniperudder.systems.orders import _purposes
from sniperudder.systems.orders import _rows
from sniperudder.systems.orders import _timing
from sniperudder import tables
from sniperudder.tables import OrderState

_MAX_STEPS = 10
_FROZEN_S = 0.5
_GRACE_S = 1.0
_LONGEST_RUN_FACTOR = 2

_RUN = {
    OrderState.CLAIMING: _claims.run_claiming,
    OrderState.WAITING: _claims.run_waiting,
    OrderState.CALLING: _calls.run_calling,
    OrderState.ASKING: _calls.run_asking,
    OrderState.STORING: _endings.run_storing,
    OrderState.MARKING: _endings.run_marking,
    OrderState.LISTENING: _endings.run_listening,
    OrderState.RELEASING: _endings.run_releasing,
}

_PLATFORM = {
    _purposes.ClaimOrder: (OrderState.CLAIMING, _claims.handle_claimed),
    _purposes.ReadOrder: (OrderState.WAITING, _claims.handle_read),
    _purposes.StoreOrder: (OrderState.STORING, _endings.handle_stored),
    _purposes.MarkOrder: (OrderState.MARKING, _endings.handle_marked),
    _purposes.ReleaseOrder: (OrderState.RELEASING, _endings.handle_marked),
}


def handle_arrival(T, inp, now):
    """Take an order from its caller."""
    if inp.order in T.orders:
        raise errors.InvariantBroken(f'{inp.order} arrived twice')
    refusal = _admission.find_refusal(T, inp, now)
    if refusal is not None:
        outcome = outcomes.Refused(refusal)
        return [effects.Finish(inp.order, outcome)]
    T.orders[inp.order] = _create_order(T, inp, now)
    return _begin_orders(T, now)


def handle_departure(T, inp, now):
    """Note that a caller has gone; what may have been sent goes on."""
    order = T.orders.get(inp.request)
    if order is None or order.answered:
        return []
    order.left = True
    if order.open_calls or order.state is OrderState.STORING:
        return []
    if order.state in (OrderState.WAITING, OrderState.ASKING):
        return _end_waiting(T, order, now)
    code = outcomes.Code.LEFT_BEFORE_START
    out = _endings.end_not_run(T, order, now, code)
    return out + _advance(T, order, now)


def handle_returned(T, inp, now):
    """Take a service's answer to a call."""
    order = T.orders.get(inp.order)
    if order is None:
        return [effects.Note('order:late-answer', inp.order)]
    out = _calls.handle_returned(T, order, inp, now)
    out += _advance(T, order, now)
    return out + _begin_orders(T, now)


def handle_told(T, inp, now):
    """Take a service's answer to a question."""
    order = T.orders.get(inp.order)
    if order is None or order.state is not OrderState.ASKING:
        return []
    current = order.pending and order.pending == inp.question
    if not current and not inp.found:
        # That a key was not found earlier may not be true any more.
        return []
    out = _calls.handle_told(T, order, inp, now)
    return out + _advance(T, order, now)


def handle_platform(T, inp, now):
    """Take the platform's answer; late ones are dropped."""
    state, handle = _PLATFORM[type(inp.purpose)]
    order = T.orders.get(inp.purpose.order)
    if order is None or order.state is not state:
        return []
    if order.pending != inp.purpose.serial:
        return []
    order.pending = 0
    out = handle(T, order, inp.outcome, now)
    return out + _advance(T, order, now)


def run_orders(T, now):
    """Do what is due for all orders."""
    out = []
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
    for _ in range(_MAX_STEPS):
        if order.name not in T.orders:
            return out
        out += _meet_deadline(T, order, now)
        if order.name not in T.orders or now < order.next_at:
            return out
        out += _take_step(T, order, now)
    return out


def _take_step(T, order, now):
    if not order.pending:
        return _RUN[order.state](T, order, now)
    if not order.overdue or now > order.next_at + _FROZEN_S:
        # Where this process was frozen, its threads report at once now.
        order.overdue = True
        order.next_at = now + _GRACE_S
        return []
    order.pending = 0
    if order.state is OrderState.CALLING:
        return _calls.handle_lost(T, order, now)
    if order.state is OrderState.CLAIMING:
        order.claim_lost = True
    _timing.delay_retry(T, order, now)
    return []


def _meet_deadline(T, order, now):
    if order.answered:
        return []
    if order.state is OrderState.STORING:
        if now < order.result_at + _timing.ANSWER_UNSTORED_S:
            return []
        return _endings.answer_order(order)
    if now < order.deadline:
        return []
    if order.open_calls:
        code = outcomes.Code.ORDER_IN_PROGRESS
        return _endings.finish(order, outcomes.InDoubt(code))
    if order.state in (OrderState.WAITING, OrderState.ASKING):
        return _end_waiting(T, order, now)
    code = outcomes.Code.DEADLINE_BEFORE_START
    if order.state is OrderState.CLAIMING:
        code = outcomes.Code.PLATFORM_UNAVAILABLE
    return _endings.end_not_run(T, order, now, code)


def _end_waiting(T, order, now):
    longest_s = _LONGEST_RUN_FACTOR * T.policy.order_timeout_s
    if order.row_doubtful or now - order.seen_at > longest_s:
        # A living holder would have written its result by now.
        return _endings.end_in_doubt(T, order, now)
    code = outcomes.Code.ORDER_IN_PROGRESS
    out = _endings.finish(order, outcomes.InDoubt(code))
    _endings.drop(T, order)
    return out


HANDLERS = {
    inputs.OrderArrived: handle_arrival,
    inputs.CallerLeft: handle_departure,
    inputs.ServiceReturned: handle_returned,
    inputs.ServiceTold: handle_told,
}

PURPOSES = {purpose: handle_platform for purpose in _PLATFORM}
