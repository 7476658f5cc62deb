"""Random crowds of hostile callers beside signals, changes and restarts."""

import asyncio
import contextlib
import dataclasses
import json
import random
import signal

import h11

from sniperudder.entry.tests import test_hostile_callers as hostile
from sniperudder.entry.tests import test_processes
from standins import fleet as standins

_PLAY_S = 7.0
_POLL_S = 0.05

_ATTACKS = (
    hostile.announce_too_much,
    hostile.send_too_much,
    hostile.send_one_chunk,
    hostile.stop_short_in_large_chunks,
    hostile.stop_short_of_announced,
    hostile.stop_short_in_small_chunks,
    hostile.send_ahead,
    hostile.send_ahead_for_large_answers,
    hostile.drip,
    hostile.stay_silent,
)
# These need descriptors, the others memory.
_CONNECTION_ATTACKS = (hostile.drip, hostile.stay_silent)


@dataclasses.dataclass(slots=True)
class Verdict:
    """What became of a play.

    Attributes
    ----------
    faults : list of str
        Violated bounds, with the seed and what was played.
    answered, refused, closed : int
        Requests of the caller that keeps its connection: answered with 200,
        refused as not run, and without an answer.
    peak_mb : float
    peak_descriptors : int
    """

    faults: list
    answered: int = 0
    refused: int = 0
    closed: int = 0
    peak_mb: float = 0.0
    peak_descriptors: int = 0


class _Play:
    """One play; see `play`."""

    def __init__(self, seed, process, store):
        self.rng = random.Random(seed)
        self.verdict = Verdict([])
        self.actions = []
        self._seed = seed
        self._process = process
        self._store = store
        self._version = 1
        self._ready = asyncio.Event()
        self._ready.set()

    async def run(self):
        """Play crowds and changes, which overlap; then check the process."""
        tasks = [
            asyncio.create_task(coroutine)
            for coroutine in (
                *(self._press() for _ in range(self.rng.randint(2, 4))),
                self._change(),
                self._use_kept_connection(),
                self._watch(),
            )
        ]
        await asyncio.sleep(_PLAY_S)
        await self._ready.wait()
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                self._add_fault(f'the play itself failed: {result!r}')
        await self._check_ordinary_request()
        if self.verdict.peak_mb > hostile._MEMORY_MB:
            self._add_fault(f'{self.verdict.peak_mb:.0f} MB')
        free = hostile._MAX_DESCRIPTORS - hostile._FILE_DESCRIPTORS
        if self.verdict.peak_descriptors > free:
            self._add_fault(f'{self.verdict.peak_descriptors} descriptors')

    def _add_fault(self, text):
        self.verdict.faults.append(
            f'seed {self._seed}: {text}; {self.actions}'
        )

    async def _press(self):
        await asyncio.sleep(self.rng.uniform(0.0, 3.0))
        attack = self.rng.choice(_ATTACKS)
        count = self.rng.randint(5, hostile._CROWD)
        if attack in _CONNECTION_ATTACKS:
            count = self.rng.randint(50, hostile._CONNECTION_CROWD // 2)
        self.actions.append(f'{count} {attack.__name__}')
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.rng.uniform(1.0, _PLAY_S)):
                while True:
                    await self._ready.wait()
                    # Until the process is gone, then at the next one.
                    async with asyncio.timeout(_PLAY_S):
                        await hostile.press(self._process, count, attack)

    async def _change(self):
        """Send signals, change the settings and the configuration."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.1, 2.5))
            step = self.rng.choice(('hup', 'hup', 'limits', 'limits', 'stop'))
            if step == 'hup':
                self._process.signal(signal.SIGHUP)
            elif step == 'limits':
                self._change_limits()
            else:
                step = self.rng.choice((signal.SIGTERM, signal.SIGKILL))
                self._ready.clear()
                self._process.signal(step)
                if self.rng.random() < 0.5:
                    self._process.signal(signal.SIGHUP)
                await self._process.wait()
                await self._process.start()
                self._ready.set()
            self.actions.append(str(step))

    def _change_limits(self):
        self._version += 1
        configuration = hostile.make_configuration()
        configuration['version'] = self._version
        body_bytes = self.rng.choice((100_000, 1_000_000, 4_194_304))
        configuration['limits']['max_body_bytes'] = body_bytes
        self._store.put_json('op', 'config', configuration)

    async def _use_kept_connection(self):
        """Send requests on a connection for as long as it stays open."""
        while True:
            await self._ready.wait()
            host, _, port = self._process.callers.rpartition(':')
            writer = None
            with contextlib.suppress(OSError, h11.RemoteProtocolError):
                reader, writer = await asyncio.open_connection(host, int(port))
                while True:
                    await self._exchange(reader, writer)
                    await asyncio.sleep(_POLL_S)
            if writer is not None:
                writer.transport.abort()
            await asyncio.sleep(_POLL_S)

    async def _exchange(self, reader, writer):
        body = b'x' * 600
        writer.write(
            hostile._HEAD + b'Content-Length: %d\r\n\r\n' % len(body) + body
        )
        try:
            async with asyncio.timeout(hostile._PATIENCE_S):
                head = await reader.readuntil(b'\r\n\r\n')
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            self.verdict.closed += 1
            raise ConnectionResetError from error
        status = int(head.split()[1])
        if status == 200:
            self.verdict.answered += 1
        elif status in (429, 503):
            self.verdict.refused += 1
        else:
            self._add_fault(f'status {status}')
        length = next(
            int(line.partition(b':')[2])
            for line in head.lower().split(b'\r\n')
            if line.startswith(b'content-length:')
        )
        await reader.readexactly(length)
        if b'connection: close' in head.lower():
            raise ConnectionResetError

    async def _watch(self):
        while True:
            with contextlib.suppress(OSError):
                await self._sample(self._process.pid)
            if self._ready.is_set() and not self._process.is_running:
                self._add_fault('the process has ended')
                return
            await asyncio.sleep(_POLL_S)

    async def _sample(self, pid):
        """Sample a process until another one is started."""
        usage, verdict = hostile.Usage(self._process), self.verdict
        while pid == self._process.pid:
            usage.sample()
            verdict.peak_mb = max(verdict.peak_mb, usage.peak_mb)
            verdict.peak_descriptors = max(
                verdict.peak_descriptors, usage.peak_descriptors
            )
            await asyncio.sleep(hostile._SAMPLE_S)

    async def _check_ordinary_request(self):
        try:
            async with asyncio.timeout(hostile._PATIENCE_S):
                status, _, _ = await self._process.send(
                    '/unsafe/ordinary',
                    wait_ms=1_000 * int(hostile._PATIENCE_S),
                )
        except (OSError, h11.RemoteProtocolError) as error:
            status = repr(error)
        if status != 200:
            self._add_fault(f'ordinary request: {status}')


def play(seed):
    """Play one seed with a process of its own.

    Returns
    -------
    Verdict
    """
    desk = standins.EndpointStandin('desk-1', 'desk')

    async def run():
        async with test_processes.run_process(
            desk,
            limits=hostile._MACHINE,
            configuration=hostile.make_configuration(),
        ) as process:
            game = _Play(seed, process, process.store)
            await game.run()
            return game.verdict

    return asyncio.run(run())


def describe(verdict):
    """Return a line about a play."""
    return json.dumps(dataclasses.asdict(verdict))
