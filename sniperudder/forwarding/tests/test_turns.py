"""Tests of the limit for the time that work holds the event loop."""

import asyncio
import itertools
from unittest import mock

import testtools

from sniperudder import forwarding
from sniperudder.forwarding import _turns


class RunInTurnsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        # Each look at the clock takes a millisecond.
        clock = itertools.count()
        patch = mock.patch.object(
            _turns, 'read_clock', lambda: next(clock) / 1_000
        )
        patch.start()
        self.addCleanup(patch.stop)

    def test_other_tasks_run_in_between(self):
        order = []

        def work(name):
            for _ in range(100):
                yield order.append(name)

        async def run():
            await asyncio.gather(
                *(forwarding.run_in_turns(work(name)) for name in 'ab')
            )

        asyncio.run(run())
        lengths = [len(list(group)) for _, group in itertools.groupby(order)]
        self.assertEqual(200, sum(lengths))
        self.assertTrue(max(lengths) <= 6, lengths)

    def test_work_that_is_given_up_can_go_on(self):
        done = []
        steps = (done.append(number) for number in range(100))

        async def run():
            task = asyncio.create_task(forwarding.run_in_turns(steps))
            await asyncio.sleep(0)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            given_up_at = len(done)
            await forwarding.run_in_turns(steps)
            return given_up_at

        self.assertTrue(0 < asyncio.run(run()) < 100)
        self.assertEqual(list(range(100)), done)
