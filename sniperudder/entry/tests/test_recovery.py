"""Tests of recovering a configuration that the store has lost."""

import asyncio

import testtools

from sniperudder.entry import _recovery
from sniperudder.entry.tests import _fleets
from sniperudder import feeds
from sniperudder import fleet
from sniperudder import platform
from sniperudder import revisions
from sniperudder.testing import VirtualTimeLoop
from standins import fleet as standins

_PEERS = {'h:1': 12, 'h:2': 15, 'h:3': None}


def make_row(version, revision):
    """Return a row with a configuration."""
    value = platform_bytes(version)
    return platform.StoredRow(platform.CONFIGURATION_KEY, value, revision)


def platform_bytes(version):
    """Return a configuration as operators write it."""
    store = standins.StoreStandin()
    store.put_json('op', 'config', standins.make_configuration(version))
    return store.rows['op', 'config'][0]


class RecoveryTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.T = fleet.FleetTables()
        self.calls = []
        self.prepared = []
        self.applied = []
        self.replies = {
            address: make_row(version, revisions.Revision(1, 97))
            for address, version in _PEERS.items()
            if version
        }
        self.copy = feeds.TableCopy(
            platform.CONFIGURATION_TABLE,
            self.apply,
            platform.ConfigurationDecoder().supersedes,
            self.prepare,
        )
        self.recovery = _recovery.ConfigurationRecovery(
            self.T, self.copy, self.call_peer, _fleets.RecordingJournal()
        )

    async def prepare(self, rows):
        """Note rows that are prepared."""
        await asyncio.sleep(0)
        self.prepared += rows

    def apply(self, rows, is_snapshot, is_restored):
        """Apply configurations."""
        self.applied += rows
        for row in rows:
            self.T.configuration = platform.decode_configuration(row.value)

    async def call_peer(self, address, target, body, timeout_s):
        """Respond as the feed of a peer does."""
        now = asyncio.get_running_loop().time()
        self.calls.append((round(now, 2), address))
        if address not in self.replies:
            raise ConnectionRefusedError(address)
        changes = feeds.Changes(
            platform.CONFIGURATION_TABLE,
            revisions.Revision(1, 99),
            True,
            (self.replies[address],),
        )
        return 200, feeds.encode_reply(feeds.FeedReply(0, (changes,), 9.0))

    def run_recovery(self, versions, read_version=9, told_at=0.0):
        """Tell of peers' versions; return the version in force at the end."""

        async def run():
            task = asyncio.create_task(self.recovery.run())
            if read_version:
                revision = revisions.Revision(2, 90)
                self.copy.update(
                    feeds.Changes(
                        platform.CONFIGURATION_TABLE,
                        revisions.Revision(2, 92),
                        True,
                        (make_row(read_version, revision),),
                    )
                )
            await asyncio.sleep(told_at)
            for address, version in versions.items():
                self.recovery.record_peer(address, version)
            await asyncio.sleep(5.0)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
            runner.run(run())
        return self.T.configuration and self.T.configuration.version

    # Guards against: an instance that started after a restoration opened a
    # key again that had been revoked, until the operators had written again.
    def test_started_instance_asks_the_peer_with_the_latest_at_once(self):
        version = self.run_recovery({'h:1': 12, 'h:2': 15})
        self.assertEqual((15, [(0.0, 'h:2')]), (version, self.calls))

    # Guards against: a configuration from a peer was read in one go, which
    # held the event loop.
    def test_configuration_of_a_peer_is_prepared_first(self):
        self.run_recovery({'h:2': 15})
        # The first one is given to the copy by the test itself.
        (row,) = self.applied[1:]
        self.assertEqual([row], self.prepared)

    def test_peer_that_does_not_respond_is_passed_over(self):
        version = self.run_recovery({'h:1': 12, 'h:3': 18})
        self.assertEqual(12, version)
        self.assertEqual(['h:3', 'h:1'], [peer for _, peer in self.calls])

    def test_peers_with_older_configurations_are_not_asked(self):
        self.assertEqual(9, self.run_recovery({'h:1': 9, 'h:2': 0}))
        self.assertEqual([], self.calls)

    def test_running_instance_leaves_the_feed_time(self):
        self.run_recovery({'h:1': 12}, told_at=60.0)
        self.assertEqual([(61.0, 'h:1')], self.calls)

    def test_instance_without_configuration_gets_one(self):
        self.assertEqual(12, self.run_recovery({'h:1': 12}, read_version=0))
