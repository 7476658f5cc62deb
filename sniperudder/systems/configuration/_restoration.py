"""Changes that the platform has lost, after it was restored from a copy.

The configuration in force at the instances is later than the one of the
platform then. Each instance writes the changes again that are missing, one by
one, since the head's version is that of the configuration. They are the same
at all instances, so that it does not matter which one succeeds.
"""

from sniperudder.effects import Condition
from sniperudder.effects import LogEvent
from sniperudder.effects import Transact
from sniperudder.effects import Write
from sniperudder.inputs import Committed
from sniperudder.inputs import Conflicted
from sniperudder.outcomes import CommittedAt
from sniperudder.systems.configuration import _freshness
from sniperudder.systems.configuration import _history
from sniperudder.systems.configuration import _purposes
from sniperudder.systems.configuration import _rows

_RETRY_INTERVAL_S = 0.3


def handle_restored(T):
    """Read the head anew; its version before says nothing any more."""
    # Changes above this version are not lost, but not read yet.
    T.lost_version = T.config.version
    T.restoring_change = False
    T.head_version = 0
    T.head_at = T.next_poll_at = float('-inf')


def restore_changes(T, now):
    """Write the first of the changes again that the platform lacks."""
    is_head_known = T.head_at > float('-inf')
    if (
        not is_head_known
        or T.head_version >= T.lost_version
        or T.restoring_change
        or now < T.next_restore_at
    ):
        return []
    changes = _history.get_changes(T, T.head_version, 1)
    if not changes:
        T.lost_version = 0
        detail = f'changes after {T.head_version} are not kept here'
        return [LogEvent('configuration:not restored', detail)]
    (change,) = changes
    T.restoring_change = True
    outcome = _rows.encode_outcome(
        change.kind, change.body, CommittedAt(change.version)
    )
    return [
        Transact(
            _purposes.RestoreChange(change.version),
            conditions=(Condition(_rows.HEAD_KEY, T.head_version),),
            writes=(
                Write(_rows.HEAD_KEY, change.command_id),
                Write(
                    _rows.make_change_key(change.version),
                    _rows.encode_change(change),
                ),
                Write(_rows.make_command_key(change.command_id), outcome),
            ),
            reads=(_rows.HEAD_KEY,),
        )
    ]


def handle_change_restored(T, inp, now):
    """Process the result of ``restore_changes``."""
    T.restoring_change = False
    match inp.outcome:
        case Committed(rows=rows) | Conflicted(rows=rows):
            T.head_version = _freshness.get_head_version(rows)
            T.head_at = max(T.head_at, inp.sent_at)
        case _:
            T.next_restore_at = now + _RETRY_INTERVAL_S
    return []
