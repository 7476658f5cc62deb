"""Tests of the store client with scripted responses."""

import asyncio
import json

import testtools

from sniperudder import platform


def run_call(call, *responses):
    """Run a call against a store that returns scripted responses in turn.

    Parameters
    ----------
    call : callable
        Coroutine function that takes the store.
    *responses : (int, bytes) or OSError
        Status and body of a response, or the error to raise.

    Returns
    -------
    object
        Result of the call.
    """
    remaining = list(responses)

    async def send_response(
        address, method, target, body, timeout_s, handle_headers
    ):
        response = remaining.pop(0)
        if isinstance(response, OSError):
            raise response
        return response

    return asyncio.run(call(platform.Store('h:1', send_response)))


def make_response(value, status=200):
    """Return a response with a value as JSON."""
    return status, json.dumps(value).encode()


async def read_table(store):
    """Read a whole table."""
    return await store.read_table('t')


async def read_changes(store):
    """Read changes of a table."""
    return await store.read_changes('t', 1, 0.0)


async def write_row(store):
    """Write a row that must not exist yet."""
    return await store.write_row('t', 'k', b'1', 0)


class InvalidResponseTest(testtools.TestCase):
    """The store responds with a body that violates its protocol."""

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

    def test_invalid_read_response_is_unavailable(self):
        for body in self.BODIES:
            for call in (read_table, read_changes):
                outcome = run_call(call, (200, body))
                self.assertIsInstance(outcome, platform.Unavailable, body)

    def test_invalid_conflict_response_may_have_applied(self):
        for body in self.BODIES:
            outcome = run_call(write_row, (412, body))
            self.assertIsInstance(outcome, platform.Unavailable, body)
            self.assertTrue(outcome.maybe_done)

    def test_page_without_rows_ends_read(self):
        page = {'rows': [], 'more_pages': True, 'row_version': 3}
        outcome = run_call(read_table, make_response(page))
        self.assertEqual(platform.Rows((), 3), outcome)


class OutcomeTest(testtools.TestCase):
    def test_missing_history_makes_table_read_unavailable(self):
        outcome = run_call(read_table, (410, b'{}'))
        self.assertIsInstance(outcome, platform.Unavailable)

    def test_missing_history_is_returned_by_change_read(self):
        outcome = run_call(read_changes, (410, b'{}'))
        self.assertIsInstance(outcome, platform.HistoryGone)

    def test_pages_are_joined(self):
        def make_page(key, more):
            row = {'key': key, 'value': 'YQ==', 'row_version': 2}
            return {'rows': [row], 'row_version': 5, 'more_pages': more}

        outcome = run_call(
            read_table,
            make_response(make_page('a', True)),
            make_response(make_page('b', False)),
        )
        self.assertEqual(['a', 'b'], [row.key for row in outcome.rows])
        self.assertEqual({b'a'}, {row.value for row in outcome.rows})

    def test_write_without_response_may_have_applied(self):
        outcome = run_call(write_row, OSError('reset'))
        self.assertTrue(outcome.maybe_done)

    def test_rejected_write_has_not_applied(self):
        for status in (429, 503):
            outcome = run_call(write_row, (status, b'{}'))
            self.assertFalse(outcome.maybe_done)


class EraTest(testtools.TestCase):
    def read_eras(self, *values):
        """Return the eras that are recorded for headers with these values."""
        eras = []

        async def call(address, method, target, body, timeout_s, handle):
            handle([] if values[0] is None else [(b'store-era', values[0])])
            raise OSError('reset')

        async def run():
            nonlocal values
            store = platform.Store(
                'h:1', call, None, lambda before, era: eras.append(era)
            )
            while values:
                await read_table(store)
                values = values[1:]

        asyncio.run(run())
        return eras

    def test_era_is_read_also_if_the_response_breaks_off(self):
        self.assertEqual([3, 4], self.read_eras(b'3', b'3', b'4'))

    def test_malformed_era_is_none(self):
        for value in (None, b'', b'x', b'-1', b'1.5', b'9' * 5_000):
            self.assertEqual([3, None], self.read_eras(b'3', value), value)
