"""Tests of the store client with scripted responses."""

import asyncio
import json

import testtools

from sniperudder import platform
from sniperudder import revisions


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
    return await store.write_row('t', 'k', b'1', revisions.UNKNOWN)


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
        revision = revisions.Revision(0, 3)
        self.assertEqual(platform.Rows((), revision), outcome)


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
    """The store was restored from a copy, and its versions go back."""

    def call_store(self, *steps):
        """Call a store with scripted responses.

        Parameters
        ----------
        *steps : (callable, int, dict, bytes or None)
            Call, status and body of the response, and the era that it states.

        Returns
        -------
        outcomes : list
        restored : list of (int, int)
            Changes of the era that were reported.
        """
        responses = [step[1:] for step in steps]
        outcomes, restored = [], []

        async def respond(address, method, target, body, timeout_s, handle):
            status, value, era = responses.pop(0)
            handle([] if era is None else [(b'store-era', era)])
            if status is None:
                raise OSError('reset')
            return status, json.dumps(value).encode()

        async def run():
            store = platform.Store(
                'h:1', respond, None, lambda *eras: restored.append(eras)
            )
            for call, *_ in steps:
                outcomes.append(await call(store))

        asyncio.run(run())
        return outcomes, restored

    def make_write(self, era, version):
        """Return a call that writes a row under a condition."""

        async def write(store):
            expected = revisions.Revision(era, version)
            return await store.write_row('t', 'k', b'1', expected)

        return write

    EMPTY = {'rows': [], 'row_version': 9}

    def test_era_is_learnt_from_any_response(self):
        # Also from one that breaks off.
        for call in (read_table, read_changes, self.make_write(1, 9)):
            for status in (200, 410, 412, 429, 503, 500, None):
                _, restored = self.call_store(
                    (read_table, 200, self.EMPTY, b'1'),
                    (call, status, self.EMPTY, b'3'),
                )
                self.assertEqual([(0, 1), (1, 3)], restored)

    # Guards against: a late answer of the store before its restoration was
    # taken for its present state.
    def test_late_response_of_earlier_era_is_not_used(self):
        for call, status in (
            (read_table, 200),
            (read_changes, 200),
            (read_changes, 410),
            (self.make_write(2, 0), 200),
            (self.make_write(2, 0), 412),
        ):
            outcomes, _ = self.call_store(
                (read_table, 200, self.EMPTY, b'2'),
                (call, status, self.EMPTY, b'1'),
            )
            self.assertIsInstance(outcomes[1], platform.Unavailable)

    def test_response_without_valid_era_is_not_used_once_one_is_known(self):
        for era in (None, b'', b'x', b'-1', b'1.5', b'9' * 5_000):
            outcomes, _ = self.call_store(
                (read_table, 200, self.EMPTY, era),
                (read_table, 200, self.EMPTY, b'1'),
                (read_table, 200, self.EMPTY, era),
            )
            self.assertEqual(
                [platform.Rows, platform.Rows, platform.Unavailable],
                [type(outcome) for outcome in outcomes],
            )

    # Guards against: a condition on a version held for another row's life,
    # and a paused holder of the lease went on with it.
    def test_condition_that_holds_in_a_later_era_is_no_success(self):
        written = {'row_version': 12}
        outcomes, restored = self.call_store(
            (read_table, 200, self.EMPTY, b'1'),
            (self.make_write(1, 9), 200, written, b'2'),
            (self.make_write(2, 12), 200, written, b'2'),
        )
        self.assertIsInstance(outcomes[1], platform.Unavailable)
        self.assertTrue(outcomes[1].maybe_done)
        self.assertEqual(
            platform.Written(revisions.Revision(2, 12)), outcomes[2]
        )
        self.assertEqual([(0, 1), (1, 2)], restored)

    def test_condition_of_an_earlier_era_is_not_sent(self):
        outcomes, _ = self.call_store(
            (read_table, 200, self.EMPTY, b'2'),
            (self.make_write(1, 9), None, {}, None),
        )
        self.assertIsInstance(outcomes[1], platform.Unavailable)
        self.assertFalse(outcomes[1].maybe_done)

    def test_pages_of_two_eras_are_not_joined(self):
        def make_page(key, more):
            row = {'key': key, 'value': 'YQ==', 'row_version': 2}
            return {'rows': [row], 'row_version': 5, 'more_pages': more}

        responses = [
            (make_page('a', True), b'1'),
            (make_page('b', False), b'2'),
        ]

        async def respond(address, method, target, body, timeout_s, handle):
            page, era = responses.pop(0)
            handle([(b'store-era', era)])
            return 200, json.dumps(page).encode()

        outcome = asyncio.run(read_table(platform.Store('h:1', respond)))
        self.assertIsInstance(outcome, platform.Unavailable)
