"""Tests of closed connections on which no response was owed."""

import asyncio
import contextlib
import itertools
import socket
import time
import unittest.mock

from sniperudder import forwarding
from sniperudder.forwarding import _closures
from sniperudder.forwarding import _sockets
from sniperudder.forwarding import _turns
from sniperudder.forwarding.tests import test_caller_server

_Reason = _closures.ClosureReason
_READ_S = 2.0
_LIMIT_S = 9.0
_KEPT_S = 1.0
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

    def test_unsent_response_at_the_exit(self):
        async def case(server):
            with connect(server) as client:
                client.send(_GET.replace(b'/', b'/large', 1))
                while not server.requests:
                    await asyncio.sleep(0.01)
                await asyncio.sleep(0.1)
                server.server.close()

        (closure,) = self.run_server(case).closures
        self.assertEqual(_Reason.EXIT, closure.reason)
        self.assertLess(0, closure.unsent_bytes)
        self.assertFalse(closure.is_clean)

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
            server.server.announce_close = True
            await server.exchange(_GET, _GET, pause_s=0.1)

        self.assertEqual(
            [(_Reason.AFTER_RESPONSE, 0, len(_GET))], self.list_closures(case)
        )

    def test_queued_connections_that_cannot_be_accepted(self):
        async def case(server):
            with connect(server), connect(server):
                with unittest.mock.patch.object(
                    _sockets, 'accept_queued', return_value=[]
                ):
                    await server.server.stop_listening()

        self.assertEqual([2], self.run_server(case).queued)


class UnreadRequestTest(test_caller_server.CallerServerTestBase):
    """A request that has arrived is answered, not closed away."""

    def run_server(self, case):
        """See base class; no time limit ends by itself."""

        async def run_with_limits(server):
            server.server.limits = forwarding.CallerLimits(
                header_timeout_s=_LIMIT_S, idle_timeout_s=_LIMIT_S
            )
            await case(server)

        return super().run_server(run_with_limits)

    def receive(self, client):
        """Return what a client receives until the end or a timeout."""
        client.settimeout(_READ_S)
        received = b''
        try:
            while data := client.recv(65_536):
                received += data
        except (ConnectionResetError, TimeoutError):
            pass
        return received

    async def send_during_turn(self, server, close, read=b'', unread=_GET):
        """Send a request while one turn of the loop ends in a closing.

        The loop does not look at the socket between the two, but has read the
        beginning of the request.
        """
        loop = asyncio.get_running_loop()
        with connect(server) as client:
            await await_connections(server, 1)
            client.send(read)
            await asyncio.sleep(0.05)
            client.send(unread)
            close()
            return await loop.run_in_executor(None, self.receive, client)

    # Guards against: a request that arrived while the loop was busy was closed
    # away by the idle timeout that became due in the same turn.
    def test_request_that_arrived_before_the_idle_timeout_is_answered(self):
        received = []

        async def case(server):
            def expire():
                (connection,) = server.server.connections
                # Due since the loop last looked at the socket.
                connection._idle_since -= 2 * _LIMIT_S
                connection._handle_timeout()

            received.append(await self.send_during_turn(server, expire))

        server = self.run_server(case)
        self.assertIn(b'HTTP/1.1 200', received[0])
        self.assertEqual(1, len(server.requests))

    # Guards against: a request whose rest had arrived was rejected as too
    # slow, because the loop had been busy past the time limit.
    def test_request_whose_rest_has_arrived_is_not_too_slow(self):
        received = []

        async def case(server):
            loop = asyncio.get_running_loop()
            with connect(server) as client:
                client.send(_GET[:9])
                await await_connections(server, 1)
                await asyncio.sleep(0.05)
                client.send(_GET[9:])
                (connection,) = server.server.connections
                connection._handle_timeout()
                received.append(
                    await loop.run_in_executor(None, self.receive, client)
                )

        self.run_server(case)
        self.assertIn(b'HTTP/1.1 200', received[0])

    # Guards against: a body whose rest had arrived was rejected as too slow,
    # because the loop had been busy past the time limit.
    def test_body_whose_rest_has_arrived_is_not_too_slow(self):
        head = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n'
        for read, unread in ((head, b'xx'), (head + b'x', b'x')):
            received = []

            async def case(server, read=read, unread=unread, to=received):
                def expire():
                    (connection,) = server.server.connections
                    connection._handle_timeout()

                to.append(
                    await self.send_during_turn(server, expire, read, unread)
                )

            self.run_server(case)
            self.assertIn(b'HTTP/1.1 200', received[0], read)

    # Guards against: a planned stop closed connections as idle on which a
    # request had arrived and was not read yet.
    def test_request_that_arrived_before_a_stop_is_answered(self):
        received = []

        async def case(server):
            def stop():
                server.server.announce_close = True
                server.server.close_idle()

            received.append(await self.send_during_turn(server, stop))

        self.run_server(case)
        self.assertIn(b'HTTP/1.1 200', received[0])

    # Guards against: connections that callers had opened were reset by the end
    # of listening, because the loop had not accepted them yet.
    def test_connection_that_was_opened_before_a_stop_is_served(self):
        received = []

        async def case(server):
            loop = asyncio.get_running_loop()
            with connect(server) as client:
                client.send(_GET)
                server.server.announce_close = True
                await server.server.stop_listening()
                received.append(
                    await loop.run_in_executor(None, self.receive, client)
                )

        self.run_server(case)
        self.assertIn(b'HTTP/1.1 200', received[0])

    # Guards against: a stop closed a connection right after a response that
    # had not announced it, and discarded the request that came next.
    def test_request_after_an_unannounced_last_response_is_answered(self):
        received = []

        async def case(server):
            loop = asyncio.get_running_loop()
            with connect(server) as client:
                client.send(_GET.replace(b'/', b'/slow', 1))
                while not server.requests:
                    await asyncio.sleep(0.01)
                await asyncio.sleep(0.05)
                server.server.announce_close = True
                await server.server.stop_listening()
                await asyncio.sleep(0.2)
                server.server.close_idle(_KEPT_S)
                client.send(_GET)
                received.append(
                    await loop.run_in_executor(None, self.receive, client)
                )

        self.run_server(case)
        self.assertEqual(2, received[0].count(b'HTTP/1.1 200'), received[0])
        self.assertEqual(1, received[0].count(b'Connection: close'))

    # Guards against: at the end of a stop, requests that had arrived while the
    # loop was busy were discarded without an answer.
    def test_request_that_arrived_before_the_exit_is_answered(self):
        received = []

        async def case(server):
            loop = asyncio.get_running_loop()
            with connect(server) as client:
                await await_connections(server, 1)
                await asyncio.sleep(0.05)
                client.send(_GET)
                await server.server.handle_arrived(0.5)
                server.server.close()
                received.append(
                    await loop.run_in_executor(None, self.receive, client)
                )

        server = self.run_server(case)
        self.assertIn(b'HTTP/1.1 200', received[0])
        self.assertTrue(all(closure.is_clean for closure in server.closures))

    # Guards against: a closing took effect after a turn of the loop, and a
    # request that the caller sent meanwhile was reset.
    def test_caller_sees_a_closing_in_the_same_turn(self):
        async def case(server):
            with connect(server) as client:
                client.settimeout(_READ_S)
                await await_connections(server, 1)
                (connection,) = server.server.connections
                connection.close(_Reason.IDLE)
                # Blocks the loop until the end arrives.
                self.assertEqual(b'', client.recv(1))

        self.run_server(case)

    # Guards against: a body that had arrived was rejected as too slow, because
    # it was parsed in several turns and these took long.
    def test_request_that_is_parsed_in_turns_is_not_too_slow(self):
        received = []
        clock = itertools.count()
        head = b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n'
        body = b'1\r\nx\r\n' * 200 + b'0\r\n\r\n'

        async def case(server):
            loop = asyncio.get_running_loop()
            with connect(server) as client:
                await await_connections(server, 1)
                (connection,) = server.server.connections
                client.send(head + b'\r\n' + body)
                # A turn parses five pieces.
                with unittest.mock.patch.object(
                    _turns, 'read_clock', lambda: next(clock) / 1_000
                ):
                    while not server.requests and not server.rejections:
                        connection._handle_timeout()
                        await asyncio.sleep(0)
                received.append(
                    await loop.run_in_executor(None, self.receive, client)
                )

        self.run_server(case)
        self.assertIn(b'HTTP/1.1 200', received[0])

    # Guards against: at the end of listening, each connection that waited to
    # be accepted took further turns of the loop.
    def test_many_queued_connections_take_few_turns(self):
        async def case(server):
            with contextlib.ExitStack() as stack:
                for _ in range(40):
                    stack.enter_context(connect(server))
                turns = []
                counting = asyncio.create_task(count_turns(turns))
                await server.server.stop_listening()
                counting.cancel()
                self.assertEqual(40, len(server.server.connections))
                self.assertLess(len(turns), 15)

        self.run_server(case)

    # Guards against: without descriptors left, the end of listening raised and
    # ended the stop.
    def test_queue_is_left_if_there_are_no_descriptors(self):
        sock = unittest.mock.Mock(dup=unittest.mock.Mock(side_effect=OSError))
        self.assertEqual([], _sockets.accept_queued(sock))


async def count_turns(turns):
    """Append an item in each turn of the loop."""
    while True:
        turns.append(None)
        await asyncio.sleep(0)


class SlowReaderTest(test_caller_server.CallerServerTestBase):
    """A caller takes long to read a large response."""

    def read_slowly(self, client):
        received = 0
        while data := client.recv(1_000_000):
            received += len(data)
            time.sleep(0.1)
        return received

    def receive_size(self, announce_close):
        """Return how much of a response of 20 MB a caller gets."""
        sizes = []

        async def case(server):
            loop = asyncio.get_running_loop()
            server.server.announce_close = announce_close
            with connect(server) as client:
                client.send(_GET.replace(b'/', b'/large', 1))
                sizes.append(
                    await loop.run_in_executor(None, self.read_slowly, client)
                )

        server = self.run_server(case)
        self.assertTrue(all(closure.is_clean for closure in server.closures))
        return sizes[0]

    # Guards against: a response was cut off a second after its connection had
    # become idle, although its caller read on.
    def test_idle_timeout_does_not_cut_a_response(self):
        self.assertLess(20_000_000, self.receive_size(False))

    # Guards against: the same behind a response that announces the end.
    def test_last_response_is_not_cut(self):
        self.assertLess(20_000_000, self.receive_size(True))
