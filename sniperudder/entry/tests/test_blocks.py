"""Tests of blocked requests in the platform's store."""

import asyncio
import json
import types

import testtools

from sniperudder import digests
from sniperudder.entry import _blocks
from sniperudder.entry.tests import _fleets
from sniperudder.entry.tests import _members
from sniperudder import platform
from sniperudder import revisions

# The users' bound for the time until an instance counts as in contact.
_CONTACT_S = 3.0

_BAD = frozenset(('part:bad',))


def list_blocks(member):
    """Return the blocks of an instance."""
    return member.instance._forwarder.crash_monitor.list_blocks()


class StoredBlockTest(testtools.TestCase):
    # Guards against: all instances started again, and engines crashed anew
    # until the same part had been found once more.
    def test_blocks_outlive_all_instances(self):
        async def run():
            async with _members.run_members(2) as (store, members):
                report = digests.CrashReport(blocks={_BAD: 0.0})
                for member in members:
                    monitor = member.instance._forwarder.crash_monitor
                    monitor.apply_report('entry-9', report)
                key = platform.INSTANCES_TABLE, platform.BLOCKS_KEY
                await _members.wait_until(
                    lambda: key in store.rows, _members.START_S
                )
                for member in members:
                    await member.instance.close()
                later = _members.Member('entry-7', store.address)
                await later.instance.start()
                try:
                    await _members.wait_until(
                        lambda: list_blocks(later) == [_BAD], _CONTACT_S
                    )
                    # An operator lifts all blocks.
                    store.put(*key, None)
                    await _members.wait_until(
                        lambda: list_blocks(later) == [], _members.START_S
                    )
                finally:
                    await later.instance.close()

        asyncio.run(run())

    def run_writer(self, *blocks, outcome, holds_lease=True):
        """Write changes once; return the calls and the row's next version."""
        calls = []

        async def write_row(*arguments):
            calls.append(arguments)
            return outcome

        block_store = _blocks.BlockStore(
            types.SimpleNamespace(write_row=write_row, era=3),
            types.SimpleNamespace(list_blocks=lambda: list(blocks)),
            lambda: holds_lease,
            _fleets.RecordingJournal(),
        )
        block_store.apply_row(None)
        asyncio.run(block_store._write_changes())
        asyncio.run(block_store._write_changes())
        return calls

    def test_only_the_lease_holder_writes(self):
        written = platform.Written(revisions.Revision(3, 7))
        self.assertEqual(
            [], self.run_writer(_BAD, outcome=written, holds_lease=False)
        )
        (call,) = self.run_writer(_BAD, outcome=written)
        table, key, value, expected = call
        self.assertEqual([['part:bad']], json.loads(value)['blocks'])
        self.assertEqual(revisions.Revision(3, 0), expected)

    def test_failed_write_is_repeated(self):
        for outcome in (
            platform.Conflict(()),
            platform.Unavailable('status 503', False),
        ):
            calls = self.run_writer(_BAD, outcome=outcome)
            self.assertEqual(2, len(calls))

    def test_nothing_is_written_without_blocks(self):
        written = platform.Written(revisions.Revision(3, 7))
        self.assertEqual([], self.run_writer(outcome=written))

    def run_restored(self, known, row_blocks):
        """Apply a restored row; return calls of the monitor and the writes."""
        monitor_calls, writes = [], []
        blocks = list(known)

        async def write_row(table, key, value, expected):
            writes.append((value and json.loads(value)['blocks'], expected))
            return platform.Written(revisions.Revision(2, 96))

        block_store = _blocks.BlockStore(
            types.SimpleNamespace(write_row=write_row, era=2),
            types.SimpleNamespace(
                list_blocks=lambda: blocks,
                add_blocks=lambda found: monitor_calls.append('add'),
                lift_blocks=lambda reason: monitor_calls.append('lift'),
            ),
            lambda: True,
            _fleets.RecordingJournal(),
        )

        def make_row(found, revision):
            value = {'blocks': [sorted(keys) for keys in found]}
            return platform.StoredRow(
                platform.BLOCKS_KEY, json.dumps(value).encode(), revision
            )

        before = make_row(known, revisions.Revision(1, 99)) if known else None
        block_store.apply_row(before)
        monitor_calls.clear()
        after = None
        if row_blocks:
            after = make_row(row_blocks, revisions.Revision(2, 90))
        block_store.apply_row(after, is_restored=True)
        asyncio.run(block_store._write_changes())
        return monitor_calls, writes

    # Guards against: a row that the copy lacks was taken for an operator who
    # lifts all blocks, and requests crashed engines again.
    def test_lost_row_lifts_no_blocks_and_is_written_again(self):
        monitor_calls, writes = self.run_restored([_BAD], [])
        self.assertEqual([], monitor_calls)
        missing = revisions.Revision(2, 0)
        self.assertEqual([([['part:bad']], missing)], writes)

    # Guards against: blocks that an operator had lifted were back with the
    # row of the copy.
    def test_row_of_lifted_blocks_is_deleted_again(self):
        monitor_calls, writes = self.run_restored([], [_BAD])
        self.assertEqual([], monitor_calls)
        self.assertEqual([(None, revisions.Revision(2, 90))], writes)

    def test_unreadable_row_blocks_nothing(self):
        journal = _fleets.RecordingJournal()
        added = []
        block_store = _blocks.BlockStore(
            None,
            types.SimpleNamespace(add_blocks=added.extend),
            lambda: True,
            journal,
        )
        for value in (b'\xff', b'[]', b'{"blocks": 5}', b'{}'):
            row = platform.StoredRow(
                platform.BLOCKS_KEY, value, revisions.Revision(3, 5)
            )
            block_store.apply_row(row)
        self.assertEqual([], added)
        self.assertEqual(4, len(journal.list_events('blocks:unreadable')))
