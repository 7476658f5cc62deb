"""Tests of watching a table of the store."""

import asyncio

import testtools

from sniperudder.entry import _watchers
from sniperudder.entry.tests import _fleets
from sniperudder import feeds
from sniperudder import platform

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


def make_rows(version, *keys):
    """Return table rows with the given keys."""
    rows = tuple(platform.StoredRow(key, b'1', version) for key in keys)
    return platform.Rows(rows, version)


class WatcherTest(testtools.TestCase):
    def watch(self, *outcomes):
        """Watch a scripted store; return the applied rows and the journal."""
        applied = []
        journal = _fleets.RecordingJournal()
        store = ScriptedStore(*outcomes)

        def apply(rows, is_snapshot):
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
        self.assertEqual(7, journal.list_events('table:old')[0]['version'])

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
