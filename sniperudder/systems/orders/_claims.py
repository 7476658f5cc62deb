"""Claims of idempotency keys, and handling of rows of other orders."""

from sniperudder import effects
from sniperudder import inputs
from sniperudder import outcomes
from sniperudder.systems.orders import _completion
from sniperudder.systems.orders import _purposes
from sniperudder.systems.orders import _restoration
from sniperudder.systems.orders import _rows
from sniperudder.systems.orders import _timing
from sniperudder.tables import OrderState

# Time that the instance owning a claim is given to store the result before
# others look it up at the service.
_LOOKUP_DELAY_S = 1.0


def begin_claim(T, order, now, base_version=0, takes_over=False):
    """Begin to claim the row, provided that it is at a given version.

    Every claim has a nonce of its own. It includes the order's name, which
    makes it unique in the fleet even if two processes draw the same random
    numbers. If this order already owns the claim, the row must be released
    later even if the new claim is not sent.
    """
    renews = order.owns_claim
    _completion.enter_state(order, OrderState.CLAIMING, now)
    order.nonce = f'{T.me}/{order.name}/{T.rng.getrandbits(64):016x}'
    order.base_version = base_version
    order.takes_over = takes_over
    order.owns_claim = False
    order.claimed_at = None
    order.claim_possible = renews
    order.claim_lost = renews


def request_claim(T, order, now):
    """Send the claim to the platform; retries are idempotent by nonce."""
    if order.claimed_at is None or not order.claim_possible:
        order.claimed_at = now
    order.claim_possible = True
    key = _rows.format_row_key(order.organisation, order.service, order.key)
    row = _rows.OrderRow(
        _rows.RowState.CLAIMED, order.digest, order.nonce, T.me
    )
    serial = _timing.expect_platform_reply(T, order, now)
    return [
        effects.Transact(
            purpose=_purposes.ClaimOrder(order.name, serial),
            conditions=(effects.Condition(key, order.base_version),),
            writes=(effects.Write(key, _rows.encode_row(row)),),
            reads=(key,),
        )
    ]


def read_other_claim(T, order, now):
    """Read the row, which another order has claimed."""
    key = _rows.format_row_key(order.organisation, order.service, order.key)
    serial = _timing.expect_platform_reply(T, order, now)
    return [
        effects.Transact(
            purpose=_purposes.ReadOrder(order.name, serial),
            reads=(key,),
        )
    ]


def handle_claim_outcome(T, order, outcome, now):
    """Handle the outcome of a claim."""
    match outcome:
        case inputs.Committed() | inputs.Conflicted():
            row = _completion.find_row(order, outcome.rows)
            return _inspect_row(T, order, row, now)
        case inputs.Unknown():
            order.claim_lost = True
        case inputs.NotSent():
            order.claim_possible = order.claim_lost
    _timing.schedule_retry(T, order, now)
    return []


def handle_read_outcome(T, order, outcome, now):
    """Handle the outcome of a read."""
    match outcome:
        case inputs.Committed() | inputs.Conflicted():
            row = _completion.find_row(order, outcome.rows)
            return _inspect_row(T, order, row, now)
    _timing.schedule_poll(T, order, now)
    return []


def _inspect_row(T, order, row, now):
    if row is None:
        begin_claim(T, order, now)
        return []
    content = _rows.decode_row(row.value)
    if content is None:
        return _completion.end_in_doubt(T, order, now)
    if content.nonce == order.nonce:
        if content.state is _rows.RowState.CLAIMED:
            return _accept_claim(T, order, row, content, now)
    # The row has changed, so a claim still in flight cannot take effect.
    order.claim_possible = False
    order.takes_over = False
    _record_row_version(order, row, content, now)
    if content.state is _rows.RowState.RELEASED:
        begin_claim(T, order, now, row.version)
        return []
    if content.digest != order.digest:
        return _refuse_conflict(T, order)
    if content.state is _rows.RowState.DONE:
        return _return_stored_result(T, order, content)
    return _await_other_claim(T, order, row, now)


def _accept_claim(T, order, row, content, now):
    if not _restoration.is_claimable(T, row.key, now):
        # The key may have been claimed before the platform was restored.
        _timing.schedule_poll(T, order, now)
        return []
    _restoration.remember_claim(T, row.key, content, now)
    order.owns_claim = True
    order.row_version = row.version
    _completion.enter_state(order, OrderState.CALLING, now)
    return []


def _record_row_version(order, row, content, now):
    order.row_in_doubt = content.state is _rows.RowState.IN_DOUBT
    if order.row_version != row.version:
        order.row_version = row.version
        order.seen_at = now


def _refuse_conflict(T, order):
    code = outcomes.Code.IDEMPOTENCY_CONFLICT
    detail = 'An earlier call with the same key and another body counts.'
    out = _completion.send_outcome(order, outcomes.Refused(code, detail))
    _completion.remove_order(T, order)
    return out


def _return_stored_result(T, order, content):
    order.repeated = True
    order.result = content.body
    order.status = content.status
    out = _completion.send_result(order)
    _completion.remove_order(T, order)
    return out


def _await_other_claim(T, order, row, now):
    service = T.services[order.service]
    age_s = now - order.seen_at
    if service.deduplicates:
        if order.row_in_doubt or age_s >= service.settle_s:
            begin_claim(T, order, now, row.version, takes_over=True)
            return []
    elif service.lookup:
        if order.row_in_doubt or age_s >= _LOOKUP_DELAY_S:
            order.state = OrderState.ASKING
            order.next_action_at = now
            return []
    elif order.row_in_doubt:
        return _completion.end_in_doubt(T, order, now)
    if order.state is not OrderState.WAITING:
        _completion.enter_state(order, OrderState.WAITING, now)
    _timing.schedule_poll(T, order, now)
    return []
