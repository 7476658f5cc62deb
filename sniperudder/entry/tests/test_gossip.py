"""Tests of the platform's list of instances."""

import asyncio
import json
import time
import types

import testtools

from sniperudder import digests
from sniperudder.entry import _gossip
from sniperudder.entry.tests import _fleets
from sniperudder import fleet
from sniperudder import platform
from sniperudder import revisions

_SETTINGS = _fleets.make_settings()


class StubStore:
    """Holds the rows of one table."""

    def __init__(self, *names):
        value = json.dumps({'host': 'h', 'port': 1}).encode()
        self.rows = {
            name: platform.StoredRow(
                name, value, revisions.Revision(1, number)
            )
            for number, name in enumerate(names, 1)
        }

    async def read_table(self, table):
        """Return all rows."""
        revision = revisions.Revision(1, 9)
        return platform.Rows(tuple(self.rows.values()), revision)

    async def write_row(self, table, key, value, expected=None):
        """Delete a row if its revision matches."""
        assert value is None
        if self.rows[key].revision != expected:
            return platform.Conflict(())
        del self.rows[key]
        return platform.Written(revisions.Revision(1, 10))


class GoneInstanceTest(testtools.TestCase):
    """Rows of replaced machines must not accumulate over months.

    Each replacement has a new address and a new row.
    """

    def run_cleanup(self, lease_revision):
        """Apply a list with two gone peers and a live one, and clean up."""
        T = fleet.FleetTables()
        T.peers.add_peer('entry-2', ('h', 1), -10_000.0)
        T.peers.add_peer('entry-4', ('h', 1), -10_000.0)
        digest = digests.Digest('entry-3', 1, 1, {}, ())
        T.peers.record_digest(digest, ('h', 1), 1e12)
        store = StubStore('entry-1', 'entry-2', 'entry-3')
        members = types.SimpleNamespace(set_members=lambda *_: None)
        gossip = _gossip.Gossip(
            T,
            store,
            _SETTINGS,
            _fleets.RecordingJournal(),
            None,
            types.SimpleNamespace(lease_revision=lease_revision),
            None,
        )
        gossip.feed = members
        gossip.apply_instances(store.rows.values(), True)
        asyncio.run(gossip._remove_gone_peers(time.monotonic()))
        return sorted(store.rows), sorted(T.peers.peers)

    def test_lease_holder_deletes_row_of_gone_peer(self):
        rows, peers = self.run_cleanup(revisions.Revision(1, 7))
        self.assertEqual(['entry-1', 'entry-3'], rows)
        self.assertEqual(['entry-3'], peers)

    def test_other_instances_wait_until_row_is_deleted(self):
        rows, peers = self.run_cleanup(None)
        self.assertEqual(['entry-1', 'entry-2', 'entry-3'], rows)
        self.assertEqual(['entry-2', 'entry-3'], peers)
