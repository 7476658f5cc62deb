"""Tests of the restrictions that endpoints state in their responses."""

import testtools

from sniperudder import fleet

_RUN = 'gpu-1', 5


class NoticeTableTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.table = fleet.NoticeTable()

    def test_limit_holds_until_a_response_states_none(self):
        self.assertTrue(self.table.record(_RUN, fleet.Notice(False, 4.0), 1.0))
        refused = fleet.Notice(False, 4.0, 2.0)
        self.assertTrue(self.table.record(_RUN, refused, 2.0))
        self.assertEqual({_RUN: 4.0}, self.table.list_limits())
        self.assertTrue(self.table.record(_RUN, fleet.Notice(), 3.0))
        self.assertEqual({}, self.table.list_limits())

    def test_malformed_limit_does_not_end_a_limit(self):
        self.table.record(_RUN, fleet.Notice(False, 4.0), 1.0)
        malformed = fleet.Notice(malformed=('server-limit: nan',))
        self.assertFalse(self.table.record(_RUN, malformed, 2.0))
        self.assertEqual({_RUN: 4.0}, self.table.list_limits())

    def test_older_statement_does_not_replace_a_newer_one(self):
        self.table.record(_RUN, fleet.Notice(False, 4.0), 5.0)
        self.assertFalse(self.table.apply_limit(_RUN, 9.0, 4.0))
        self.table.record(_RUN, fleet.Notice(), 6.0)
        self.assertFalse(self.table.apply_limit(_RUN, 4.0, 5.5))
        self.assertIsNone(self.table.get(_RUN).rate_limit)

    def test_pause_is_not_ended_by_other_responses(self):
        self.table.record(_RUN, fleet.Notice(pause_s=3.0), 1.0)
        self.table.record(_RUN, fleet.Notice(), 1.5)
        self.table.record(_RUN, fleet.Notice(pause_s=0.5), 2.0)
        self.assertEqual(4.0, self.table.get(_RUN).paused_until)

    def test_leaving_holds_for_the_run_only(self):
        self.table.record(_RUN, fleet.Notice(leaving=True), 1.0)
        self.table.record(_RUN, fleet.Notice(), 2.0)
        self.assertTrue(self.table.get(_RUN).leaving)
        self.assertFalse(self.table.get(('gpu-1', 6)).leaving)

    # Guards against: departures of ended runs are kept and told for ever.
    def test_ended_runs_are_dropped_after_a_time(self):
        self.table.record(_RUN, fleet.Notice(leaving=True), 1.0)
        limited = 'gpu-2', 5
        self.table.record(limited, fleet.Notice(False, 4.0), 1.0)
        self.table.drop_ended({limited}, 30.0)
        self.assertTrue(self.table.get(_RUN).leaving)
        self.table.drop_ended({limited}, 90.0)
        self.assertFalse(self.table.get(_RUN).leaving)
        listed = [run_id for run_id, _ in self.table.list_statements(90.0, 9)]
        self.assertEqual([limited], listed)

    def test_statements_are_listed_newest_first_and_bounded(self):
        for number in range(9):
            notice = fleet.Notice(False, 1.0 + number)
            self.table.record((f'gpu-{number}', 5), notice, float(number))
        listed = self.table.list_statements(9.0, 3)
        self.assertEqual([9.0, 8.0, 7.0], [r.rate_limit for _, r in listed])

    def test_end_of_a_limit_is_told_for_a_time(self):
        self.table.record(_RUN, fleet.Notice(False, 4.0), 1.0)
        self.table.record(_RUN, fleet.Notice(), 2.0)
        self.assertEqual(1, len(self.table.list_statements(9.0, 9)))
        self.assertEqual([], self.table.list_statements(90.0, 9))
