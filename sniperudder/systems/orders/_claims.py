"""Claims of idempotency keys, and what the rows of others say."""

from sniperudder import effects
from sniperudder import inputs
from sniperudder import outcomes
from sniperudder.systems.orders import _endings
from sniperudder.systems.orders import _purposes
from sniperudder.systems.orders import _rows
from sniperudder.systems.orders import _timing
from sniperudder.tables import OrderState

# Time for which a living holder is given the chance to finish.
_ASK_AFTER_S = 1.0


def begin_claim(T, order, now, base_version=0, takes_over=False):
    """Set out to claim the row as it stands at a version.

    Every claim has a nonce of its own. The order's name makes it unique
    in the fleet even where two processes draw the same random numbers.
    A claim that renews this order's own must be released in any case.
    """
    renews = order.holds
    _endings.enter(order, OrderState.CLAIMING, now)
    order.nonce = f'{T.me}/{order.name}/{T.rng.getrandbits(64):016x}'
    order.base_version = base_version
    order.takes_over = takes_over
    order.holds = False
    order.claimed_at = None
    order.may_be_claimed = renews
    order.claim_lost = renews


def run_claiming(T, order, now):
    """Ask the platform for the claim; repeats are idempotent by nonce."""
    if order.claimed_at is None or not order.may_be_claimed:
        order.claimed_at = now
    order.may_be_claimed = True
    key = _rows.format_row_key(order.organisation, order.service, order.key)
    row = _rows.OrderRow(
        _rows.RowState.CLAIMED, order.digest, order.nonce, T.me
    )
    serial = _timing.await_platform(T, order, now)
    return [
        effects.Transact(
            purpose=_purposes.ClaimOrder(order.name, serial),
            conditions=(effects.Condition(key, order.base_version),),
            writes=(effects.Write(key, _rows.encode_row(row)),),
            reads=(key,),
        )
    ]


def run_waiting(T, order, now):
    """Read the row that another order has claimed."""
    key = _rows.format_row_key(order.organisation, order.service, order.key)
    serial = _timing.await_platform(T, order, now)
    return [
        effects.Transact(
            purpose=_purposes.ReadOrder(order.name, serial),
            reads=(key,),
        )
    ]


def handle_claimed(T, order, outcome, now):
    """Take the answer to a claim."""
    match outcome:
        case inputs.Committed() | inputs.Conflicted():
            row = _endings.find_row(order, outcome.rows)
            return _inspect_row(T, order, row, now)
        case inputs.Unknown():
            order.claim_lost = True
        case inputs.NotSent():
            order.may_be_claimed = order.claim_lost
    _timing.delay_retry(T, order, now)
    return []


def handle_read(T, order, outcome, now):
    """Take the answer to a read."""
    match outcome:
        case inputs.Committed() | inputs.Conflicted():
            row = _endings.find_row(order, outcome.rows)
            return _inspect_row(T, order, row, now)
    _timing.delay_poll(T, order, now)
    return []


def _inspect_row(T, order, row, now):
    if row is None:
        begin_claim(T, order, now)
        return []
    content = _rows.decode_row(row.value)
    if content is None:
        return _endings.end_in_doubt(T, order, now)
    if content.nonce == order.nonce:
        if content.state is _rows.RowState.CLAIMED:
            return _take_claim(order, row, now)
    # The row has moved on, so a claim under way cannot take effect.
    order.may_be_claimed = False
    order.takes_over = False
    _note_version(order, row, content, now)
    if content.state is _rows.RowState.RELEASED:
        begin_claim(T, order, now, row.version)
        return []
    if content.digest != order.digest:
        return _refuse_conflict(T, order)
    if content.state is _rows.RowState.DONE:
        return _repeat_result(T, order, content)
    return _await_other(T, order, row, now)


def _take_claim(order, row, now):
    order.holds = True
    order.row_version = row.version
    _endings.enter(order, OrderState.CALLING, now)
    return []


def _note_version(order, row, content, now):
    order.row_doubtful = content.state is _rows.RowState.IN_DOUBT
    if order.row_version != row.version:
        order.row_version = row.version
        order.seen_at = now


def _refuse_conflict(T, order):
    code = outcomes.Code.IDEMPOTENCY_CONFLICT
    detail = 'An earlier call with the same key and another body counts.'
    out = _endings.finish(order, outcomes.Refused(code, detail))
    _endings.drop(T, order)
    return out


def _repeat_result(T, order, content):
    order.repeated = True
    order.result = content.body
    order.status = content.status
    out = _endings.answer_order(order)
    _endings.drop(T, order)
    return out


def _await_other(T, order, row, now):
    service = T.services[order.service]
    age = now - order.seen_at
    if service.deduplicates:
        if order.row_doubtful or age >= service.settle_s:
            begin_claim(T, order, now, row.version, takes_over=True)
            return []
    elif service.lookup:
        if order.row_doubtful or age >= _ASK_AFTER_S:
            order.state = OrderState.ASKING
            order.next_at = now
            return []
    elif order.row_doubtful:
        return _endings.end_in_doubt(T, order, now)
    if order.state is not OrderState.WAITING:
        _endings.enter(order, OrderState.WAITING, now)
    _timing.delay_poll(T, order, now)
    return []
