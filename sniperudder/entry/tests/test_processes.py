"""Tests of stopping and restarting an instance that runs as a process."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
import tempfile

import testtools

from scenarios import _processes
from sniperudder import platform
from standins import fleet as standins

_GRACE_S = 6.0
_START_S = 10.0
_POLL_S = 0.02
_EVENTS = 80

# One engine fits all layers and a large KV cache.
_ENGINE = standins.make_engine(accelerators={'big': 40_000.0})

# Users' requirement for recovery after a loss of all instances.
_RECOVER_S = 12.0


class Process:
    """An instance that runs as a process, with its settings file.

    Parameters
    ----------
    store : StoreStandin
    folder : str
        Directory of the settings file.
    limits : dict, optional
        Limits of the machine, as in the settings file.
    """

    def __init__(self, store, folder, limits=None):
        self._path = pathlib.Path(folder, 'settings.json')
        self.store = store
        self._limits = limits or {}
        self._child = None
        self._lines = []
        self._reading = None
        self.callers = self.ready = ''

    async def start(self):
        """Start the process and wait until it is ready."""
        self.callers, self.ready, peers = _processes.find_addresses(3)
        bounds = {
            'drain_ms': 2_000,
            'grace_s': _GRACE_S,
            'stall_ms': 2_000,
            'budget_ratio': 0.2,
            'budget_window_s': 10,
            'budget_slack': 200,
        }
        port = int(peers.rpartition(':')[2])
        settings = {
            'node': 'entry-1',
            'zone': 'north',
            'ip': '127.0.0.1',
            'listen': {'front': self.callers, 'ready': self.ready},
            'port_range': [port, port],
            'platform': {'address': self.store.address},
            'bounds': bounds,
            'limits': self._limits,
        }
        self._path.write_text(json.dumps(settings))
        self._child = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'sniperudder.entry',
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, platform.SETTINGS_VARIABLE: str(self._path)},
        )
        self._reading = asyncio.create_task(self._read_lines())
        async with asyncio.timeout(_START_S):
            while await self.get_readiness() != 200:
                await asyncio.sleep(_POLL_S)

    @property
    def pid(self):
        """Id of the process."""
        return self._child.pid

    @property
    def is_running(self):
        """Whether the process has not ended."""
        return self._child.returncode is None

    async def get_readiness(self):
        """Return the status of the readiness probe, or None if it fails."""
        try:
            status, _, _ = await standins.send_request(
                self.ready, '/readiness', 'GET', b''
            )
        except OSError:
            return None
        return status

    async def send(self, target, **options):
        """Send a request to the instance; see `send_request`."""
        return await standins.send_request(self.callers, target, **options)

    def signal(self, number):
        """Send a signal to the process."""
        self._child.send_signal(number)

    async def wait(self):
        """Wait until the process exits and return its exit status."""
        async with asyncio.timeout(_GRACE_S + 1.0):
            status = await self._child.wait()
            await self._reading
        return status

    async def close(self):
        """Kill the process if it is still running."""
        if self._child is not None and self._child.returncode is None:
            self._child.kill()
            await self._child.wait()

    def list_events(self, event):
        """Return the log lines with an event name."""
        return [
            line for line in self._lines if line.get('message_type') == event
        ]

    async def _read_lines(self):
        async for line in self._child.stdout:
            self._lines.append(json.loads(line))


@contextlib.asynccontextmanager
async def run_process(
    *endpoints, engine=None, limits=None, configuration=None
):
    """Run an instance as a process that routes requests to stand-ins."""
    store = standins.StoreStandin()
    await store.start()
    for endpoint in endpoints:
        await endpoint.start()
        endpoint.list_in(store)
    configuration = configuration or standins.make_configuration(engine=engine)
    store.put_json('op', 'config', configuration)
    with tempfile.TemporaryDirectory() as folder:
        process = Process(store, folder, limits)
        try:
            await process.start()
            yield process
        finally:
            await process.close()
            for endpoint in endpoints:
                await endpoint.stop()
            await store.stop()


def create_stream_engine():
    """Return an engine whose streams outlast the accept period of a stop."""
    engine = standins.EndpointStandin('gpu-1', 'llm', accelerator='big')
    engine.layers = 0, 8
    engine.events = _EVENTS
    engine.event_s = 0.05
    return engine


async def await_requests(*endpoints):
    """Wait until each endpoint has received a request."""
    async with asyncio.timeout(_START_S):
        while not all(endpoint.requests for endpoint in endpoints):
            await asyncio.sleep(_POLL_S)


def make_slow_response(desk, delay_s):
    """Return a script entry that responds after a delay in seconds."""

    async def serve(request, http, writer):
        await asyncio.sleep(delay_s)
        await desk.respond_normally(request, http, writer)

    return serve


class PlannedStopTest(testtools.TestCase):
    """Instances are stopped one after another while callers continue."""

    def test_stop_does_not_abort_open_requests(self):
        desk = standins.EndpointStandin('desk-1', 'desk')
        engine = create_stream_engine()

        async def run():
            desk.script.append(make_slow_response(desk, 1.3))
            async with run_process(desk, engine, engine=_ENGINE) as process:
                stream = asyncio.create_task(
                    process.send('/stream/a', wait_ms=20_000)
                )
                plain = asyncio.create_task(process.send('/unsafe/a'))
                await await_requests(desk, engine)
                process.signal(signal.SIGTERM)
                await asyncio.sleep(0.1)
                readiness = await process.get_readiness()
                # The load balancer keeps sending callers here for a while.
                late = await process.send('/safe/late')
                responses = await asyncio.gather(stream, plain)
                return (
                    process,
                    readiness,
                    late,
                    responses,
                    await process.wait(),
                )

        process, readiness, late, responses, status = asyncio.run(run())
        self.assertEqual(0, status)
        self.assertEqual(503, readiness)
        self.assertEqual(200, late[0])
        self.assertEqual('close', late[1]['connection'])
        (stream, _, body), (plain, _, _) = responses
        self.assertEqual((200, 200), (stream, plain))
        self.assertEqual(_EVENTS, body.count(b'data: '))
        self.assertEqual(
            [0],
            [line['cut'] for line in process.list_events('instance:stopped')],
        )

    def test_repeated_signals_do_not_disturb_stop(self):
        # Several signals can arrive in a row.
        engine = create_stream_engine()

        async def run():
            async with run_process(engine, engine=_ENGINE) as process:
                stream = asyncio.create_task(
                    process.send('/stream/a', wait_ms=20_000)
                )
                await await_requests(engine)
                for number in (
                    signal.SIGHUP,
                    signal.SIGTERM,
                    signal.SIGHUP,
                    signal.SIGTERM,
                ):
                    process.signal(number)
                    await asyncio.sleep(0.1)
                return await stream, await process.wait()

        (status, _, body), ended = asyncio.run(run())
        self.assertEqual((200, 0), (status, ended))
        self.assertEqual(_EVENTS, body.count(b'data: '))


class StartTest(testtools.TestCase):
    def test_killed_instance_recovers_in_time(self):
        desk = standins.EndpointStandin('desk-1', 'desk')

        async def run():
            async with run_process(desk) as process:
                await process.send('/unsafe/a')
                loop = asyncio.get_running_loop()
                process.signal(signal.SIGKILL)
                await process.wait()
                began = loop.time()
                await process.start()
                status, _, _ = await process.send('/unsafe/b')
                return status, loop.time() - began

        status, took_s = asyncio.run(run())
        self.assertEqual(200, status)
        self.assertLess(took_s, _RECOVER_S)
