"""Tests of an instance, as a process, beside callers that keep no limits.

They check what does not depend on the speed of the machine: that the process
lives, that its memory and its open descriptors stay within those of its
machine, and that an ordinary request is answered beside the crowd.
"""

import asyncio
import contextlib
import os
import resource

import testtools

from sniperudder.entry.tests import test_processes
from standins import fleet as standins

# The machine: memory in MB of 2^20 bytes, descriptors, and how many of them
# the platform keeps for files.
_MEMORY_MB = 100
_MAX_DESCRIPTORS = 500
_FILE_DESCRIPTORS = 200
_MACHINE = {'memory_mb': _MEMORY_MB, 'max_fds': _MAX_DESCRIPTORS}

# The smallest machine of the deployments.
_SMALLEST_MACHINE = {'memory_mb': 200, 'max_fds': 4_100}

_MAX_BODY_BYTES = 4_194_304
_CALLER_LIMITS = {
    'max_header_bytes': 16_384,
    'max_body_bytes': _MAX_BODY_BYTES,
    'header_timeout_ms': 3_000,
    'idle_timeout_ms': 15_000,
}

# How long a crowd presses, and how long an ordinary caller may have to wait
# at most before the test gives up, seconds.
_PRESS_S = 10.0
_PATIENCE_S = 60.0
_SAMPLE_S = 0.02

_CROWD = 40
# More than half of what is left of the descriptors.
_CONNECTION_CROWD = 450

_HEAD = (
    b'POST /unsafe/1 HTTP/1.1\r\n'
    b'Host: shop.example\r\n'
    b'X-Sniperudder-Request-Id: hostile\r\n'
    b'X-Sniperudder-Request-Deadline: 1500\r\n'
    b'Authorization: Token key-1\r\n'
)
_CHUNKED_HEAD = _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
_LARGE_CHUNK = b'10000\r\n' + b'x' * 65_536 + b'\r\n'
_SMALL_CHUNKS = b'2\r\nxx\r\n' * 4_000
_GET = b'GET /none HTTP/1.1\r\nHost: shop.example\r\n\r\n'
_SAFE_GET = (
    b'GET /safe/1 HTTP/1.1\r\nHost: shop.example\r\n'
    b'X-Sniperudder-Request-Id: hostile\r\n'
    b'Authorization: Token key-1\r\n\r\n'
)


def make_configuration():
    """Return a configuration with the limits of the deployments."""
    configuration = standins.make_configuration()
    configuration['limits'] = dict(_CALLER_LIMITS)
    for route in configuration['routes']:
        # Not reached, so that nothing here depends on the machine's speed.
        route['timeout_ms'] = 1_000 * int(_PATIENCE_S)
    return configuration


class Usage:
    """What a process holds of its machine, and the most it has held.

    Attributes
    ----------
    peak_mb : float
        Resident memory and the bytes that its sockets have received and it
        has not read, MB of 2^20 bytes.
    peak_descriptors : int
    """

    def __init__(self, process):
        self.peak_mb = 0.0
        self.peak_descriptors = 0
        self._pid = process.pid
        self._port = int(process.callers.rpartition(':')[2])

    async def watch(self):
        """Sample until cancelled, or until the process has ended."""
        with contextlib.suppress(OSError):
            while True:
                self.sample()
                await asyncio.sleep(_SAMPLE_S)

    def sample(self):
        """Read the present values.

        Raises
        ------
        OSError
            If the process has ended.
        """
        memory_bytes = self._read_resident_bytes() + self._count_unread_bytes()
        self.peak_mb = max(self.peak_mb, memory_bytes / 2**20)
        count = len(os.listdir(f'/proc/{self._pid}/fd'))
        self.peak_descriptors = max(self.peak_descriptors, count)

    def _read_resident_bytes(self):
        with open(f'/proc/{self._pid}/statm') as file:
            return int(file.read().split()[1]) * resource.getpagesize()

    def _count_unread_bytes(self):
        """Return the bytes that wait in the sockets of callers."""
        unread = 0
        with open('/proc/net/tcp') as file:
            next(file)
            for line in file:
                _, local, _, state, queues, *_ = line.split()
                is_listening = state == '0A'
                if local.endswith(f':{self._port:04X}') and not is_listening:
                    unread += int(queues.partition(':')[2], 16)
        return unread


async def press(process, count, attack, pause_s=0.2):
    """Have a number of callers at a process, each again once it is closed.

    Runs until cancelled.

    Parameters
    ----------
    process : Process
    count : int
    attack : callable
        Coroutine function of a reader and a writer.
    pause_s : float
        Time until a caller comes again, seconds.
    """
    host, _, port = process.callers.rpartition(':')

    async def run():
        while True:
            writer = None
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(host, int(port))
                await attack(reader, writer)
            if writer is not None:
                writer.transport.abort()
            await asyncio.sleep(pause_s)

    await asyncio.gather(*(run() for _ in range(count)))


async def send_repeatedly(writer, data, times):
    """Send the same bytes a number of times, as fast as they are taken."""
    for _ in range(times):
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(0)


async def announce_too_much(reader, writer):
    """Announce a body far over the limit, and send it."""
    writer.write(_HEAD + b'Content-Length: 268435456\r\n\r\n')
    await send_repeatedly(writer, b'x' * 65_536, 4_096)


async def send_too_much(reader, writer):
    """Send a body far over the limit, in large chunks."""
    writer.write(_CHUNKED_HEAD)
    await send_repeatedly(writer, _LARGE_CHUNK, 4_096)


async def send_one_chunk(reader, writer):
    """Send a body far over the limit in a single chunk."""
    writer.write(_CHUNKED_HEAD + b'10000000\r\n')
    await send_repeatedly(writer, b'x' * 65_536, 4_096)


async def stop_short_in_large_chunks(reader, writer):
    """Send a body within the limit, but for its end, and stay."""
    writer.write(_CHUNKED_HEAD)
    await send_repeatedly(writer, _LARGE_CHUNK, 63)
    await reader.read()


async def stop_short_of_announced(reader, writer):
    """Send a body of an announced length, but for its end, and stay."""
    writer.write(_HEAD + b'Content-Length: 4194304\r\n\r\n')
    await send_repeatedly(writer, b'x' * 65_536, 63)
    await reader.read()


async def stop_short_in_small_chunks(reader, writer):
    """Send a body in chunks of two bytes, but for its end, and stay."""
    writer.write(_CHUNKED_HEAD)
    await send_repeatedly(writer, _SMALL_CHUNKS, 50)
    await reader.read()


async def send_ahead(reader, writer):
    """Send requests without the usual headers, and read no answer."""
    await send_repeatedly(writer, _GET * 1_000, 1_000)
    await asyncio.Event().wait()


async def send_ahead_for_large_answers(reader, writer):
    """Ask for a large answer again and again, and read none."""
    writer.write(_SAFE_GET * 20)
    await asyncio.Event().wait()


async def drip(reader, writer):
    """Send a byte of a body now and then, and stay."""
    writer.write(_CHUNKED_HEAD + b'4\r\nxxxx\r\n')
    while not reader.at_eof():
        await asyncio.sleep(1.0)
        writer.write(b'1\r\nx\r\n')
        await writer.drain()


async def stay_silent(reader, writer):
    """Send nothing, and stay."""
    await reader.read()


class HostileCallerTestBase(testtools.TestCase):
    """Runs cases against a process of its own."""

    def run_case(self, case, limits):
        """Run a case; return its result."""
        desk = standins.EndpointStandin('desk-1', 'desk')

        async def run():
            async with test_processes.run_process(
                desk, limits=limits, configuration=make_configuration()
            ) as process:
                # What the platform allows the process.
                resource.prlimit(
                    process.pid,
                    resource.RLIMIT_NOFILE,
                    (limits['max_fds'], limits['max_fds']),
                )
                usage = Usage(process)
                watching = asyncio.create_task(usage.watch())
                try:
                    await case(process, desk)
                    self.assertTrue(process.is_running)
                finally:
                    watching.cancel()
                return usage

        return asyncio.run(run())

    async def check_ordinary_request(self, process):
        """Check that an ordinary request is answered on a new connection."""
        async with asyncio.timeout(_PATIENCE_S):
            status, _, _ = await process.send(
                '/unsafe/ordinary',
                body=b'x' * 600,
                wait_ms=1_000 * int(_PATIENCE_S),
            )
        self.assertEqual(200, status)


class HostileCrowdTest(HostileCallerTestBase):
    """Crowds of callers that exceed the memory or descriptors of a machine."""

    def check_crowd(self, attack, count=_CROWD, prepare=None):
        """Check an instance beside a crowd, and after it has gone."""

        async def case(process, desk):
            if prepare is not None:
                prepare(desk)
            await self.check_ordinary_request(process)
            crowd = asyncio.create_task(press(process, count, attack))
            try:
                await asyncio.sleep(_PRESS_S)
                desk.script.clear()
                # The bounds hold beside the crowd, so that no later failure
                # hides that one of them was exceeded.
                self.assertTrue(process.is_running)
                await self.check_ordinary_request(process)
            finally:
                crowd.cancel()
                await asyncio.gather(crowd, return_exceptions=True)
            await self.check_ordinary_request(process)

        usage = self.run_case(case, _MACHINE)
        self.assertTrue(usage.peak_mb <= _MEMORY_MB, usage.peak_mb)
        self.assertTrue(
            usage.peak_descriptors <= _MAX_DESCRIPTORS - _FILE_DESCRIPTORS,
            usage.peak_descriptors,
        )

    def test_announced_bodies_over_the_limit(self):
        self.check_crowd(announce_too_much)

    # Guards against: bodies were kept up to the limit on each connection, and
    # nothing bounded their sum.
    def test_bodies_over_the_limit_that_are_just_sent(self):
        self.check_crowd(send_too_much)

    def test_bodies_over_the_limit_in_one_chunk(self):
        self.check_crowd(send_one_chunk)

    # Guards against: the same, with bodies whose end never came.
    def test_bodies_in_large_chunks_that_stop_short(self):
        self.check_crowd(stop_short_in_large_chunks)

    def test_announced_bodies_that_stop_short(self):
        self.check_crowd(stop_short_of_announced)

    # Guards against: each chunk was kept as an object of its own, many times
    # larger than what it held.
    def test_bodies_in_small_chunks_that_stop_short(self):
        self.check_crowd(stop_short_in_small_chunks)

    # Guards against: requests were read and answered however many answers
    # before were unread, and all that was sent ahead was copied for each.
    def test_requests_sent_ahead_with_answers_unread(self):
        self.check_crowd(send_ahead)

    # Guards against: unread answers of endpoints were kept without a bound.
    def test_large_answers_that_are_not_read(self):
        def prepare(desk):
            async def serve(request, http, writer):
                standins.write_response(
                    http,
                    writer,
                    200,
                    b'x' * 1_000_000,
                    standins.make_seal(request),
                )

            desk.script.extend([desk.respond_normally] + [serve] * 800)

        self.check_crowd(send_ahead_for_large_answers, prepare=prepare)

    # Guards against: many responses were collected whole at the same time.
    def test_largest_answers_at_once_that_are_not_read(self):
        def prepare(desk):
            async def serve(request, http, writer):
                standins.write_response(
                    http,
                    writer,
                    200,
                    b'x' * 6_000_000,
                    standins.make_seal(request),
                )

            desk.script.extend([desk.respond_normally] + [serve] * 400)

        async def ask(reader, writer):
            transport = writer.transport
            transport.pause_reading()
            writer.write(_SAFE_GET)
            while not transport.is_closing():
                await asyncio.sleep(1.0)

        self.check_crowd(ask, prepare=prepare)

    # Guards against: connections with unfinished bodies used up the
    # descriptors, and no new caller got one.
    def test_connections_that_stay_open_with_unfinished_bodies(self):
        self.check_crowd(drip, _CONNECTION_CROWD)

    def test_connections_that_stay_open_without_a_request(self):
        self.check_crowd(stay_silent, _CONNECTION_CROWD)


class LargestRequestTest(HostileCallerTestBase):
    """Requests within the limits are served by the smallest machine."""

    def check_request(self, head, data, times, end=b''):
        """Check that a single request is served, and its body complete."""

        async def case(process, desk):
            host, _, port = process.callers.rpartition(':')
            async with asyncio.timeout(_PATIENCE_S):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(head)
                await send_repeatedly(writer, data, times)
                writer.write(end)
                line = await reader.readline()
                writer.close()
            self.assertIn(b' 200 ', line)
            self.assertEqual(
                [_MAX_BODY_BYTES], [len(body) for _, body in desk.requests]
            )

        self.run_case(case, _SMALLEST_MACHINE)

    def test_largest_announced_body(self):
        head = _HEAD.replace(b': 1500', b': 60000')
        head += b'Content-Length: 4194304\r\n\r\n'
        self.check_request(head, b'x' * 65_536, 64)

    def test_largest_body_in_the_smallest_chunks(self):
        head = _CHUNKED_HEAD.replace(b': 1500', b': 60000')
        self.check_request(head, b'2\r\nxx\r\n' * 4_096, 512, end=b'0\r\n\r\n')


class LargeRequestCrowdTest(HostileCallerTestBase):
    """Many callers with large bodies are within the limits, and served."""

    # Guards against: callers that sent whole bodies, one after another, and
    # read their answers ended the process, too.
    def test_whole_bodies_one_after_another(self):
        statuses = []
        head = _HEAD.replace(b': 1500', b': 60000')
        head += b'Content-Length: 4194304\r\n\r\n'

        async def case(process, desk):
            async def send_whole(reader, writer):
                writer.write(head)
                await send_repeatedly(writer, b'x' * 65_536, 64)
                answer = await reader.readuntil(b'\r\n\r\n')
                statuses.append(int(answer.split()[1]))
                # The stand-in keeps the bodies.
                desk.requests.clear()

            crowd = asyncio.create_task(press(process, _CROWD, send_whole))
            await asyncio.sleep(_PRESS_S)
            crowd.cancel()
            await asyncio.gather(crowd, return_exceptions=True)
            await self.check_ordinary_request(process)

        usage = self.run_case(case, _MACHINE)
        self.assertTrue(usage.peak_mb <= _MEMORY_MB, usage.peak_mb)
        self.assertIn(200, statuses)
        self.assertEqual(set(), set(statuses) - {200, 503})
