"""Tests of calls to the store, with scripted answers."""

import asyncio
import json

import testtools

from sniperudder import platform


def run_call(call, *answers):
    """Run a call of a store that gives scripted answers in turn.

    Parameters
    ----------
    call : callable
        Coroutine function of the store.
    answers : tuple of (int, bytes) or OSError

    Returns
    -------
    object
        The outcome of the call.
    """
    left = list(answers)

    async def answer(address, method, target, body, timeout_s):
        found = left.pop(0)
        if isinstance(found, OSError):
            raise found
        return found

    return asyncio.run(call(platform.Store('h:1', answer)))


def make_answer(value, status=200):
    """Return an answer that holds a value as JSON."""
    return status, json.dumps(value).encode()


async def read_table(store):
    """Read a table whole."""
    return await store.read_table('t')


async def read_changes(store):
    """Wait for changes."""
    return await store.read_changes('t', 1, 0.0)


async def write_row(store):
    """Write a row under a condition."""
    return await store.write_row('t', 'k', b'1', 0)


class ForeignAnswerTest(testtools.TestCase):
    """Pattern: the store answers with what is no answer of its protocol."""

    BODIES = (
        b'',
        b'[]',
        b'{"rows": 1}',
        b'{"rows": [1]}',
        b'{"rows": [{}]}',
        b'{"rows": [{"key": 1}]}',
        b'{"rows": [{"key": "k", "value": 7}]}',
        b'{"rows": [{"key": "k", "value": "a"}]}',
        b'{"rows": [{"key": "k", "value": "\xc3\xa9"}]}',
        b'{"rows": [], "row_version": "new"}',
    )

    def test_reading_is_unavailable(self):
        for body in self.BODIES:
            for call in (read_table, read_changes):
                outcome = run_call(call, (200, body))
                self.assertIsInstance(outcome, platform.Unavailable, body)

    def test_conflict_without_rows_may_be_done(self):
        for body in self.BODIES:
            outcome = run_call(write_row, (412, body))
            self.assertIsInstance(outcome, platform.Unavailable, body)
            self.assertTrue(outcome.maybe_done)

    def test_page_without_rows_ends_the_table(self):
        page = {'rows': [], 'more_pages': True, 'row_version': 3}
        outcome = run_call(read_table, make_answer(page))
        self.assertEqual(platform.Rows((), 3), outcome)


class OutcomeTest(testtools.TestCase):
    def test_forgotten_history_of_a_table_is_unavailable(self):
        outcome = run_call(read_table, (410, b'{}'))
        self.assertIsInstance(outcome, platform.Unavailable)

    def test_forgotten_history_of_a_feed_is_told(self):
        outcome = run_call(read_changes, (410, b'{}'))
        self.assertIsInstance(outcome, platform.HistoryGone)

    def test_pages_are_joined(self):
        def make_page(key, more):
            row = {'key': key, 'value': 'YQ==', 'row_version': 2}
            return {'rows': [row], 'row_version': 5, 'more_pages': more}

        outcome = run_call(
            read_table,
            make_answer(make_page('a', True)),
            make_answer(make_page('b', False)),
        )
        self.assertEqual(['a', 'b'], [row.key for row in outcome.rows])
        self.assertEqual({b'a'}, {row.value for row in outcome.rows})

    def test_lost_answer_to_a_write_may_be_done(self):
        outcome = run_call(write_row, OSError('reset'))
        self.assertTrue(outcome.maybe_done)

    def test_refused_write_is_not_done(self):
        for status in (429, 503):
            outcome = run_call(write_row, (status, b'{}'))
            self.assertFalse(outcome.maybe_done)
