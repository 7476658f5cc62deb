"""History of committed changes, applied in order of their versions."""

from sniperudder.effects import LogEvent
from sniperudder.effects import Scan
from sniperudder.effects import Transact
from sniperudder.inputs import Committed
from sniperudder.inputs import ScanReturned
from sniperudder import intents
from sniperudder.systems.configuration import _purposes
from sniperudder.systems.configuration import _rows
from sniperudder.systems.configuration import _snapshots
from sniperudder.tables import Roster

_MAX_KEPT_CHANGES = 4096
_MAX_KEYED_READS = 16
_SCAN_LIMIT_ROWS = 200
_FETCH_RETRY_INTERVAL_S = 0.2
_SNAPSHOT_MIN_LAG_VERSIONS = 64


def apply_changes(T, changes, now):
    """Apply committed changes up to the first missing version.

    Later changes are kept until the gap is filled.

    Parameters
    ----------
    T : sniperudder.tables.Tables
    changes : iterable of sniperudder.tables.Change
        Committed changes in any order; known ones are ignored.
    now : float
        Seconds.

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
        _apply_change(T, change, now)
        effects.append(LogEvent('configuration:apply', change.command_id))
    return effects


def _apply_change(T, change, now):
    previous = T.config.members
    T.config = intents.apply_change(T.config, change)
    T.changes.append(change)
    del T.changes[:-_MAX_KEPT_CHANGES]
    T.applied_at[change.version] = now
    T.applied_at.pop(change.version - _MAX_KEPT_CHANGES, None)
    if T.config.members != previous:
        members = tuple(sorted(T.config.members))
        T.rosters.append(Roster(change.version, members))


def get_changes(T, after, limit=_MAX_KEPT_CHANGES):
    """Return the applied changes above a version, oldest first.

    Parameters
    ----------
    T : sniperudder.tables.Tables
    after : int
        Version.
    limit : int
        Largest number of changes.

    Returns
    -------
    tuple of Change or None
        None if some of the changes are no longer kept.
    """
    missing_count = T.config.version - after
    if missing_count <= 0:
        return ()
    if missing_count > len(T.changes):
        return None
    start = len(T.changes) - missing_count
    return tuple(T.changes[start : start + limit])


def fetch_changes(T, now):
    """Read changes that are missing up to the highest known version.

    Up to ``_MAX_KEYED_READS`` changes are read by key, more by a scan.
    If the lag is above ``_SNAPSHOT_MIN_LAG_VERSIONS``, the stored
    snapshot is read first.
    """
    missing_count = T.known_version - T.config.version
    if missing_count <= 0 or T.fetch_pending or now < T.next_fetch_at:
        return []
    T.fetch_pending = True
    if missing_count > _SNAPSHOT_MIN_LAG_VERSIONS and not T.snapshot_read:
        return [_snapshots.fetch_snapshot()]
    purpose = _purposes.FetchChanges()
    first = T.config.version + 1
    if missing_count <= _MAX_KEYED_READS:
        versions = range(first, T.known_version + 1)
        keys = tuple(map(_rows.make_change_key, versions))
        return [Transact(purpose, reads=keys)]
    after = _rows.make_change_key(T.config.version)
    prefix = _rows.CHANGE_PREFIX
    return [Scan(purpose, prefix, after, _SCAN_LIMIT_ROWS)]


def handle_fetched_changes(T, inp, now):
    """Apply the changes that ``fetch_changes`` read."""
    T.fetch_pending = False
    T.snapshot_read = False
    previous = T.config.version
    if isinstance(inp, ScanReturned):
        rows = inp.rows or ()
    elif isinstance(inp.outcome, Committed):
        rows = inp.outcome.rows
    else:
        rows = ()
    changes = [_rows.decode_change(row.value) for row in rows]
    effects = apply_changes(T, changes, now)
    if T.config.version == previous:
        T.next_fetch_at = now + _FETCH_RETRY_INTERVAL_S
    return effects
