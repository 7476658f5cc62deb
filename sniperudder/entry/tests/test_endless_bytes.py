"""Tests of bytes that come without end, from endpoints and from callers."""

import asyncio
import contextlib
import gc
import time

import testtools

from sniperudder.entry.tests import _fleets
from sniperudder.forwarding import _events
from standins import fleet as standins

# The shortest pause that the users call late between two events, seconds.
_MAX_LAG_S = 0.2

_ID = b'X-Sniperudder-Request-Id: r-1\r\n'
_SEALED = b'HTTP/1.1 200 OK\r\n' + _ID + b'X-Sniperudder-Response-Seal: s\r\n'
_CHUNKED = _SEALED + b'Transfer-Encoding: chunked\r\n\r\n'
_CHUNK = b'18\r\n' + b'x' * 24 + b'\r\n'

# What comes first, and what is then repeated.
_ENDLESS = {
    'head': (b'HTTP/1.1 200 OK\r\nX-A: ', b'x' * 64),
    'header fields': (b'HTTP/1.1 200 OK\r\n', b'X-A: b\r\n'),
    'interim heads': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'events without a blank line': (_CHUNKED, _CHUNK),
    'chunks of one byte': (_CHUNKED, b'1\r\nx\r\n'),
    'chunk extension': (_CHUNKED + b'1;', b'a=b;'),
    'trailer': (_CHUNKED + b'0\r\n', b'X-A: b\r\n'),
    'body without a length': (_SEALED + b'\r\n', b'x' * 64),
    'blank lines': (_SEALED + b'\r\n', b'\n\n' * 32),
}


@contextlib.asynccontextmanager
async def watch_lag(lags):
    """Record for how long the event loop was held during the block.

    Counts the processor time of its thread between two turns, seconds. Time in
    which other processes run on the machine is left out, as are the objects
    of earlier tests, which no garbage collection then visits.
    """

    async def tick():
        while True:
            slept_at = time.thread_time()
            await asyncio.sleep(0.005)
            lags.append(time.thread_time() - slept_at)

    gc.collect()
    gc.freeze()
    task = asyncio.create_task(tick())
    try:
        yield
    finally:
        task.cancel()
        gc.unfreeze()


class EndlessAnswerTest(testtools.TestCase):
    def run_endless(self, endpoint, target, kind, case):
        """Run a case beside answers that go on until they are closed."""
        start, piece = _ENDLESS[kind]
        piece = piece * (8_192 // len(piece))
        ended = []

        async def serve(request, http, writer):
            writer.write(start)
            try:
                while not writer.is_closing():
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(0)
            finally:
                ended.append(kind)
            raise OSError('closed by the instance')

        endpoint.script.extend([serve] * 20)
        lags = []

        async def run():
            profile = standins.make_engine(accelerators=_fleets.ACCELERATORS)
            async with _fleets.run_fleet(
                endpoint, engine=profile
            ) as test_fleet:
                async with watch_lag(lags):
                    await case(test_fleet, target)

        asyncio.run(run())
        self.assertTrue(ended, kind)
        self.assertTrue(max(lags, default=0.0) < _MAX_LAG_S, (kind, lags))

    # Guards against: one answer without end, in small pieces, held the event
    # loop for seconds, so that no other request was answered.
    def test_answers_do_not_hold_the_loop(self):
        async def case(test_fleet, target):
            with contextlib.suppress(Exception):
                await test_fleet.send(target)

        for kind in _ENDLESS:
            engine = _fleets.create_engine('gpu-1', layers=(0, 8))
            self.run_endless(engine, '/stream/a', kind, case)
            desk = _fleets.create_desk()
            self.run_endless(desk, '/safe/a', kind, case)

    def test_caller_that_leaves_ends_the_answer(self):
        async def case(test_fleet, target):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.2):
                    await test_fleet.send(target)
            await asyncio.sleep(0.3)
            connections = test_fleet.instance._caller_server.connections
            self.assertEqual([], list(connections))

        desk = _fleets.create_desk()
        self.run_endless(desk, '/safe/a', 'chunks of one byte', case)


class EndlessRequestTest(testtools.TestCase):
    # Guards against: a body in chunks of one byte held the event loop for as
    # long as the bytes took that had arrived.
    def test_body_in_tiny_chunks_does_not_hold_the_loop(self):
        desk = _fleets.create_desk()
        lags = []

        async def run():
            async with _fleets.run_fleet(desk) as test_fleet:
                host, _, port = test_fleet.callers.rpartition(':')
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(
                    b'POST /safe/a HTTP/1.1\r\nHost: shop.example\r\n'
                    b'Authorization: Token key-1\r\n'
                    b'Transfer-Encoding: chunked\r\n' + _ID + b'\r\n'
                )
                async with watch_lag(lags):
                    for _ in range(15):
                        writer.write(b'1\r\nx\r\n' * 4_000)
                        await writer.drain()
                    writer.write(b'0\r\n\r\n')
                    line = await reader.readline()
                writer.close()
                return line

        self.assertIn(b' 200 ', asyncio.run(run()))
        self.assertEqual(60_000, len(desk.requests[0][1]))
        self.assertTrue(max(lags) < _MAX_LAG_S, max(lags))


class EventSplitterTest(testtools.TestCase):
    # Guards against: each piece of an incomplete event was copied and searched
    # together with all before it.
    def test_incomplete_event_takes_linear_time(self):
        splitter = _events.EventSplitter()
        started_at = time.process_time()
        with testtools.ExpectedException(_events.EventTooLong):
            while True:
                splitter.feed(b'x' * 24)
        self.assertLess(time.process_time() - started_at, 1.0)

    def test_events_do_not_depend_on_how_the_bytes_arrive(self):
        data = b'id: 1\na\n\n\nid: 2\n\n\n\nid: 3\nb'
        whole = _events.EventSplitter()
        expected = whole.feed(data)
        for size in range(1, len(data)):
            splitter = _events.EventSplitter()
            events = []
            for start in range(0, len(data), size):
                events += splitter.feed(data[start : start + size])
            self.assertEqual(expected, events)
            self.assertEqual(whole.remainder, splitter.remainder)
