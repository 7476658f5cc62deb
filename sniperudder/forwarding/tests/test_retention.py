"""Tests of the connections that are given up if there is no room for all."""

import asyncio

import testtools

from sniperudder import forwarding
from sniperudder.forwarding import _caller_server
from sniperudder.forwarding import _closures
from sniperudder.forwarding import _retention
from sniperudder.forwarding.tests import test_caller_server

_Condition = _retention.Condition
_READ_S = 10.0
_MAX_CONNECTIONS = 20
_GET = b'GET /%s HTTP/1.1\r\nHost: h\r\n\r\n'
_LAST_GET = b'GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
_UNFINISHED = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx'


class FakeConnection:
    """A connection with a given standing."""

    def __init__(self, condition, for_s):
        self._standing = _retention.Standing(condition, for_s)

    def get_standing(self, now):
        """See `CallerConnection`."""
        return self._standing


class DispensableTest(testtools.TestCase):
    def test_those_that_help_their_callers_least_come_first(self):
        active = FakeConnection(_Condition.ACTIVE, 0.0)
        idle = [FakeConnection(_Condition.IDLE, s) for s in (1.0, 3.0, 2.0)]
        stalled = FakeConnection(_Condition.UNFINISHED, 1.5)
        found = _retention.list_dispensable(
            [active, *idle, stalled], _retention.DESCRIPTOR_ORDER, 0.0, 3
        )
        self.assertEqual([stalled, idle[1], idle[2]], found[::-1])

    def test_each_condition_but_progress_has_a_place(self):
        for_memory = set(_retention.MEMORY_ORDER)
        for_descriptors = set(_retention.DESCRIPTOR_ORDER)
        self.assertEqual(
            set(_Condition) - {_Condition.ACTIVE}, for_memory | for_descriptors
        )
        self.assertEqual(
            {_Condition.UNUSED, _Condition.IDLE, _Condition.PENDING},
            for_descriptors - for_memory,
        )


class ConnectionLimitTest(test_caller_server.CallerServerTestBase):
    """A server with room for few connections."""

    def run_full(self, data, case):
        """Run a case beside as many connections as there is room for."""

        async def run(server):
            server.server.limits = forwarding.CallerLimits()
            server.server.apply_capacity(
                forwarding.CallerCapacity(10_000_000, _MAX_CONNECTIONS)
            )
            host, _, port = server.address.rpartition(':')
            callers = []
            for _ in range(_MAX_CONNECTIONS):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(data)
                callers.append((reader, writer))
            async with asyncio.timeout(_READ_S):
                while len(server.server.connections) < _MAX_CONNECTIONS:
                    await asyncio.sleep(0.01)
            async with asyncio.timeout(_READ_S):
                await case(server, callers)
            for _, writer in callers:
                writer.close()

        return self.run_server(run)

    # Guards against: connections with unfinished bodies took all descriptors,
    # and no new caller got one.
    def test_stalled_request_makes_way_for_a_new_caller(self):
        async def case(server, callers):
            await asyncio.sleep(1.5)
            for _ in range(_MAX_CONNECTIONS):
                response = await server.exchange(_LAST_GET)
                self.assertIn(b'HTTP/1.1 200', response)
            await asyncio.sleep(0.1)
            rejected = [r for r, _ in callers if b' 503 ' in r._buffer]
            self.assertEqual(len(server.rejections), len(rejected))
            self.assertTrue(rejected)
            self.assertIn(b'Retry-After: ', rejected[0]._buffer)

        server = self.run_full(_UNFINISHED, case)
        self.assertEqual(_MAX_CONNECTIONS, len(server.requests))

    def test_idle_connection_makes_way_for_a_new_caller(self):
        async def case(server, callers):
            reader, writer = callers[0]
            # The others are unused, and go first.
            writer.write(_GET % b'')
            await reader.readuntil(b'\r\n\r\n')
            for _ in range(3):
                response = await server.exchange(_LAST_GET)
                self.assertIn(b'HTTP/1.1 200', response)
            self.assertFalse(reader.at_eof())
            self.assertTrue(any(r.at_eof() for r, _ in callers[1:]))

        server = self.run_full(b'', case)
        reasons = {closure.reason for closure in server.closures}
        self.assertIn(_closures.ClosureReason.GIVEN_UP, reasons)

    def test_requests_in_progress_are_kept_and_new_callers_refused(self):
        async def case(server, callers):
            for reader, _ in callers:
                await reader.readuntil(b'part')
            response = await server.exchange()
            self.assertIn(b'HTTP/1.1 503', response)
            self.assertIn(b'Retry-After: ', response)
            self.assertEqual([], server.cuts)

        self.run_full(_GET % b'hang', case)

    def test_number_of_connections_stays_bounded(self):
        async def case(server, callers):
            host, _, port = server.address.rpartition(':')
            most, others = 0, []
            for _ in range(10 * _MAX_CONNECTIONS):
                others.append(await asyncio.open_connection(host, int(port)))
                await asyncio.sleep(0)
                most = max(most, len(server.server.connections))
            # Those that are accepted until others are closed, a few turns of
            # the loop later, and those that linger.
            most -= 4 * _caller_server._ACCEPTED_AT_ONCE
            most -= _caller_server._MAX_LINGERING
            self.assertTrue(most <= _MAX_CONNECTIONS, most)
            for _, writer in others:
                writer.close()

        self.run_full(b'', case)
