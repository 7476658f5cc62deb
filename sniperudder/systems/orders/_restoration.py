"""Orders after the platform was restored from a copy.

The rows of claims and results written since the copy are gone, and versions
are given out again. Each instance writes its rows again. Meanwhile no call is
made on a new claim, since the key may have been claimed before: once all have
written their rows, the claim is looked at again.
"""

from sniperudder import effects
from sniperudder import inputs
from sniperudder.systems.orders import _purposes
from sniperudder.systems.orders import _rows
from sniperudder.tables import WrittenOrder

# Time for which rows are remembered, seconds: longer than the age of the
# copies from which the platform is restored.
_REMEMBERED_S = 120.0

# Number of rows that are remembered; the oldest ones are dropped first.
_MAX_REMEMBERED = 20_000

# Rows that are checked in one tick.
_MAX_CHECKS_PER_TICK = 20

# Version that no row has.
_NO_VERSION = -1


def remember_claim(T, key, row, now):
    """Remember a claim that this instance owns.

    Parameters
    ----------
    T : sniperudder.tables.Tables
    key : str
    row : OrderRow
    now : float
        Seconds.
    """
    known = T.written_orders.pop(key, None)
    T.written_orders[key] = WrittenOrder(
        _rows.encode_row(row), now, known and known.check_at
    )
    while len(T.written_orders) > _MAX_REMEMBERED:
        del T.written_orders[next(iter(T.written_orders))]


def remember_end(T, key, row, now):
    """Remember how an order ended whose row is written.

    An order that has not got the claim does not hide the one that had it.
    """
    known = T.written_orders.get(key)
    if known is None or _rows.decode_row(known.value).nonce == row.nonce:
        remember_claim(T, key, row, now)


def get_settled_at(T):
    """Return when all instances have written their rows again, seconds.

    Each reads the platform at least every ``poll_s``, and its rows follow
    within one call. The platform may fail unnoticed between two reads.
    """
    return T.restored_at + 2 * T.policy.poll_s + T.policy.platform_timeout_s


def is_claimable(T, key, now):
    """Return whether calls may be made on a new claim of a key."""
    written = T.written_orders.get(key)
    is_checked = written is None or written.check_at is None
    return is_checked and now >= get_settled_at(T)


def handle_restored(T, now):
    """Forget all versions, and have the rows checked."""
    for order in T.orders.values():
        # A condition on a version of the earlier era may hold by coincidence.
        if order.base_version:
            order.base_version = _NO_VERSION
        if order.row_version:
            order.row_version = _NO_VERSION
    for key, written in list(T.written_orders.items()):
        if written.written_at < now - _REMEMBERED_S:
            del T.written_orders[key]
        else:
            written.check_at = now


def check_rows(T, now):
    """Read the rows that are to be checked, some in each tick."""
    if T.restored_at == float('-inf'):
        return []
    due = [
        (key, written)
        for key, written in T.written_orders.items()
        if written.check_at is not None and now >= written.check_at
    ]
    results = []
    for key, written in due[:_MAX_CHECKS_PER_TICK]:
        _expect_reply(T, written, now)
        purpose = _purposes.CheckOrder(key)
        results.append(effects.Transact(purpose, reads=(key,)))
    return results


def handle_checked(T, inp, now):
    """Write a row again unless a later one is there."""
    key = inp.purpose.key
    written = T.written_orders.get(key)
    if written is None or written.check_at is None:
        return []
    match inp.outcome:
        case inputs.Committed(rows=rows) if not inp.purpose.is_write:
            pass
        case inputs.Conflicted(rows=rows):
            pass
        case inputs.Committed():
            written.check_at = None
            return [effects.LogEvent('order:written-again', key)]
        case _:
            written.check_at = now
            return []
    found = next((row for row in rows if row.key == key), None)
    if not _is_lost(T, written, found, now):
        written.check_at = None
        return []
    _expect_reply(T, written, now)
    version = found.version if found else 0
    return [
        effects.Transact(
            _purposes.CheckOrder(key, True),
            conditions=(effects.Condition(key, version),),
            writes=(effects.Write(key, written.value),),
        )
    ]


def _expect_reply(T, written, now):
    written.check_at = now + 2 * T.policy.platform_timeout_s


def _is_lost(T, written, found, now):
    """Return whether the row that was found is older than the one written."""
    known = _rows.decode_row(written.value)
    if found is None:
        return known.state is not _rows.RowState.RELEASED
    content = _rows.decode_row(found.value)
    if content is None:
        return False
    if content.nonce == known.nonce:
        is_done = content.state is _rows.RowState.DONE
        return content.state is not known.state and not is_done
    if known.state is _rows.RowState.RELEASED:
        return False
    if content.state is _rows.RowState.RELEASED:
        return True
    # A claim of the new era, on which no call has been made yet.
    is_claim = content.state is _rows.RowState.CLAIMED
    return is_claim and now < get_settled_at(T)
