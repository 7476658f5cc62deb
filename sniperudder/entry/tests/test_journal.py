"""Tests of the limits on log lines."""

from unittest import mock

import eliot
import testtools

from sniperudder.entry import _journal


class CallerLineTest(testtools.TestCase):
    # Guards against: lines that callers cause at any rate took the room of all
    # others.
    def test_lines_that_callers_cause_are_limited_by_themselves(self):
        seconds = [0.0]
        journal = _journal.Journal(read_clock=lambda: seconds[0])
        with mock.patch.object(eliot, 'log_message', autospec=True) as log:
            for _ in range(900):
                journal.write('connection:closed', reason='given up')
            for _ in range(900):
                journal.write('request:end', 'r-1')
            seconds[0] = 1.0
            journal.write('request:end', 'r-2')
        lines = [call.kwargs for call in log.call_args_list]
        types = [line['message_type'] for line in lines]
        self.assertEqual(50, types.count('connection:closed'))
        self.assertEqual(901, types.count('request:end'))
        self.assertEqual(
            [850], [line['lines'] for line in lines if 'lines' in line]
        )
