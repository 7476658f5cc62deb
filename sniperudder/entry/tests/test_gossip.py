"""Tests of the platform's list of instances."""

import asyncio
import json
import random
import time
import types

import testtools

from sniperudder import digests
from sniperudder.entry import _gossip
from sniperudder.entry.tests import _fleets
from sniperudder import fleet
from sniperudder import platform
from sniperudder import revisions
from sniperudder.testing import VirtualTimeLoop

_SETTINGS = _fleets.make_settings()


class StubStore:
    """Holds the rows of one table."""

    def __init__(self, *names):
        value = json.dumps({'host': '127.0.0.2', 'port': 1}).encode()
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


class RestoredListTest(testtools.TestCase):
    """The store was restored to a state that lacks some instances."""

    def create_gossip(self):
        """Return the exchange of an instance, and what its feed is told."""
        T = fleet.FleetTables()
        told = []
        gossip = _gossip.Gossip(
            T,
            StubStore('entry-2'),
            _SETTINGS,
            _fleets.RecordingJournal(),
            types.SimpleNamespace(rng=random.Random(1)),
            types.SimpleNamespace(lease_revision=revisions.Revision(2, 9)),
            None,
        )
        gossip.feed = types.SimpleNamespace(
            set_members=lambda members, _: told.append(sorted(members))
        )
        return gossip, told

    def make_rows(self, *names, era=1):
        """Return the rows of instances."""
        value = {'host': _SETTINGS.host, 'port': _SETTINGS.peer_port}
        value['data_centre'] = _SETTINGS.data_centre
        return [
            platform.StoredRow(
                name, json.dumps(value).encode(), revisions.Revision(era, 5)
            )
            for name in names
        ]

    # Guards against: instances that had registered after the copy were taken
    # for gone by all others.
    def test_missing_instances_stay_known(self):
        gossip, told = self.create_gossip()
        gossip.apply_instances(self.make_rows('entry-1', 'entry-2'), True)
        gossip.apply_instances(self.make_rows('entry-1', era=2), True, True)
        self.assertEqual(['entry-1', 'entry-2'], told[-1])
        self.assertEqual(['entry-2'], list(gossip._T.peers.peers))
        gossip.apply_instances(self.make_rows('entry-1', era=2), True)
        self.assertEqual(['entry-1'], told[-1])

    # Guards against: a delete under a condition of an earlier era met the row
    # of an instance that had registered again.
    def test_missing_instance_that_is_gone_is_removed_without_a_call(self):
        gossip, told = self.create_gossip()
        gossip.apply_instances(self.make_rows('entry-1', 'entry-2'), True)
        gossip.apply_instances(self.make_rows('entry-1', era=2), True, True)
        gone_at = time.monotonic() + 10 * digests.REMOVE_AFTER_S
        asyncio.run(gossip._remove_gone_peers(gone_at))
        self.assertEqual(['entry-1'], told[-1])
        self.assertIn('entry-2', gossip._store.rows)

    # Guards against: an instance whose row was lost, deleted or of an earlier
    # address did not list itself again.
    def test_own_row_that_is_missing_or_wrong_is_to_be_written(self):
        gossip, _ = self.create_gossip()
        own = self.make_rows('entry-1')
        wrong = platform.StoredRow(
            'entry-1',
            json.dumps({'host': 'elsewhere', 'port': 1}).encode(),
            revisions.Revision(1, 6),
        )
        deleted = platform.StoredRow('entry-1', None, revisions.Revision(1, 7))
        for rows, is_snapshot, is_restored, expected in (
            (own, True, False, False),
            ([], True, True, True),
            (own, False, False, False),
            ([deleted], False, False, True),
            (own, False, False, False),
            ([wrong], False, False, True),
        ):
            gossip.apply_instances(rows, is_snapshot, is_restored)
            self.assertEqual(expected, gossip._unlisted.is_set())

    def test_instances_write_their_rows_again_spread_over_time(self):
        times = []

        async def run(seed):
            gossip, _ = self.create_gossip()
            gossip._forwarder.rng = random.Random(seed)

            async def write_row(*arguments):
                times.append(asyncio.get_running_loop().time())
                return platform.Written(revisions.Revision(2, 95))

            gossip._store.write_row = write_row
            task = asyncio.create_task(gossip.maintain_registration())
            await asyncio.sleep(1.0)
            # Only once the list has told that the row is missing.
            self.assertEqual([0.0], times[-1:])
            gossip.apply_instances([], True, True)
            await asyncio.sleep(10.0)
            task.cancel()

        for seed in range(100):
            with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
                runner.run(run(seed))
        later = sorted(time_s for time_s in times if time_s)
        self.assertEqual(100, len(later))
        self.assertGreater(later[-1] - later[0], 1.5)
        busiest = max(
            sum(start <= t < start + 0.5 for t in later) for start in later
        )
        self.assertLess(busiest, 50)


class GoneInstanceTest(testtools.TestCase):
    """Rows of replaced machines must not accumulate over months.

    Each replacement has a new address and a new row.
    """

    def run_cleanup(self, lease_revision):
        """Apply a list with two gone peers and a live one, and clean up."""
        T = fleet.FleetTables()
        T.peers.add_peer('entry-2', ('127.0.0.2', 1), -10_000.0)
        T.peers.add_peer('entry-4', ('127.0.0.2', 1), -10_000.0)
        digest = digests.Digest('entry-3', 1, 1, {}, ())
        T.peers.record_digest(digest, ('127.0.0.2', 1), 1e12)
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
