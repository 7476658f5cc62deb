"""Tests of closed connections on which no response was owed."""

import asyncio
import socket

from sniperudder.forwarding import _closures
from sniperudder.forwarding.tests import test_caller_server

_Reason = _closures.ClosureReason
_GET = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'


def connect(server):
    """Return a new blocking connection to a server."""
    host, _, port = server.address.rpartition(':')
    return socket.create_connection((host, int(port)))


async def await_connections(server, count):
    """Wait until a server has accepted a number of connections."""
    while len(server.server.connections) < count:
        await asyncio.sleep(0.01)


class ClosureReportTest(test_caller_server.CallerServerTestBase):
    """Each connection that the server closes is reported with its reason."""

    def list_closures(self, case):
        """Run a case; return the reports as reason, unread, unanswered."""
        server = self.run_server(case)
        return [
            (c.reason, c.unread_bytes, c.unanswered_bytes)
            for c in server.closures
        ]

    def test_idle_connection(self):
        async def case(server):
            await server.exchange()

        self.assertEqual([(_Reason.IDLE, 0, 0)], self.list_closures(case))

    def test_connection_that_is_idle_at_the_exit(self):
        async def case(server):
            with connect(server):
                await await_connections(server, 1)
                server.server.close()

        self.assertEqual([(_Reason.EXIT, 0, 0)], self.list_closures(case))

    def test_half_read_request_at_the_exit(self):
        async def case(server):
            with connect(server) as client:
                client.send(_GET[:9])
                await await_connections(server, 1)
                await asyncio.sleep(0.05)
                server.server.close()

        self.assertEqual([(_Reason.EXIT, 0, 9)], self.list_closures(case))

    def test_unread_request_at_the_exit(self):
        async def case(server):
            with connect(server) as client:
                await await_connections(server, 1)
                client.send(_GET)
                server.server.close()

        self.assertEqual(
            [(_Reason.EXIT, len(_GET), 0)], self.list_closures(case)
        )

    def test_bytes_after_the_last_response(self):
        async def case(server):
            server.server.close_after_response = True
            await server.exchange(_GET, _GET, pause_s=0.1)

        self.assertEqual(
            [(_Reason.AFTER_RESPONSE, 0, len(_GET))], self.list_closures(case)
        )

    def test_queued_connections_at_the_end_of_listening(self):
        async def case(server):
            with connect(server), connect(server):
                server.server.stop_listening()

        self.assertEqual([2], self.run_server(case).queued)
