"""Tests of the list of instances."""

import asyncio
import json
import types

import testtools

from sniperudder import digests
from sniperudder.entry import _gossip
from sniperudder.entry.tests import _fleets
from sniperudder import fleet
from sniperudder import platform

_SETTINGS = _fleets.make_settings()


class ListStore:
    """Keeps the rows of one table."""

    def __init__(self, *names):
        value = json.dumps({'host': 'h', 'port': 1}).encode()
        self.rows = {
            name: platform.StoredRow(name, value, number)
            for number, name in enumerate(names, 1)
        }

    async def read_table(self, table):
        """Return all rows."""
        return platform.Rows(tuple(self.rows.values()), 9)

    async def write_row(self, table, key, value, expected_version=None):
        """Remove a row whose version is as expected."""
        assert value is None
        if self.rows[key].version != expected_version:
            return platform.Conflict(())
        del self.rows[key]
        return platform.Written(10)


class GoneInstanceTest(testtools.TestCase):
    """Pattern: machines are replaced for months, each at a new address."""

    def read_list(self, lease_version):
        """Read the list where one of two peers is long gone."""
        T = fleet.FleetTables()
        T.peers.add_peer('entry-2', ('h', 1), -10_000.0)
        T.peers.add_peer('entry-4', ('h', 1), -10_000.0)
        digest = digests.Digest('entry-3', 1, 1, {}, (), {})
        T.peers.record_digest(digest, ('h', 1), 1e12)
        store = ListStore('entry-1', 'entry-2', 'entry-3')
        gossip = _gossip.Gossip(
            T,
            store,
            _SETTINGS,
            _fleets.Recorder(),
            None,
            types.SimpleNamespace(lease_version=lease_version),
        )
        asyncio.run(gossip._read_list())
        return sorted(store.rows), sorted(T.peers.peers)

    def test_holder_of_the_lease_removes_its_row(self):
        rows, peers = self.read_list(lease_version=7)
        self.assertEqual(['entry-1', 'entry-3'], rows)
        self.assertEqual(['entry-3'], peers)

    def test_others_wait_for_its_row_to_go(self):
        rows, peers = self.read_list(lease_version=0)
        self.assertEqual(['entry-1', 'entry-2', 'entry-3'], rows)
        self.assertEqual(['entry-2', 'entry-3'], peers)
