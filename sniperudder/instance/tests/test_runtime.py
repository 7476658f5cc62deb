"""Tests of reply routing and fault isolation in the runtime."""

import io
import threading

import testtools

from sniperudder import effects
from sniperudder import inputs
from sniperudder import instance
from sniperudder import logs
from sniperudder import tables


def _make_arrival(number):
    return inputs.RequestArrived(
        f'req-{number}', 'studio', tables.Rank.URGENT, 'none', 'text', 1
    )


class TestRuntime(testtools.TestCase):
    def setUp(self):
        super().setUp()
        # Without a destination, eliot would buffer the messages for the
        # destination that a later test adds.
        log = logs.create_log(io.StringIO(), 'entry-1')
        self.addCleanup(logs.close_log, log)
        T = tables.create_tables('entry-1', 'milan')
        self.runtime = instance.create_runtime(T, lambda: 1.0)
        self.runtime.handlers[effects.LogEvent] = lambda event: None

    def test_refusal_reaches_reply_queue(self):
        replies = self.runtime.open_reply('req-1')
        self.runtime.submit(_make_arrival(1))
        self.assertIsInstance(replies.get_nowait(), effects.SendOutcome)
        self.assertEqual({}, self.runtime.replies)

    def test_exception_in_one_input_does_not_discard_the_next(self):
        finished = []

        def finish(effect):
            if effect.request == 'req-1':
                raise ValueError('no such reply')
            finished.append(effect.request)

        self.runtime.handlers[effects.SendOutcome] = finish
        self.runtime.submit_all([_make_arrival(1), _make_arrival(2)])
        self.assertEqual(['req-2'], finished)

    def test_exception_in_tick_does_not_stop_later_ticks(self):
        ticked = threading.Semaphore(0)

        def fail():
            ticked.release()
            raise KeyError('no route')

        self.runtime.read_clock = fail
        thread = threading.Thread(target=self.runtime.run_ticks)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.runtime.stop)
        self.assertTrue(ticked.acquire(timeout=60))
        self.assertTrue(ticked.acquire(timeout=60))
