"""Tests of connections to endpoints and their pool."""

import asyncio
import socket

import testtools

from sniperudder import forwarding
from sniperudder.forwarding import _connections
from sniperudder.forwarding import _exchanges
from standins import fleet as standins


def create_outgoing_request(request_id='r-1', body=b'x'):
    """Return a request to send to an endpoint."""
    return _exchanges.OutgoingRequest(
        request_id,
        b'POST',
        b'/a',
        [
            (b'Host', b'h'),
            (b'X-Sniperudder-Request-Id', request_id.encode()),
            (b'Content-Length', b'%d' % len(body)),
        ],
        body,
    )


class ConnectionPoolTest(testtools.TestCase):
    def run_endpoint(self, case):
        """Run a case against an endpoint of a service without a model."""

        async def run():
            endpoint = standins.EndpointStandin('desk-1', 'desk')
            await endpoint.start()
            try:
                await case(endpoint, forwarding.ConnectionPool())
            finally:
                await endpoint.stop()

        asyncio.run(run())

    # Guards against: a request was sent on a kept connection that its endpoint
    # had closed while the loop was busy, and counted as one that may have run.
    def test_connection_that_has_ended_unseen_is_not_reused(self):
        async def case(endpoint, pool):
            outgoing = create_outgoing_request('r-1')
            await _exchanges.run_exchange(pool, endpoint.address, outgoing)
            await asyncio.sleep(0.05)
            (idle,) = pool._idle[endpoint.address]
            for writer in list(endpoint._readers):
                # The loop doesn't look at the other end between the two.
                writer.transport.get_extra_info('socket').shutdown(
                    socket.SHUT_RDWR
                )
            connection = await pool.acquire(endpoint.address)
            self.assertIsNot(idle, connection)

        self.run_endpoint(case)

    def test_connection_is_reused(self):
        async def case(endpoint, pool):
            for number in range(3):
                outgoing = create_outgoing_request(f'r-{number}')
                outcome = await _exchanges.run_exchange(
                    pool, endpoint.address, outgoing
                )
                self.assertIsInstance(outcome, _exchanges.Answered)
            self.assertEqual(1, pool.opened)

        self.run_endpoint(case)

    # Guards against: a header that can't be sent raised an error of the parser
    # through all layers.
    def test_request_that_cannot_be_sent_is_not_run(self):
        async def case(endpoint, pool):
            outgoing = create_outgoing_request()
            outgoing.headers.append((b'X-Odd', b'a\nb'))
            outcome = await _exchanges.run_exchange(
                pool, endpoint.address, outgoing
            )
            self.assertIsInstance(outcome, _exchanges.NotRun)
            self.assertEqual([], endpoint.requests)

        self.run_endpoint(case)

    def test_connection_with_stray_data_is_not_reused(self):
        async def case(endpoint, pool):
            async def respond_twice(request, http, writer):
                await endpoint.respond_normally(request, http, writer)
                writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno')

            endpoint.script.append(respond_twice)
            for number in range(2):
                outgoing = create_outgoing_request(f'r-{number}')
                outcome = await _exchanges.run_exchange(
                    pool, endpoint.address, outgoing
                )
                self.assertEqual(b'desk-1 /a', outcome.body)
                await asyncio.sleep(0.05)
            self.assertEqual(2, pool.opened)

        self.run_endpoint(case)

    def test_late_response_is_discarded_after_large_request(self):
        async def case(endpoint, pool):
            async def respond_late(request, http, writer):
                writer.write(
                    b'HTTP/1.1 200 OK\r\nX-Sniperudder-Request-Id: r-0\r\n'
                    b'Content-Length: 5\r\n\r\nwrong'
                )
                await writer.drain()
                await asyncio.sleep(0.02)
                await endpoint.respond_normally(request, http, writer)

            endpoint.script.append(respond_late)
            outcome = await _exchanges.run_exchange(
                pool,
                endpoint.address,
                create_outgoing_request(body=b'b' * 5_000),
            )
            self.assertEqual(b'desk-1 /a', outcome.body)

        self.run_endpoint(case)

    def test_response_delimited_by_close_is_complete(self):
        async def case(endpoint, pool):
            async def send(request, http, writer, complete):
                writer.write(
                    b'HTTP/1.1 200 OK\r\nX-Sniperudder-Request-Id: r-1\r\n'
                    b'X-Sniperudder-Response-Seal: s\r\n'
                    b'Connection: close\r\n\r\nbody'
                )
                await writer.drain()
                await asyncio.sleep(0.02)
                if not complete:
                    # Closing with unread data pending sends a reset.
                    writer.transport.abort()
                raise OSError('end of the script')

            async def send_whole(request, http, writer):
                await send(request, http, writer, True)

            endpoint.script.append(send_whole)
            outcome = await _exchanges.run_exchange(
                pool, endpoint.address, create_outgoing_request()
            )
            self.assertEqual(b'body', outcome.body)

        self.run_endpoint(case)

    def test_refused_connection_is_not_run(self):
        async def case(endpoint, pool):
            await endpoint.stop()
            outcome = await _exchanges.run_exchange(
                pool, endpoint.address, create_outgoing_request()
            )
            self.assertIsInstance(outcome, _exchanges.NotRun)
            self.assertFalse(outcome.reached_endpoint)

        self.run_endpoint(case)

    def test_reset_request_may_have_run(self):
        async def case(endpoint, pool):
            endpoint.script.append(endpoint.reset())
            outcome = await _exchanges.run_exchange(
                pool, endpoint.address, create_outgoing_request()
            )
            self.assertIsInstance(outcome, _exchanges.Interrupted)

        self.run_endpoint(case)

    def test_close_before_response_is_reported(self):
        async def case(endpoint, pool):
            async def close(request, http, writer):
                writer.write_eof()

            endpoint.script.append(close)
            outcome = await _exchanges.run_exchange(
                pool, endpoint.address, create_outgoing_request()
            )
            self.assertEqual('closed before the answer', outcome.reason)

        self.run_endpoint(case)

    def test_invalid_http_interrupts_the_exchange(self):
        async def case(endpoint, pool):
            async def garble(request, http, writer):
                writer.write(b'\x00\x01garbage\r\n\r\n')
                raise OSError('end of the script')

            endpoint.script.append(garble)
            outcome = await _exchanges.run_exchange(
                pool, endpoint.address, create_outgoing_request()
            )
            self.assertIsInstance(outcome, _exchanges.Interrupted)

        self.run_endpoint(case)

    def test_connection_is_not_reused_after_server_idle_timeout(self):
        async def case(endpoint, pool):
            connection = await pool.acquire(endpoint.address)
            outgoing = create_outgoing_request()
            connection.send_request(b'POST', b'/a', outgoing.headers, b'x')
            await _connections.receive_head(connection)
            await _connections.receive_body(connection)
            pool.release(connection, 0.05)
            await asyncio.sleep(0.06)
            other = await pool.acquire(endpoint.address)
            self.assertIsNot(connection, other)
            other.close()

        self.run_endpoint(case)


class EndlessAnswerTest(testtools.TestCase):
    """A server in trouble sends bytes until the connection is closed."""

    def run_exchange(self, first, repeated):
        """Exchange with a server that repeats some bytes without end."""

        async def run():
            sent = []

            async def serve(reader, writer):
                await reader.read(100)
                writer.write(first)
                try:
                    while True:
                        writer.write(repeated)
                        sent.append(len(repeated))
                        await writer.drain()
                        await asyncio.sleep(0)
                except OSError:
                    writer.close()

            server = await asyncio.start_server(serve, '127.0.0.1', 0)
            port = server.sockets[0].getsockname()[1]
            async with server, asyncio.timeout(10.0):
                outcome = await _exchanges.run_exchange(
                    forwarding.ConnectionPool(),
                    f'127.0.0.1:{port}',
                    create_outgoing_request(),
                )
            return outcome, sum(sent)

        return asyncio.run(run())

    # Guards against: an answer without end was collected until the process had
    # no memory left.
    def test_endless_body_is_broken_off(self):
        head = b'HTTP/1.1 200 OK\r\nX-Sniperudder-Request-Id: %s\r\n'
        for request_id in (b'r-1', b'r-0'):
            for framing, repeated in (
                (b'\r\n', b'x' * 65_536),
                (
                    b'Transfer-Encoding: chunked\r\n\r\n',
                    b'10000\r\n' + b'x' * 65_536 + b'\r\n',
                ),
            ):
                outcome, sent = self.run_exchange(
                    head % request_id + framing, repeated
                )
                self.assertIsInstance(outcome, _exchanges.Interrupted)
                self.assertLess(sent, 32_000_000)

    def test_endless_head_is_broken_off(self):
        for first, repeated in (
            (b'', b'x' * 1_000),
            (b'HTTP/1.1 200 OK\r\n', b'a: b\r\n' * 100),
        ):
            outcome, sent = self.run_exchange(first, repeated)
            self.assertIsInstance(outcome, _exchanges.Interrupted)
            self.assertLess(sent, 32_000_000)


class IdleTimeoutTest(testtools.TestCase):
    def test_idle_timeout_is_read_from_headers(self):
        for headers, expected in (
            ([(b'keep-alive', b'timeout=5, max=9')], 5.0),
            ([(b'keep-alive', b'max=9')], None),
            ([(b'keep-alive', b'timeout=soon')], None),
            ([(b'connection', b'Close')], 0),
            ([], None),
        ):
            self.assertEqual(
                expected, _connections.decode_idle_timeout_s(headers)
            )
