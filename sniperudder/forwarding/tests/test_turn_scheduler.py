"""Tests of the part of the event loop that the input of callers gets."""

import asyncio
import itertools
from unittest import mock

from sniperudder import forwarding
from sniperudder.forwarding import _turns
from sniperudder.forwarding.tests import test_caller_server

_READ_S = 10.0
_CALLERS = 60
_HEAD = b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
_CHUNKS = b'2\r\nxx\r\n' * 2_000


class SmallChunkTest(test_caller_server.CallerServerTestBase):
    """Many callers send bodies in chunks of two bytes."""

    def run_beside_chunks(self, case):
        """Run a case beside callers whose bodies are parsed.

        Each look at the clock takes 0.1 ms, so that nothing depends on the
        machine.
        """
        clock = itertools.count()

        async def run(server):
            server.server.limits = forwarding.CallerLimits()
            host, _, port = server.address.rpartition(':')
            writers = []
            for _ in range(_CALLERS):
                _, writer = await asyncio.open_connection(host, int(port))
                writers.append(writer)
            with mock.patch.object(
                _turns, 'read_clock', lambda: next(clock) / 10_000
            ):
                for writer in writers:
                    writer.write(_HEAD + _CHUNKS * 20)
                await case(server, clock)
            for writer in writers:
                writer.close()

        self.run_server(run)

    # Guards against: each connection held the loop for 5 ms in each of its
    # turns, 0.3 s in all, and an ordinary request needs several turns.
    def test_turns_are_short_whatever_the_number_of_callers(self):
        async def case(server, clock):
            longest, before, now = 0, 0, 0
            async with asyncio.timeout(_READ_S):
                while now < 20_000:
                    await asyncio.sleep(0)
                    before, now = now, next(clock)
                    longest = max(longest, now - before)
            # Tenths of a millisecond.
            self.assertTrue(longest < 100, longest)

        self.run_beside_chunks(case)

    # Guards against: the same, as a new request was read, forwarded and
    # answered in several such turns.
    def test_new_request_goes_before_long_ones(self):
        async def case(server, clock):
            async with asyncio.timeout(_READ_S):
                while next(clock) < 1_000:
                    await asyncio.sleep(0)
                began = next(clock)
                response = await server.exchange(
                    b'POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n'
                    b'Content-Length: 3\r\n\r\nabc'
                )
            self.assertIn(b'HTTP/1.1 200', response)
            # Each of the others takes 40,000 chunks, 4 s, to its end.
            took = next(clock) - began
            self.assertTrue(took < 2_000, took)
            self.assertEqual(1, len(server.requests))

        self.run_beside_chunks(case)
