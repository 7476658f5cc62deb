"""Committed changes, applied in order and never back."""

from sniperudder.effects import Note
from sniperudder.effects import Scan
from sniperudder.effects import Transact
from sniperudder.inputs import Committed
from sniperudder.inputs import ScanReturned
from sniperudder import intents
from sniperudder.systems.configuration import _purposes
from sniperudder.systems.configuration import _rows
from sniperudder.systems.configuration import _snapshots
from sniperudder.tables import Roster

_KEPT_CHANGES = 4096
_FETCHED_BY_KEY = 16
_FETCHED_BY_SCAN = 200
_FETCH_RETRY_S = 0.2
_SNAPSHOT_GAP = 64


def offer_changes(T, changes, now):
    """Apply committed changes as far as there is no gap.

    Parameters
    ----------
    T : sniperudder.tables.Tables
    changes : iterable of sniperudder.tables.Change
        Committed, in any order, known ones among them.
    now : float

    Returns
    -------
    list of effects
    """
    for change in changes:
        if change.version > T.config.version:
            T.pending[change.version] = change
            T.known_version = max(T.known_version, change.version)
    effects = []
    while T.config.version + 1 in T.pending:
        change = T.pending.pop(T.config.version + 1)
        _apply(T, change, now)
        effects.append(Note('configuration:apply', change.command_id))
    return effects


def _apply(T, change, now):
    before = T.config.members
    T.config = intents.apply_change(T.config, change)
    T.changes.append(change)
    del T.changes[:-_KEPT_CHANGES]
    T.applied_at[change.version] = now
    T.applied_at.pop(change.version - _KEPT_CHANGES, None)
    if T.config.members != before:
        members = tuple(sorted(T.config.members))
        T.rosters.append(Roster(change.version, members))


def get_changes(T, after, limit=_KEPT_CHANGES):
    """Return the applied changes above a version, oldest first.

    Returns
    -------
    tuple of Change, or None where they are no longer kept
    """
    missing = T.config.version - after
    if missing <= 0:
        return ()
    if missing > len(T.changes):
        return None
    start = len(T.changes) - missing
    return tuple(T.changes[start : start + limit])


def fetch_changes(T, now):
    """Read what is missing below the highest version known."""
    missing = T.known_version - T.config.version
    if missing <= 0 or T.fetch_pending or now < T.next_fetch_at:
        return []
    T.fetch_pending = True
    if missing > _SNAPSHOT_GAP and not T.snapshot_read:
        return [_snapshots.read_snapshot()]
    purpose = _purposes.FetchChanges()
    first = T.config.version + 1
    if missing <= _FETCHED_BY_KEY:
        versions = range(first, T.known_version + 1)
        keys = tuple(map(_rows.make_change_key, versions))
        return [Transact(purpose, reads=keys)]
    after = _rows.make_change_key(T.config.version)
    prefix = _rows.CHANGE_PREFIX
    return [Scan(purpose, prefix, after, _FETCHED_BY_SCAN)]


def take_fetched(T, inp, now):
    """Apply what ``fetch_changes`` read."""
    T.fetch_pending = False
    T.snapshot_read = False
    before = T.config.version
    if isinstance(inp, ScanReturned):
        rows = inp.rows or ()
    elif isinstance(inp.outcome, Committed):
        rows = inp.outcome.rows
    else:
        rows = ()
    changes = [_rows.decode_change(row.value) for row in rows]
    effects = offer_changes(T, changes, now)
    if T.config.version == before:
        T.next_fetch_at = now + _FETCH_RETRY_S
    return effects
