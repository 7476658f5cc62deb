import socket
import threading

import testtools

from sniperudder import inputs
from sniperudder import transports
from standins import relay
from standins import serving

_NOT_SENT = inputs.Delivery.NOT_SENT
_LOST = inputs.Delivery.LOST
_TIMEOUT_S = 5.0
_SHORT_S = 0.3
_TRUNCATED_HEAD_DETAILS = ('answer without a length', 'answer to another call')


class _Echo(serving.Standin):
    """Logs the request bodies and echoes them in angle brackets."""

    def __init__(self):
        super().__init__()
        self.log = []

    def answer(self, call):
        self.log.append(call.body)
        return serving.Answer(200, b'<' + call.body + b'>')


def _listen(test, answer, endless=False):
    """Return the address of a server that sends a fixed response."""
    listener = socket.create_server(('127.0.0.1', 0))
    test.addCleanup(listener.close)

    def serve():
        connection, _ = listener.accept()
        with connection:
            connection.recv(65536)
            connection.sendall(answer)
            while endless:
                connection.sendall(b'.')
            connection.shutdown(socket.SHUT_WR)
            connection.recv(65536)

    def run():
        try:
            serve()
        except OSError:
            pass

    threading.Thread(target=run, daemon=True).start()
    return f'127.0.0.1:{listener.getsockname()[1]}'


class TestNotSent(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.transport = transports.create_transport(pool_size=1)

    def exchange(self, address, timeout_s=_SHORT_S):
        return self.transport.exchange('GET', address, '/', timeout_s)

    def test_refused_connection(self):
        with socket.create_server(('127.0.0.1', 0)) as listener:
            address = f'127.0.0.1:{listener.getsockname()[1]}'
        response = self.exchange(address)
        self.assertEqual(
            (_NOT_SENT, False), (response.delivery, response.connection_broke)
        )

    def test_bad_addresses(self):
        for address in ('', 'nohost', ':80', 'a:b', 'a.invalid:80', 'a:99999'):
            response = self.exchange(address)
            self.assertEqual(_NOT_SENT, response.delivery, address)

    def test_zero_timeout(self):
        self.assertEqual(_NOT_SENT, self.exchange('127.0.0.1:1', 0).delivery)

    def test_connect_timeout(self):
        with socket.create_server(('127.0.0.1', 0), backlog=0) as listener:
            port = listener.getsockname()[1]
            for _ in range(3):  # fill the backlog
                connection = socket.socket()
                self.addCleanup(connection.close)
                connection.setblocking(False)
                connection.connect_ex(('127.0.0.1', port))
            response = self.exchange(f'127.0.0.1:{port}')
        self.assertEqual(
            (_NOT_SENT, False), (response.delivery, response.connection_broke)
        )

    def test_pool_full(self):
        echo = _Echo()
        server = serving.create_server(echo)
        self.addCleanup(server.stop)
        echo.gate.update({'freeze_s': 60.0})
        first = threading.Thread(
            target=self.exchange, args=(server.address, _TIMEOUT_S)
        )
        first.start()
        while server.address not in self.transport._pools:
            pass
        pool = self.transport._pools[server.address]
        while pool.num_requests == 0:
            pass
        response = self.exchange(server.address)
        echo.gate.update({})
        first.join()
        self.assertEqual(_NOT_SENT, response.delivery)
        self.assertEqual(1, len(echo.log))


class TestBrokenExchange(testtools.TestCase):
    """Connections that break after each byte of request or response."""

    body = b'x' * 40

    def setUp(self):
        super().setUp()
        self.echo = _Echo()
        server = serving.create_server(self.echo)
        self.addCleanup(server.stop)
        self.relay = relay.create_relay(server.address)
        self.addCleanup(self.relay.close)

    def exchange(self, transport=None):
        used_transport = transport or transports.create_transport()
        self.addCleanup(used_transport.close)
        return used_transport.exchange(
            'POST', self.relay.address, '/', _TIMEOUT_S, self.body
        )

    def check_break_at_each_byte(self, name, reset):
        whole = self.exchange()
        self.assertEqual(b'<' + self.body + b'>', whole.body)
        total_bytes = getattr(self.relay, name.replace('limit', 'bytes'))
        for limit in range(total_bytes):
            self.relay.update(relay.Link(**{name: limit}, reset=reset))
            response = self.exchange()
            self.assertIsInstance(response, transports.CallFailure, limit)
            self.assertEqual(_LOST, response.delivery, limit)
            # Headers truncated after a complete line parse as valid.
            is_recognised = (
                response.connection_broke
                or response.detail in _TRUNCATED_HEAD_DETAILS
            )
            self.assertTrue(is_recognised, (limit, response))

    def test_request_breaks(self):
        for reset in (False, True):
            self.check_break_at_each_byte('request_limit', reset)
            self.relay.update(relay.Link())
        self.assertEqual([self.body] * 2, self.echo.log)

    def test_answer_breaks(self):
        for reset in (False, True):
            self.check_break_at_each_byte('answer_limit', reset)
            self.relay.update(relay.Link())

    def test_stale_connection(self):
        transport = transports.create_transport(max_idle_s=60.0)
        self.exchange(transport)
        forwarded_bytes = self.relay.request_bytes
        self.relay.update(relay.Link(request_limit=forwarded_bytes))
        response = self.exchange(transport)
        self.assertEqual(
            (_LOST, True), (response.delivery, response.connection_broke)
        )
        self.assertEqual([self.body], self.echo.log)

    def test_stalled_connection(self):
        self.relay.update(relay.Link(stalled=True))
        transport = transports.create_transport()
        response = transport.exchange('GET', self.relay.address, '/', _SHORT_S)
        self.assertEqual(
            (_LOST, False), (response.delivery, response.connection_broke)
        )

    def test_late_response_is_not_matched_to_next_call(self):
        transport = transports.create_transport(pool_size=1)
        self.echo.gate.update({'delay_s': 2 * _SHORT_S})
        address = self.relay.address
        transport.exchange('POST', address, '/', _SHORT_S, b'first')
        self.echo.gate.update({})
        response = transport.exchange(
            'POST', address, '/', _TIMEOUT_S, b'second'
        )
        self.assertEqual(b'<second>', response.body)

    def test_response_to_another_call_is_lost(self):
        self.exchange()
        self.echo.gate.update({'cross_answers': 1})
        response = self.exchange()
        self.assertEqual(
            (_LOST, False), (response.delivery, response.connection_broke)
        )

    def test_connection_is_reused_unless_idle_too_long(self):
        for max_idle_s, calls in ((60.0, 2), (0.0, 1)):
            transport = transports.create_transport(max_idle_s=max_idle_s)
            self.exchange(transport)
            once = self.relay.request_bytes
            self.exchange(transport)
            self.assertEqual(calls * once, self.relay.request_bytes)


class TestUnusualResponses(testtools.TestCase):
    def exchange(self, answer, endless=False, max_bytes=100):
        transport = transports.create_transport(max_response_bytes=max_bytes)
        address = _listen(self, answer, endless)
        return transport.exchange('GET', address, '/', _TIMEOUT_S)

    def check_lost(self, answer, connection_broke, endless=False):
        response = self.exchange(answer, endless)
        self.assertEqual(
            (_LOST, connection_broke),
            (response.delivery, response.connection_broke),
        )

    def test_chunked(self):
        head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        response = self.exchange(head + b'2\r\nab\r\n1\r\nc\r\n0\r\n\r\n')
        self.assertEqual(b'abc', response.body)
        for cut in (b'', b'2', b'2\r\na', b'2\r\nab', b'2\r\nab\r\n'):
            self.check_lost(head + cut, True)

    def test_response_without_length(self):
        self.check_lost(b'HTTP/1.1 200 OK\r\n\r\nabc', False)

    def test_no_content(self):
        response = self.exchange(b'HTTP/1.1 204 No Content\r\n\r\n')
        self.assertEqual((204, b''), (response.status, response.body))

    def test_response_of_another_protocol(self):
        self.check_lost(b'SSH-2.0\r\n', False)

    def test_response_above_size_limit(self):
        head = b'HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n'
        self.check_lost(head, False, endless=True)

    def test_redirect_is_not_followed(self):
        response = self.exchange(
            b'HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\n'
            b'Content-Length: 0\r\n\r\n'
        )
        self.assertEqual(302, response.status)
