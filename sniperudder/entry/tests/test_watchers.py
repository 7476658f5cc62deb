"""Tests of watching a table of the store."""

import asyncio

import testtools

from sniperudder.entry import _watchers
from sniperudder.entry.tests import _fleets
from sniperudder import feeds
from sniperudder import platform
from sniperudder import revisions

_READ_S = 2.0


class ScriptedStore:
    """Returns scripted outcomes in turn, then blocks."""

    era = None

    def __init__(self, *outcomes):
        self._outcomes = list(outcomes)
        self.waits = []

    async def read_table(self, table):
        """Return the next outcome."""
        return await self._next()

    async def read_changes(self, table, after, wait_s):
        """Return the next outcome."""
        self.waits.append(wait_s)
        return await self._next()

    async def _next(self):
        if not self._outcomes:
            await asyncio.sleep(60)
        return self._outcomes.pop(0)


def make_rows(version, *keys, era=1):
    """Return table rows with the given keys."""
    revision = revisions.Revision(era, version)
    rows = tuple(platform.StoredRow(key, b'1', revision) for key in keys)
    return platform.Rows(rows, revision)


class WatcherTest(testtools.TestCase):
    def watch(self, *outcomes):
        """Watch a scripted store; return the applied rows and the journal."""
        applied = []
        journal = _fleets.RecordingJournal()
        store = ScriptedStore(*outcomes)

        def apply(rows, is_snapshot, is_restored):
            applied.append(([row.key for row in rows], is_snapshot))

        async def run():
            copy = feeds.TableCopy('t', apply)
            watcher = _watchers.TableWatcher(store, copy, journal)
            try:
                async with asyncio.timeout(_READ_S):
                    await watcher.run()
            except TimeoutError:
                pass

        asyncio.run(run())
        return applied, journal, store

    def test_stale_snapshot_is_not_applied(self):
        # After the store drops its change history, it returns a snapshot that
        # is seconds old. Applying it would restore outdated rows.
        applied, journal, _ = self.watch(
            make_rows(10, 'a'),
            platform.HistoryGone(),
            make_rows(7, 'b'),
            make_rows(11, 'c'),
        )
        self.assertEqual([(['a'], True), (['c'], True)], applied)
        (line,) = journal.list_events('table:old')
        self.assertEqual('1/7', line['revision'])

    # Guards against: after the store had been restored from a copy, its state
    # was taken for an old one until its versions had passed those known.
    def test_snapshot_of_a_later_era_is_applied(self):
        applied, _, _ = self.watch(
            make_rows(10, 'a'),
            platform.HistoryGone(),
            make_rows(7, 'b', era=2),
            make_rows(8, 'c', era=2),
        )
        self.assertEqual(
            [(['a'], True), (['b'], True), (['c'], False)], applied
        )

    # Guards against: changes after a version that had been given out again
    # were taken for all changes since.
    def test_changes_of_a_later_era_are_followed_by_a_snapshot(self):
        applied, journal, _ = self.watch(
            make_rows(10, 'a'),
            make_rows(12, 'b', era=2),
            make_rows(13, 'a', 'b', era=2),
            make_rows(14, 'c', era=2),
        )
        self.assertEqual(
            [(['a'], True), (['a', 'b'], True), (['c'], False)], applied
        )
        self.assertEqual(1, len(journal.list_events('table:gap')))

    def test_failing_store_is_polled_without_waiting(self):
        failed = platform.Unavailable('down', False)
        applied, journal, store = self.watch(
            make_rows(1), failed, failed, make_rows(2, 'a')
        )
        self.assertEqual(0.0, store.waits[1])
        self.assertEqual(0.0, store.waits[2])
        self.assertGreater(store.waits[3], 0.0)
        self.assertEqual(1, len(journal.list_events('platform:lost')))
        self.assertEqual(1, len(journal.list_events('platform:regained')))
        self.assertEqual((['a'], False), applied[-1])
