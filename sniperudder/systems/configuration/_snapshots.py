"""The folded configuration as one text, for instances far behind."""

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
SNAPSHOT_EVERY = 256
"""Versions from one kept snapshot to the next."""


def encode_snapshot(T):
    """Return the configuration in force and its rosters as JSON."""
    config = dataclasses.asdict(T.config)
    rosters = [dataclasses.asdict(roster) for roster in T.rosters]
    row = {
        'config': _to_json(config),
        'rosters': rosters,
        'accepted': _acceptance.get_accepted(T),
    }
    return json.dumps(row, separators=(',', ':'))


def _to_json(value):
    if isinstance(value, dict):
        return {_name(k): _to_json(v) for k, v in value.items()}
    if isinstance(value, set | frozenset):
        return sorted(_name(item) for item in value)
    return value


def _name(key):
    return key.name if isinstance(key, Rank) else key


def adopt_snapshot(T, text, now):
    """Take over a configuration that is ahead of the one in force.

    Parameters
    ----------
    T : sniperudder.tables.Tables
    text : str
        As ``encode_snapshot`` gave it.
    now : float

    Returns
    -------
    bool
        Whether it was ahead.
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
    _acceptance.note_accepted(T, row['accepted'], now)
    return True


def _from_json(fields):
    ranks = fields['allowed_ranks']
    return Configuration(
        version=fields['version'],
        withdrawn=set(fields['withdrawn']),
        stopping=set(fields['stopping']),
        shed_ranks=_read_by_rank(fields['shed_ranks']),
        shed_organisations=fields['shed_organisations'],
        shed_models=fields['shed_models'],
        allowed_ranks={
            name: frozenset(Rank[rank] for rank in allowed)
            for name, allowed in ranks.items()
        },
        floors=_read_by_rank(fields['floors']),
        weights=fields['weights'],
        members=frozenset(fields['members']),
        ended=frozenset(fields['ended']),
    )


def _read_by_rank(values):
    return {Rank[name]: value for name, value in values.items()}


def keep_snapshot(T):
    """Write a snapshot to the platform; an older one does no harm."""
    write = Write(SNAPSHOT_KEY, encode_snapshot(T))
    return Transact(_purposes.KeepSnapshot(), writes=(write,))


def read_snapshot():
    """Read the snapshot kept at the platform."""
    purpose = _purposes.FetchSnapshot()
    return Transact(purpose, reads=(SNAPSHOT_KEY,))


def take_kept(T, inp, now):
    """A snapshot was kept or not; the next one will do."""
    return []


def take_snapshot(T, inp, now):
    """Take in the snapshot kept at the platform."""
    T.fetch_pending = False
    T.snapshot_read = True
    if isinstance(inp.outcome, Committed):
        for row in inp.outcome.rows:
            adopt_snapshot(T, row.value, now)
    return []
