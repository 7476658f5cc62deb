"""Tests of the background tasks of an instance."""

import asyncio

import testtools

from sniperudder.entry import _tasks
from sniperudder.testing import VirtualTimeLoop


class TaskSupervisorTest(testtools.TestCase):
    def run_task(self, run, duration_s):
        """Supervise a task; return the errors, and whether it is failing."""
        errors = []

        async def supervise():
            supervisor = _tasks.TaskSupervisor(errors.append)
            supervisor.start(run)
            await asyncio.sleep(duration_s)
            failing = supervisor.is_failing()
            supervisor.cancel()
            await asyncio.sleep(0)
            return failing

        loop = VirtualTimeLoop()
        try:
            return errors, loop.run_until_complete(supervise())
        finally:
            loop.close()

    # Guards against: one exception in a background task ended the process.
    def test_task_is_started_again_after_an_exception(self):
        starts = []

        async def fail_once():
            starts.append(None)
            if len(starts) == 1:
                raise OverflowError('once')
            await asyncio.Event().wait()

        errors, failing = self.run_task(fail_once, 60.0)
        self.assertEqual(['once'], [str(error) for error in errors])
        self.assertEqual(2, len(starts))
        self.assertFalse(failing)

    # Guards against: a task that awaited something cancelled ended silently.
    def test_task_is_started_again_after_a_foreign_cancellation(self):
        starts = []

        async def await_cancelled():
            starts.append(None)
            inner = asyncio.create_task(asyncio.sleep(60.0))
            if len(starts) == 1:
                inner.cancel()
            await inner

        errors, _ = self.run_task(await_cancelled, 30.0)
        self.assertEqual(1, len(errors))
        self.assertEqual(2, len(starts))

    def test_restarts_of_a_task_that_keeps_failing_become_rare(self):
        async def fail():
            raise ValueError('always')

        errors, failing = self.run_task(fail, 60.0)
        self.assertTrue(failing)
        self.assertTrue(15 <= len(errors) <= 30, len(errors))

    # Guards against: the delay of a task that had failed for an hour could not
    # be computed, so it was never started again.
    def test_task_that_has_failed_for_hours_is_still_started(self):
        starts = []

        async def fail():
            starts.append(asyncio.get_running_loop().time())
            raise ValueError('always')

        self.run_task(fail, 7_200.0)
        self.assertGreater(starts[-1] - starts[0], 7_190.0)

    def test_task_that_fails_now_and_then_does_not_count_as_failing(self):
        async def fail_later():
            await asyncio.sleep(20.0)
            raise ValueError('later')

        errors, failing = self.run_task(fail_later, 200.0)
        self.assertEqual(9, len(errors))
        self.assertFalse(failing)

    def test_task_that_runs_again_does_not_count_as_failing(self):
        starts = []

        async def fail_at_first():
            starts.append(None)
            if len(starts) <= 5:
                raise ValueError('at first')
            await asyncio.Event().wait()

        _, failing = self.run_task(fail_at_first, 8.0)
        self.assertTrue(failing)
        starts.clear()
        _, failing = self.run_task(fail_at_first, 20.0)
        self.assertFalse(failing)
