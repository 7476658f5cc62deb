"""Engines that crash on a part of a prompt, and start again."""

import asyncio
import contextlib

from standins.fleet import _endpoints
from standins.fleet import _messages


class CrashingEngine(_endpoints.EndpointStandin):
    """An engine that crashes when it writes an answer on a certain part.

    All connections break, further ones are refused, and a new run starts at
    the same address after some time. The old entry stays listed for longer.

    Attributes
    ----------
    crashing_parts : set of str
    prefill_s : float
        Time until a request begins to write, seconds.
    crash_after_s : float
        Time from there to the crash, seconds.
    restart_s : float
        Time from a crash to the next run, seconds.
    expiry_s : float
        Time for which the entry of a crashed run stays listed, seconds.
    crashes : list of float
        Loop time of each crash, seconds.
    part_arrivals : list of (float, tuple of str)
        Loop time and shared parts of each request.
    """

    def __init__(self, name, store, layers):
        super().__init__(f'{name}-run-1', 'llm', accelerator='big')
        self.layers = layers
        self.crashing_parts = set()
        self.prefill_s = 0.05
        self.crash_after_s = 0.03
        self.restart_s = 1.0
        self.expiry_s = 3.0
        self.crashes = []
        self.part_arrivals = []
        self._name = name
        self._store = store
        self._tasks = set()

    async def respond_normally(self, request, http, writer):
        """See base class."""
        parts = tuple(_messages.read_shared_parts(request))
        now = asyncio.get_running_loop().time()
        self.part_arrivals.append((now, parts))
        await asyncio.sleep(self.prefill_s)
        if self.crashing_parts.intersection(parts):
            await asyncio.sleep(self.crash_after_s)
            await self.crash()
            raise OSError('crashed')
        await super().respond_normally(request, http, writer)

    async def crash(self):
        """End this run, and start the next one after a time."""
        if not self._server.is_serving():
            return
        self.crashes.append(asyncio.get_running_loop().time())
        ended_id = self.id
        await self.stop()
        self._run_later(self.restart_s, self._restart)
        self._run_later(
            self.expiry_s,
            lambda: self._store.put('servers', ended_id, None),
        )

    async def close(self):
        """Stop for good."""
        for task in self._tasks:
            task.cancel()
        await self.stop()

    async def _restart(self):
        self.born += 1
        self.id = f'{self._name}-run-{self.born}'
        await self.start()
        self.list_in(self._store)

    def _run_later(self, delay_s, function):
        async def run():
            await asyncio.sleep(delay_s)
            result = function()
            if result is not None:
                await result

        task = asyncio.create_task(run())
        self._tasks.add(task)
        task.add_done_callback(self._discard)

    def _discard(self, task):
        self._tasks.discard(task)
        with contextlib.suppress(asyncio.CancelledError):
            task.result()
