"""Tests of watching a table of the store."""

import asyncio
import base64
import json
import urllib.parse

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


class PagedTable:
    """A table that is read in pages of two rows and changes between them.

    Attributes
    ----------
    rows : dict of str to (bytes or None, int)
        Value and version by key.
    changes : list of (str, bytes or None)
        Changes that are made one by one after each page.
    """

    def __init__(self, changes):
        self.rows = {key: (b'1', 5) for key in 'abcdef'}
        self.changes = list(changes)
        self._version = 10

    async def call(self, address, method, target, body, timeout_s, handle):
        """Respond as the store does; passed to `platform.Store`."""
        path, _, query = target.partition('?')
        query = dict(urllib.parse.parse_qsl(query))
        if path == '/rows-get':
            keys = [
                key
                for key, (value, _) in sorted(self.rows.items())
                if value is not None and key >= query.get('from', '')
            ]
            reply = self._make_reply(keys[:2], len(keys) > 2)
            if self.changes:
                key, value = self.changes.pop(0)
                self._version += 1
                self.rows[key] = value, self._version
            return reply
        after = int(query['after'])
        changed = [key for key in self.rows if self.rows[key][1] > after]
        if not changed:
            await asyncio.sleep(60)
        changed.sort(key=lambda key: self.rows[key][1])
        return self._make_reply(changed, False)

    def _make_reply(self, keys, more):
        rows = []
        for key in keys:
            value, version = self.rows[key]
            row = {'key': key, 'row_version': version}
            if value is None:
                row['tombstone'] = True
            else:
                row['value'] = base64.b64encode(value).decode()
            rows.append(row)
        reply = {
            'rows': rows,
            'row_version': self._version,
            'more_pages': more,
        }
        return 200, json.dumps(reply).encode()


class PagedTableTest(testtools.TestCase):
    def read(self, *changes):
        """Watch a table that changes between pages; return the copy's rows."""
        table = PagedTable(changes)

        async def run():
            copy = feeds.TableCopy('t', lambda *_: None)
            store = platform.Store('h:1', table.call)
            watcher = _watchers.TableWatcher(
                store, copy, _fleets.RecordingJournal()
            )
            task = asyncio.create_task(watcher.run())
            await asyncio.sleep(0.1)
            task.cancel()
            return {row.key: row.value for row in copy.list_rows()}

        copied = asyncio.run(run())
        expected = {
            key: value
            for key, (value, _) in table.rows.items()
            if value is not None
        }
        self.assertEqual(expected, copied)

    # Guards against: a change to a row of an earlier page, such as an
    # endpoint's leaving, was never learnt.
    def test_change_of_an_earlier_page_is_learnt(self):
        self.read(('a', b'2'))
        self.read(('a', b'2'), ('c', b'2'))

    def test_deletion_of_an_earlier_page_is_learnt(self):
        self.read(('b', None), ('a', None))

    def test_changes_of_later_pages_are_learnt(self):
        self.read(('e', b'2'), ('f', None), ('g', b'1'))
