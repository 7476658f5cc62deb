"""How orders end: outcomes, stored results and released claims."""

from sniperudder import effects
from sniperudder import errors
from sniperudder import inputs
from sniperudder import outcomes
from sniperudder.systems.orders import _purposes
from sniperudder.systems.orders import _rows
from sniperudder.systems.orders import _timing
from sniperudder.tables import OrderState

_RETRY_AFTER_S = 2.0
_LISTENING_VISITS = 60
_VISIT_S = 1.0
_UNSEEN = (
    'This call was not run; an earlier one with the same key may have been.'
)


def finish(order, outcome):
    """Give the caller its one outcome."""
    if order.answered:
        raise errors.InvariantBroken(f'{order.name} is answered twice')
    if order.open_calls and isinstance(outcome, outcomes.Refused):
        raise errors.InvariantBroken(f'{order.name} may have been run')
    order.answered = True
    return [effects.Finish(order.name, outcome)]


def drop(T, order):
    """Forget an order whose caller has its outcome."""
    if not order.answered:
        raise errors.InvariantBroken(f'{order.name} ends without outcome')
    T.orders.pop(order.name)


def end_not_run(T, order, now, code, detail=''):
    """Refuse an order that was certainly not run; release its claim."""
    if order.open_calls:
        raise errors.InvariantBroken(f'{order.name} may have been run')
    out = []
    if not order.answered:
        out = finish(order, _describe_refusal(order, code, detail))
    if order.takes_over and order.holds:
        enter(order, OrderState.MARKING, now)
    elif order.may_be_claimed and not order.takes_over:
        enter(order, OrderState.RELEASING, now)
    else:
        drop(T, order)
    return out


def end_in_doubt(T, order, now):
    """Tell the caller that its order is in doubt, and record it."""
    key = _rows.format_row_key(order.organisation, order.service, order.key)
    out = [effects.Note('order:in-doubt', order.name, key)]
    if not order.answered:
        code = outcomes.Code.ORDER_IN_DOUBT
        out += finish(order, outcomes.InDoubt(code))
    if order.holds:
        enter(order, OrderState.MARKING, now)
    else:
        drop(T, order)
    return out


def answer_order(order):
    """Give the caller the result."""
    code = outcomes.Code.ANSWERED
    if order.repeated:
        code = outcomes.Code.STORED_RESULT
    return finish(order, outcomes.Answered(code, order.result, order.status))


def take_result(T, order, now, status, body):
    """Keep the service's answer and have it stored."""
    order.status = status
    order.result = body
    order.result_at = now
    if order.holds or order.repeated:
        enter(order, OrderState.STORING, now)
        return []
    out = [] if order.answered else answer_order(order)
    drop(T, order)
    return out


def enter(order, state, now):
    """Start a step of an order's life; it is due at once."""
    order.state = state
    order.pending = 0
    order.failures = 0
    order.next_at = now
    order.ends_at = now + _timing.BACKGROUND_S


def run_storing(T, order, now):
    """Write the result into the row."""
    row = _make_row(T, order, _rows.RowState.DONE)
    return _write_row(T, order, now, _purposes.StoreOrder, row)


def run_marking(T, order, now):
    """Write into the row that the order is in doubt."""
    row = _make_row(T, order, _rows.RowState.IN_DOUBT)
    return _write_row(T, order, now, _purposes.MarkOrder, row)


def run_releasing(T, order, now):
    """Write into the row that the order was not run."""
    if order.open_calls or order.takes_over:
        raise errors.InvariantBroken(f'{order.name} may have been run')
    row = _make_row(T, order, _rows.RowState.RELEASED)
    return _write_row(T, order, now, _purposes.ReleaseOrder, row)


def run_listening(T, order, now):
    """Wait on for the client's report, then forget the order.

    Visits are counted and not seconds: a process that is frozen learns
    the time before it hears its own threads.
    """
    if not order.unreported or order.failures >= _LISTENING_VISITS:
        drop(T, order)
        return []
    order.failures += 1
    order.next_at = now + _VISIT_S
    return []


def handle_stored(T, order, outcome, now):
    """Take the answer to a write of the result."""
    match outcome:
        case inputs.Committed():
            return _end_stored(T, order)
        case inputs.Conflicted():
            return _settle_stored(T, order, outcome, now)
    _timing.delay_retry(T, order, now)
    return []


def handle_marked(T, order, outcome, now):
    """Take the answer to a write of a mark or a release."""
    match outcome:
        case inputs.Committed():
            _end_marked(T, order, now)
            return []
        case inputs.Conflicted():
            return _settle_marked(T, order, outcome, now)
    _timing.delay_retry(T, order, now)
    return []


def find_row(order, rows):
    """Return the order's row among some, or None."""
    key = _rows.format_row_key(order.organisation, order.service, order.key)
    for row in rows:
        if row.key == key:
            return row
    return None


def _describe_refusal(order, code, detail):
    if order.takes_over:
        return outcomes.InDoubt(outcomes.Code.ORDER_IN_DOUBT, detail)
    if order.state in (OrderState.QUEUED, OrderState.CLAIMING):
        detail = _UNSEEN
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
        return _give_up(T, order)
    version = order.row_version
    if not (order.holds or order.repeated):
        version = order.base_version
    key = _rows.format_row_key(order.organisation, order.service, order.key)
    serial = _timing.await_platform(T, order, now)
    return [
        effects.Transact(
            purpose=purpose(order.name, serial),
            conditions=(effects.Condition(key, version),),
            writes=(effects.Write(key, _rows.encode_row(row)),),
        )
    ]


def _is_exhausted(order, now):
    too_late = now >= order.ends_at
    return too_late or order.failures >= _timing.MAX_BACKGROUND_TRIES


def _give_up(T, order):
    out = [effects.Note('order:give-up', order.name, order.state.value)]
    if order.result is not None and not order.answered:
        out += answer_order(order)
    drop(T, order)
    return out


def _end_stored(T, order):
    out = [] if order.answered else answer_order(order)
    drop(T, order)
    return out


def _settle_stored(T, order, outcome, now):
    row = find_row(order, outcome.rows)
    content = None if row is None else _rows.decode_row(row.value)
    if content is None:
        return _end_overtaken(T, order, 'row missing')
    if content.state is _rows.RowState.DONE:
        return _end_stored(T, order)
    if content.digest != order.digest:
        return _end_overtaken(T, order, 'other body')
    claimed = content.state is _rows.RowState.CLAIMED
    foreign = content.nonce != order.nonce
    if claimed and foreign and not T.services[order.service].deduplicates:
        return _end_overtaken(T, order, content.nonce)
    order.row_version = row.version
    order.failures += 1
    order.next_at = now
    return []


def _end_overtaken(T, order, detail):
    note = effects.Note('order:overtaken', order.name, detail)
    return [note] + _end_stored(T, order)


def _end_marked(T, order, now):
    if order.state is OrderState.MARKING and order.unreported:
        enter(order, OrderState.LISTENING, now)
    else:
        drop(T, order)


def _settle_marked(T, order, outcome, now):
    row = find_row(order, outcome.rows)
    content = None if row is None else _rows.decode_row(row.value)
    if content is None or content.nonce != order.nonce:
        drop(T, order)
        return []
    marked = content.state is _rows.RowState.IN_DOUBT
    releasing = order.state is OrderState.RELEASING
    outdated = content.state is _rows.RowState.CLAIMED
    if not outdated and not (marked and releasing):
        _end_marked(T, order, now)
        return []
    order.holds = True
    order.row_version = row.version
    order.failures += 1
    order.next_at = now
    return []
