"""Completion of orders: outcomes, stored results, released claims."""

from sniperudder import effects
from sniperudder import errors
from sniperudder import inputs
from sniperudder import outcomes
from sniperudder.systems.orders import _purposes
from sniperudder.systems.orders import _restoration
from sniperudder.systems.orders import _rows
from sniperudder.systems.orders import _timing
from sniperudder.tables import OrderState

_RETRY_AFTER_S = 2.0
_MAX_REPORT_POLLS = 60
_REPORT_POLL_INTERVAL_S = 1.0
_NOT_RUN_DETAIL = (
    'This call was not run; an earlier one with the same key may have been.'
)


def send_outcome(order, outcome):
    """Send the caller its outcome, exactly once."""
    if order.answered:
        raise errors.InvariantBroken(
            f'{order.name}: second outcome for the caller'
        )
    if order.open_calls and isinstance(outcome, outcomes.Refused):
        raise errors.InvariantBroken(
            f'{order.name}: refused or released, but may have run'
        )
    order.answered = True
    return [effects.SendOutcome(order.name, outcome)]


def remove_order(T, order):
    """Remove an order whose caller has its outcome."""
    if not order.answered:
        raise errors.InvariantBroken(
            f'{order.name}: removed before its caller has an outcome'
        )
    T.orders.pop(order.name)


def end_not_run(T, order, now, code, detail=''):
    """Refuse an order that certainly has not run; release its claim."""
    if order.open_calls:
        raise errors.InvariantBroken(
            f'{order.name}: refused or released, but may have run'
        )
    out = []
    if not order.answered:
        out = send_outcome(order, _make_refusal(order, code, detail))
    if order.takes_over and order.owns_claim:
        enter_state(order, OrderState.MARKING, now)
    elif order.claim_possible and not order.takes_over:
        enter_state(order, OrderState.RELEASING, now)
    else:
        remove_order(T, order)
    return out


def end_in_doubt(T, order, now):
    """End an order as in doubt, and record this in its row.

    In doubt means that it is unknown whether the service ran the order.
    """
    key = _rows.format_row_key(order.organisation, order.service, order.key)
    out = [effects.LogEvent('order:in-doubt', order.name, key)]
    if not order.answered:
        code = outcomes.Code.ORDER_IN_DOUBT
        out += send_outcome(order, outcomes.InDoubt(code))
    if order.owns_claim:
        enter_state(order, OrderState.MARKING, now)
    else:
        remove_order(T, order)
    return out


def send_result(order):
    """Send the caller the result."""
    code = outcomes.Code.ANSWERED
    if order.repeated:
        code = outcomes.Code.STORED_RESULT
    return send_outcome(
        order, outcomes.Answered(code, order.result, order.status)
    )


def accept_result(T, order, now, status, body):
    """Accept the service's result and begin to store it."""
    order.status = status
    order.result = body
    order.result_at = now
    if order.owns_claim or order.repeated:
        enter_state(order, OrderState.STORING, now)
        return []
    out = [] if order.answered else send_result(order)
    remove_order(T, order)
    return out


def enter_state(order, state, now):
    """Set the state of an order; its action is due at once."""
    order.state = state
    order.pending = 0
    order.failures = 0
    order.next_action_at = now
    order.background_deadline = now + _timing.BACKGROUND_TIMEOUT_S


def store_result(T, order, now):
    """Write the result into the row."""
    row = _make_row(T, order, _rows.RowState.DONE)
    return _write_row(T, order, now, _purposes.StoreOrder, row)


def mark_in_doubt(T, order, now):
    """Mark the row as in doubt."""
    row = _make_row(T, order, _rows.RowState.IN_DOUBT)
    return _write_row(T, order, now, _purposes.MarkOrder, row)


def release_claim(T, order, now):
    """Mark the row as released; the order certainly has not run."""
    if order.open_calls or order.takes_over:
        raise errors.InvariantBroken(
            f'{order.name}: refused or released, but may have run'
        )
    row = _make_row(T, order, _rows.RowState.RELEASED)
    return _write_row(T, order, now, _purposes.ReleaseOrder, row)


def await_late_report(T, order, now):
    """Wait for the late report of a call, then remove the order.

    The wait is limited by a number of polls and not by a time: after a
    suspension, the process sees the new time before it receives the
    reports of its own threads.
    """
    if not order.unreported_calls or order.failures >= _MAX_REPORT_POLLS:
        remove_order(T, order)
        return []
    order.failures += 1
    order.next_action_at = now + _REPORT_POLL_INTERVAL_S
    return []


def handle_store_outcome(T, order, outcome, now):
    """Handle the outcome of storing the result."""
    match outcome:
        case inputs.Committed():
            return _complete_stored(T, order)
        case inputs.Conflicted():
            return _resolve_store_conflict(T, order, outcome, now)
    _timing.schedule_retry(T, order, now)
    return []


def handle_mark_outcome(T, order, outcome, now):
    """Handle the outcome of an in-doubt mark or a release."""
    match outcome:
        case inputs.Committed():
            _complete_marked(T, order, now)
            return []
        case inputs.Conflicted():
            return _resolve_mark_conflict(T, order, outcome, now)
    _timing.schedule_retry(T, order, now)
    return []


def find_row(order, rows):
    """Return the order's row out of ``rows``, or None."""
    key = _rows.format_row_key(order.organisation, order.service, order.key)
    for row in rows:
        if row.key == key:
            return row
    return None


def _make_refusal(order, code, detail):
    if order.takes_over:
        return outcomes.InDoubt(outcomes.Code.ORDER_IN_DOUBT, detail)
    if order.state in (OrderState.QUEUED, OrderState.CLAIMING):
        detail = _NOT_RUN_DETAIL
    return outcomes.Refused(code, detail, _RETRY_AFTER_S)


def _make_row(T, order, state):
    row = _rows.OrderRow(state, order.digest, order.nonce, T.me)
    if state is not _rows.RowState.DONE:
        return row
    return _rows.OrderRow(
        state,
        order.digest,
        order.nonce,
        T.me,
        order.status,
        order.result,
    )


def _write_row(T, order, now, purpose, row):
    if _is_exhausted(order, now):
        return _abandon_write(T, order)
    version = order.row_version
    if not (order.owns_claim or order.repeated):
        version = order.base_version
    key = _rows.format_row_key(order.organisation, order.service, order.key)
    _restoration.remember_end(T, key, row, now)
    serial = _timing.expect_platform_reply(T, order, now)
    return [
        effects.Transact(
            purpose=purpose(order.name, serial),
            conditions=(effects.Condition(key, version),),
            writes=(effects.Write(key, _rows.encode_row(row)),),
        )
    ]


def _is_exhausted(order, now):
    too_late = now >= order.background_deadline
    return too_late or order.failures >= _timing.MAX_BACKGROUND_TRIES


def _abandon_write(T, order):
    out = [effects.LogEvent('order:give-up', order.name, order.state.value)]
    if order.result is not None and not order.answered:
        out += send_result(order)
    remove_order(T, order)
    return out


def _complete_stored(T, order):
    out = [] if order.answered else send_result(order)
    remove_order(T, order)
    return out


def _resolve_store_conflict(T, order, outcome, now):
    row = find_row(order, outcome.rows)
    content = None if row is None else _rows.decode_row(row.value)
    if content is None:
        return _complete_without_storing(
            T, order, 'row is missing or cannot be decoded'
        )
    if content.state is _rows.RowState.DONE:
        return _complete_stored(T, order)
    if content.digest != order.digest:
        return _complete_without_storing(
            T, order, 'row belongs to an order with another body'
        )
    claimed = content.state is _rows.RowState.CLAIMED
    foreign = content.nonce != order.nonce
    if claimed and foreign and not T.services[order.service].deduplicates:
        return _complete_without_storing(T, order, content.nonce)
    order.row_version = row.version
    order.failures += 1
    order.next_action_at = now
    return []


def _complete_without_storing(T, order, detail):
    event = effects.LogEvent('order:overtaken', order.name, detail)
    return [event] + _complete_stored(T, order)


def _complete_marked(T, order, now):
    if order.state is OrderState.MARKING and order.unreported_calls:
        enter_state(order, OrderState.LISTENING, now)
    else:
        remove_order(T, order)


def _resolve_mark_conflict(T, order, outcome, now):
    row = find_row(order, outcome.rows)
    content = None if row is None else _rows.decode_row(row.value)
    if content is None or content.nonce != order.nonce:
        remove_order(T, order)
        return []
    marked = content.state is _rows.RowState.IN_DOUBT
    releasing = order.state is OrderState.RELEASING
    outdated = content.state is _rows.RowState.CLAIMED
    if not outdated and not (marked and releasing):
        _complete_marked(T, order, now)
        return []
    order.owns_claim = True
    order.row_version = row.version
    order.failures += 1
    order.next_action_at = now
    return []
