"""How instances agree on the configuration, see docs/CONFIGURATION.md."""

from sniperudder.inputs import CommandArrived
from sniperudder.systems.configuration import _acceptance
from sniperudder.systems.configuration._acceptance import get_accepted
from sniperudder.systems.configuration._acceptance import has_ended
from sniperudder.systems.configuration._acceptance import note_accepted
from sniperudder.systems.configuration import _commands
from sniperudder.systems.configuration import _freshness
from sniperudder.systems.configuration._freshness import check_times
from sniperudder.systems.configuration._freshness import confirm_by_majority
from sniperudder.systems.configuration._freshness import is_fresh
from sniperudder.systems.configuration._freshness import is_rooted
from sniperudder.systems.configuration._freshness import note_head
from sniperudder.systems.configuration import _history
from sniperudder.systems.configuration._history import get_changes
from sniperudder.systems.configuration._history import offer_changes
from sniperudder.systems.configuration import _members
from sniperudder.systems.configuration._members import drop_members
from sniperudder.systems.configuration._members import leave_members
from sniperudder.systems.configuration import _purposes
from sniperudder.systems.configuration._rows import decode_change
from sniperudder.systems.configuration import _snapshots
from sniperudder.systems.configuration._snapshots import adopt_snapshot
from sniperudder.systems.configuration._snapshots import encode_snapshot
from sniperudder.systems.configuration._verification import Place
from sniperudder.systems.configuration._verification import Verification
from sniperudder.systems.configuration._verification import verify_intent

__all__ = [
    'HANDLERS',
    'PURPOSES',
    'Place',
    'Verification',
    'adopt_snapshot',
    'check_times',
    'confirm_by_majority',
    'decode_change',
    'drop_members',
    'encode_snapshot',
    'get_accepted',
    'get_changes',
    'has_ended',
    'is_fresh',
    'is_rooted',
    'leave_members',
    'note_accepted',
    'note_head',
    'offer_changes',
    'run_configuration',
    'verify_intent',
]

HANDLERS = {CommandArrived: _commands.take_command}

PURPOSES = {
    _purposes.CommitCommand: _commands.take_commit,
    _purposes.FetchChanges: _history.take_fetched,
    _purposes.FetchSnapshot: _snapshots.take_snapshot,
    _purposes.KeepSnapshot: _snapshots.take_kept,
    _purposes.PollHead: _freshness.take_head,
    _purposes.RecordOutcome: _commands.take_record,
}

_EAGER_SHARE = 0.6
_MAJORITY_PAUSE_S = 0.2


def run_configuration(T, now):
    """Do what is due: read the head, apply, confirm, commit.

    Parameters
    ----------
    T : sniperudder.tables.Tables
    now : float

    Returns
    -------
    list of effects
    """
    _freshness.note_tick(T, now)
    effects = _freshness.poll_head(T, now)
    effects += _history.fetch_changes(T, now)
    _freshness.confirm_by_platform(T)
    age = now - T.confirmed_at
    late = age > _EAGER_SHARE * T.policy.freshness_s
    if late and now >= T.next_majority_at:
        T.next_majority_at = now + _MAJORITY_PAUSE_S
        confirm_by_majority(T, now)
    _acceptance.update_acceptance(T, now)
    effects += _members.join_members(T, now)
    effects += _commands.run_commands(T, now)
    return effects
