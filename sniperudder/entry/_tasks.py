"""Background tasks of an instance, which are restarted when they fail."""

import asyncio

# Delay before a failed task is started again, seconds. It doubles with each
# failure in a row.
_MIN_RESTART_DELAY_S = 0.1
_MAX_RESTART_DELAY_S = 3.2

# Running time after which the next failure is not in a row with the last one,
# seconds.
_RECOVERED_AFTER_S = 10.0

# Number of failures of a task in a row at which its work counts as stopped.
_MAX_FAILURES_IN_A_ROW = 3


class TaskSupervisor:
    """Runs tasks until they are cancelled, whatever exceptions they raise.

    An exception costs the input that caused it, and what the task would have
    done during the delay. A process that ended instead would lose all requests
    in progress, and would meet the same input again after its restart.

    Parameters
    ----------
    report_error : callable
        Called with each exception.
    """

    __slots__ = ('_failures', '_report_error', '_tasks')

    def __init__(self, report_error):
        self._report_error = report_error
        self._failures = {}
        self._tasks = []

    def start(self, run):
        """Start a task.

        Parameters
        ----------
        run : callable
            Coroutine function without parameters, which runs until it is
            cancelled. It must be possible to call it again after a failure.
        """
        self._tasks.append(asyncio.create_task(self._supervise(run)))

    def cancel(self):
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    def is_failing(self):
        """Return whether a task has failed several times in a row."""
        return any(
            failures >= _MAX_FAILURES_IN_A_ROW
            for failures in self._failures.values()
        )

    async def _supervise(self, run):
        loop = asyncio.get_running_loop()
        delay_s = _MIN_RESTART_DELAY_S
        while True:
            started_at = loop.time()
            recovery = loop.call_later(
                _RECOVERED_AFTER_S, self._failures.pop, run, None
            )
            try:
                await run()
            except asyncio.CancelledError as error:
                if asyncio.current_task().cancelling():
                    raise
                # Something that the task awaited was cancelled.
                self._report_error(error)
            except Exception as error:
                self._report_error(error)
            finally:
                recovery.cancel()
            if loop.time() - started_at > _RECOVERED_AFTER_S:
                self._failures.pop(run, None)
            failures = self._failures[run] = self._failures.get(run, 0) + 1
            if failures == 1:
                delay_s = _MIN_RESTART_DELAY_S
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, _MAX_RESTART_DELAY_S)
