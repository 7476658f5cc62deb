"""Agreement of all instances on one configuration.

The terms are:

head
    Row of the platform's table service whose version is the number of
    the last committed change.
member
    Instance that counts towards the majority which accepts versions.
roster
    The members as of the version that last changed them.
accepted
    A version is accepted once, in each roster still in use, a majority
    of members has it in force or has certainly ended.
fresh
    An instance is fresh if its configuration was confirmed as current
    within ``freshness_s``; only then does it send new work.
rooted
    An instance is rooted once its configuration was confirmed by a read
    of the platform made since its start; only then do its answers count
    as evidence.

See docs/CONFIGURATION.md.
"""

from sniperudder.inputs import CommandArrived
from sniperudder.systems.configuration import _acceptance
from sniperudder.systems.configuration._acceptance import get_accepted_version
from sniperudder.systems.configuration._acceptance import has_ended
from sniperudder.systems.configuration._acceptance import record_accepted
from sniperudder.systems.configuration import _commands
from sniperudder.systems.configuration import _freshness
from sniperudder.systems.configuration._freshness import confirm_by_majority
from sniperudder.systems.configuration._freshness import find_exceeded_limits
from sniperudder.systems.configuration._freshness import is_fresh
from sniperudder.systems.configuration._freshness import is_rooted
from sniperudder.systems.configuration._freshness import record_head
from sniperudder.systems.configuration import _history
from sniperudder.systems.configuration._history import apply_changes
from sniperudder.systems.configuration._history import get_changes
from sniperudder.systems.configuration import _members
from sniperudder.systems.configuration._members import remove_ended_member
from sniperudder.systems.configuration._members import request_leave
from sniperudder.systems.configuration import _purposes
from sniperudder.systems.configuration import _restoration
from sniperudder.systems.configuration._restoration import handle_restored
from sniperudder.systems.configuration._rows import decode_change
from sniperudder.systems.configuration import _snapshots
from sniperudder.systems.configuration._snapshots import encode_snapshot
from sniperudder.systems.configuration._snapshots import install_snapshot
from sniperudder.systems.configuration._verification import InstanceStatus
from sniperudder.systems.configuration._verification import Verification
from sniperudder.systems.configuration._verification import verify_command

__all__ = [
    'HANDLERS',
    'InstanceStatus',
    'PURPOSES',
    'Verification',
    'apply_changes',
    'confirm_by_majority',
    'decode_change',
    'encode_snapshot',
    'find_exceeded_limits',
    'get_accepted_version',
    'get_changes',
    'handle_restored',
    'has_ended',
    'install_snapshot',
    'is_fresh',
    'is_rooted',
    'record_accepted',
    'record_head',
    'remove_ended_member',
    'request_leave',
    'run_configuration',
    'verify_command',
]

HANDLERS = {CommandArrived: _commands.handle_command}

PURPOSES = {
    _purposes.CommitCommand: _commands.handle_commit_result,
    _purposes.FetchChanges: _history.handle_fetched_changes,
    _purposes.FetchSnapshot: _snapshots.handle_fetched_snapshot,
    _purposes.WriteSnapshot: _snapshots.handle_snapshot_written,
    _purposes.PollHead: _freshness.handle_head,
    _purposes.RecordOutcome: _commands.handle_record_result,
    _purposes.RestoreChange: _restoration.handle_change_restored,
}

_MAJORITY_AGE_SHARE = 0.6
_MAJORITY_INTERVAL_S = 0.2


def run_configuration(T, now):
    """Read the head, apply changes, confirm freshness and commit commands.

    Each step runs only when it is due. The majority's evidence is
    evaluated only once most of the freshness limit has elapsed since the
    last confirmation.

    Parameters
    ----------
    T : sniperudder.tables.Tables
    now : float
        Seconds.

    Returns
    -------
    list of effects
    """
    _freshness.record_tick(T, now)
    effects = _freshness.poll_head(T, now)
    effects += _history.fetch_changes(T, now)
    _freshness.confirm_by_platform(T)
    age = now - T.confirmed_at
    is_due = age > _MAJORITY_AGE_SHARE * T.policy.freshness_s
    if is_due and now >= T.next_majority_at:
        T.next_majority_at = now + _MAJORITY_INTERVAL_S
        confirm_by_majority(T, now)
    _acceptance.update_acceptance(T, now)
    effects += _members.request_join(T, now)
    effects += _restoration.restore_changes(T, now)
    effects += _commands.run_commands(T, now)
    return effects
