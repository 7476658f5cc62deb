"""Calls that ask stages for a sign of life."""

import asyncio

from sniperudder.forwarding import _engines
from sniperudder import routing

__all__ = ['StageProber']

# Timeout of a call, seconds. A live engine answers within a few ms, and a
# longer one would leave no time to reroute a stream within 0.25 s.
_TIMEOUT_S = 0.05

# Time by which a call may exceed its timeout until nothing is concluded from
# it, seconds. The event loop was then held, and the answer may have arrived.
_MAX_DELAY_S = 0.02

# Time for which the result of a call is used for other streams, seconds.
_MAX_AGE_S = 0.15

# Largest number of calls at once, and calls per second after that. Calls are
# priced, and under load many sound streams pause for as long as a check takes.
_MAX_CALLS = 30.0
_CALLS_PER_S = 6.0

_Sign = routing.Sign


class StageProber:
    """Asks stages for a sign of life; all streams share the calls.

    Parameters
    ----------
    pool : ConnectionPool
        Must not be shared with forwarded requests.
    notice_recorder : NoticeRecorder
    """

    __slots__ = ('_allowed', '_allowed_at', '_calls', '_engine_client')

    def __init__(self, pool, notice_recorder):
        self._engine_client = _engines.EngineClient(
            pool, _TIMEOUT_S, notice_recorder
        )
        # Time of the call and its task, by run.
        self._calls = {}
        # Number of calls that were allowed at a loop time.
        self._allowed = _MAX_CALLS
        self._allowed_at = 0.0

    async def probe(self, endpoints):
        """Return the sign of life of each endpoint.

        Parameters
        ----------
        endpoints : iterable of sniperudder.fleet.Endpoint

        Returns
        -------
        dict of str to sniperudder.routing.Sign
            By address; without those that could not be asked, and empty if
            too many calls were made lately.
        """
        self._drop_old_calls()
        endpoints = list(endpoints)
        new = [e for e in endpoints if _get_run_id(e) not in self._calls]
        if not self._take_calls(len(new)):
            return {}
        tasks = {e.address: self._get_call(e) for e in endpoints}
        signs = await asyncio.gather(*map(asyncio.shield, tasks.values()))
        return {
            address: sign
            for address, sign in zip(tasks, signs)
            if sign is not None
        }

    def _get_call(self, endpoint):
        """Return the task of a recent call to an endpoint, or a new one."""
        run_id = _get_run_id(endpoint)
        if run_id not in self._calls:
            task = asyncio.create_task(self._call(endpoint))
            self._calls[run_id] = _read_time(), task
        return self._calls[run_id][1]

    def _drop_old_calls(self):
        now = _read_time()
        for run_id, (called_at, task) in list(self._calls.items()):
            if task.done() and now - called_at > _MAX_AGE_S:
                del self._calls[run_id]

    def _take_calls(self, count):
        """Take a number of calls from those that are allowed, if possible."""
        now = _read_time()
        earned = (now - self._allowed_at) * _CALLS_PER_S
        self._allowed = min(self._allowed + earned, _MAX_CALLS)
        self._allowed_at = now
        if count > self._allowed:
            return False
        self._allowed -= count
        return True

    async def _call(self, endpoint):
        called_at = _read_time()
        report = await self._engine_client.fetch_report(endpoint)
        if not isinstance(report, _engines.NoResponse):
            return _Sign.ALIVE
        if report.is_elsewhere:
            return _Sign.GONE
        if not report.timed_out:
            # It answered something, or the connection was reset.
            return None
        if _read_time() - called_at > _TIMEOUT_S + _MAX_DELAY_S:
            return None
        return _Sign.SILENT


def _get_run_id(endpoint):
    return endpoint.id, endpoint.born_ms


def _read_time():
    return asyncio.get_running_loop().time()
