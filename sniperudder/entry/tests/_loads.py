"""Requests of callers at a mean rate, for tests."""

import asyncio
import contextlib

import h11

from standins import fleet as standins


class CallerLoad:
    """Requests to several instances, each with an id of its own.

    Parameters
    ----------
    addresses : list of str
        Where the instances listen for callers.
    weights : list of float
        Shares of the requests that each of them gets.
    rng : random.Random

    Attributes
    ----------
    outcomes : list of (float, str, int, dict)
        Loop time of the request, address, status and headers of the response;
        status 0 if there was none.
    """

    def __init__(self, addresses, weights, rng):
        self.outcomes = []
        self._addresses = addresses
        self._weights = weights
        self._rng = rng
        self._sent = 0

    async def run(self, target, per_s, duration_s):
        """Send requests for a time, and wait for the responses."""
        loop = asyncio.get_running_loop()
        until = loop.time() + duration_s
        async with asyncio.TaskGroup() as group:
            while loop.time() < until:
                await asyncio.sleep(self._rng.expovariate(per_s))
                group.create_task(self._send(target))

    async def _send(self, target):
        self._sent += 1
        (address,) = self._rng.choices(self._addresses, self._weights)
        request_id = f'{address}/{self._sent}'
        sent_at = asyncio.get_running_loop().time()
        status, headers = 0, {}
        with contextlib.suppress(OSError, h11.ProtocolError, AttributeError):
            status, headers, _ = await standins.send_request(
                address,
                target,
                headers=[('X-Sniperudder-Request-Id', request_id)],
            )
        self.outcomes.append((sent_at, address, status, headers))
