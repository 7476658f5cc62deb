"""Snapshots of the configuration, for instances that lag far behind."""

import dataclasses
import json

from sniperudder.effects import Transact
from sniperudder.effects import Write
from sniperudder.inputs import Committed
from sniperudder.systems.configuration import _acceptance
from sniperudder.systems.configuration import _purposes
from sniperudder.tables import Configuration
from sniperudder.tables import Rank
from sniperudder.tables import Roster

SNAPSHOT_KEY = 'config/snapshot'
SNAPSHOT_INTERVAL_VERSIONS = 256
"""Number of versions between two stored snapshots."""


def encode_snapshot(T):
    """Return the configuration in force and its rosters as JSON."""
    config = dataclasses.asdict(T.config)
    rosters = [dataclasses.asdict(roster) for roster in T.rosters]
    row = {
        'config': _to_json(config),
        'rosters': rosters,
        'accepted': _acceptance.get_accepted_version(T),
    }
    return json.dumps(row, separators=(',', ':'))


def _to_json(value):
    if isinstance(value, dict):
        return {_to_key(k): _to_json(v) for k, v in value.items()}
    if isinstance(value, set | frozenset):
        return sorted(_to_key(item) for item in value)
    return value


def _to_key(key):
    return key.name if isinstance(key, Rank) else key


def install_snapshot(T, text, now):
    """Replace the configuration in force by a newer snapshot.

    Parameters
    ----------
    T : sniperudder.tables.Tables
    text : str
        Snapshot encoded by ``encode_snapshot``.
    now : float
        Seconds.

    Returns
    -------
    bool
        Whether the snapshot was newer and has been installed.
    """
    row = json.loads(text)
    if row['config']['version'] <= T.config.version:
        return False
    T.config = _from_json(row['config'])
    T.changes.clear()
    T.rosters[:] = [
        Roster(roster['version'], tuple(roster['members']))
        for roster in row['rosters']
    ]
    version = T.config.version
    T.known_version = max(T.known_version, version)
    for stale in [v for v in T.pending if v <= version]:
        del T.pending[stale]
    _acceptance.record_accepted(T, row['accepted'], now)
    return True


def _from_json(fields):
    ranks = fields['allowed_ranks']
    return Configuration(
        version=fields['version'],
        withdrawn=set(fields['withdrawn']),
        stopping=set(fields['stopping']),
        shed_ranks=_parse_rank_keys(fields['shed_ranks']),
        shed_organisations=fields['shed_organisations'],
        shed_models=fields['shed_models'],
        allowed_ranks={
            name: frozenset(Rank[rank] for rank in allowed)
            for name, allowed in ranks.items()
        },
        floors=_parse_rank_keys(fields['floors']),
        weights=fields['weights'],
        members=frozenset(fields['members']),
        ended=frozenset(fields['ended']),
    )


def _parse_rank_keys(values):
    return {Rank[name]: value for name, value in values.items()}


def write_snapshot(T):
    """Store a snapshot at the platform, without a condition.

    Overwriting a newer snapshot with an older one is harmless.
    """
    write = Write(SNAPSHOT_KEY, encode_snapshot(T))
    return Transact(_purposes.WriteSnapshot(), writes=(write,))


def fetch_snapshot():
    """Read the snapshot stored at the platform."""
    purpose = _purposes.FetchSnapshot()
    return Transact(purpose, reads=(SNAPSHOT_KEY,))


def handle_snapshot_written(T, inp, now):
    """Ignore the result of ``write_snapshot``; the next one retries."""
    return []


def handle_fetched_snapshot(T, inp, now):
    """Install the snapshot that ``fetch_snapshot`` read."""
    T.fetch_pending = False
    T.snapshot_read = True
    if isinstance(inp.outcome, Committed):
        for row in inp.outcome.rows:
            install_snapshot(T, row.value, now)
    return []
