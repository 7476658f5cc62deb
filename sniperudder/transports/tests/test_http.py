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
_CUT_HEAD = ('answer without a length', 'answer to another call')


class _Echo(serving.Standin):
    """Keeps a log of the bodies that it got."""

    def __init__(self):
        super().__init__()
        self.log = []

    def answer(self, call):
        self.log.append(call.body)
        return serving.Answer(200, b'<' + call.body + b'>')


def _listen(test, answer, endless=False):
    """Return the address of a server that sends fixed bytes."""
    listener = socket.create_server(('127.0.0.1', 0))
    test.addCleanup(listener.close)

    def serve():
        end, _ = listener.accept()
        with end:
            end.recv(65536)
            end.sendall(answer)
            while endless:
                end.sendall(b'.')
            end.shutdown(socket.SHUT_WR)
            end.recv(65536)

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

    def test_refused(self):
        with socket.create_server(('127.0.0.1', 0)) as listener:
            address = f'127.0.0.1:{listener.getsockname()[1]}'
        reply = self.exchange(address)
        self.assertEqual((_NOT_SENT, False), (reply.delivery, reply.crashed))

    def test_bad_addresses(self):
        for address in ('', 'nohost', ':80', 'a:b', 'a.invalid:80', 'a:99999'):
            reply = self.exchange(address)
            self.assertEqual(_NOT_SENT, reply.delivery, address)

    def test_no_time(self):
        self.assertEqual(_NOT_SENT, self.exchange('127.0.0.1:1', 0).delivery)

    def test_connect_timeout(self):
        with socket.create_server(('127.0.0.1', 0), backlog=0) as listener:
            port = listener.getsockname()[1]
            for _ in range(3):  # fills the backlog
                end = socket.socket()
                self.addCleanup(end.close)
                end.setblocking(False)
                end.connect_ex(('127.0.0.1', port))
            reply = self.exchange(f'127.0.0.1:{port}')
        self.assertEqual((_NOT_SENT, False), (reply.delivery, reply.crashed))

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
        reply = self.exchange(server.address)
        echo.gate.update({})
        first.join()
        self.assertEqual(_NOT_SENT, reply.delivery)
        self.assertEqual(1, len(echo.log))


class TestBrokenExchange(testtools.TestCase):
    """Breaks the connection after each byte of request and answer."""

    body = b'x' * 40

    def setUp(self):
        super().setUp()
        self.echo = _Echo()
        server = serving.create_server(self.echo)
        self.addCleanup(server.stop)
        self.relay = relay.create_relay(server.address)
        self.addCleanup(self.relay.close)

    def exchange(self, transport=None):
        made = transport or transports.create_transport()
        self.addCleanup(made.close)
        return made.exchange(
            'POST', self.relay.address, '/', _TIMEOUT_S, self.body
        )

    def break_everywhere(self, name, reset):
        whole = self.exchange()
        self.assertEqual(b'<' + self.body + b'>', whole.body)
        total = getattr(self.relay, name.replace('limit', 'bytes'))
        for limit in range(total):
            self.relay.update(relay.Link(**{name: limit}, reset=reset))
            reply = self.exchange()
            self.assertIsInstance(reply, transports.NoReply, limit)
            self.assertEqual(_LOST, reply.delivery, limit)
            # A head that breaks off at a header reads as a whole one.
            known = reply.crashed or reply.detail in _CUT_HEAD
            self.assertTrue(known, (limit, reply))

    def test_request_breaks(self):
        for reset in (False, True):
            self.break_everywhere('request_limit', reset)
            self.relay.update(relay.Link())
        self.assertEqual([self.body] * 2, self.echo.log)

    def test_answer_breaks(self):
        for reset in (False, True):
            self.break_everywhere('answer_limit', reset)
            self.relay.update(relay.Link())

    def test_stale_connection(self):
        transport = transports.create_transport(max_idle_s=60.0)
        self.exchange(transport)
        passed = self.relay.request_bytes
        self.relay.update(relay.Link(request_limit=passed))
        reply = self.exchange(transport)
        self.assertEqual((_LOST, True), (reply.delivery, reply.crashed))
        self.assertEqual([self.body], self.echo.log)

    def test_stalled(self):
        self.relay.update(relay.Link(stalled=True))
        transport = transports.create_transport()
        reply = transport.exchange('GET', self.relay.address, '/', _SHORT_S)
        self.assertEqual((_LOST, False), (reply.delivery, reply.crashed))

    def test_late_answer_is_not_the_next_ones(self):
        transport = transports.create_transport(pool_size=1)
        self.echo.gate.update({'delay_s': 2 * _SHORT_S})
        address = self.relay.address
        transport.exchange('POST', address, '/', _SHORT_S, b'first')
        self.echo.gate.update({})
        reply = transport.exchange('POST', address, '/', _TIMEOUT_S, b'second')
        self.assertEqual(b'<second>', reply.body)

    def test_crossed_answer(self):
        self.exchange()
        self.echo.gate.update({'cross_answers': 1})
        reply = self.exchange()
        self.assertEqual((_LOST, False), (reply.delivery, reply.crashed))

    def test_connection_is_kept(self):
        for max_idle_s, calls in ((60.0, 2), (0.0, 1)):
            transport = transports.create_transport(max_idle_s=max_idle_s)
            self.exchange(transport)
            once = self.relay.request_bytes
            self.exchange(transport)
            self.assertEqual(calls * once, self.relay.request_bytes)


class TestOddAnswers(testtools.TestCase):
    def exchange(self, answer, endless=False, max_bytes=100):
        transport = transports.create_transport(max_answer_bytes=max_bytes)
        address = _listen(self, answer, endless)
        return transport.exchange('GET', address, '/', _TIMEOUT_S)

    def check_lost(self, answer, crashed, endless=False):
        reply = self.exchange(answer, endless)
        self.assertEqual((_LOST, crashed), (reply.delivery, reply.crashed))

    def test_chunked(self):
        head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        reply = self.exchange(head + b'2\r\nab\r\n1\r\nc\r\n0\r\n\r\n')
        self.assertEqual(b'abc', reply.body)
        for cut in (b'', b'2', b'2\r\na', b'2\r\nab', b'2\r\nab\r\n'):
            self.check_lost(head + cut, True)

    def test_no_length(self):
        self.check_lost(b'HTTP/1.1 200 OK\r\n\r\nabc', False)

    def test_no_content(self):
        reply = self.exchange(b'HTTP/1.1 204 No Content\r\n\r\n')
        self.assertEqual((204, b''), (reply.status, reply.body))

    def test_no_http(self):
        self.check_lost(b'SSH-2.0\r\n', False)

    def test_too_long(self):
        head = b'HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n'
        self.check_lost(head, False, endless=True)

    def test_redirect_is_not_followed(self):
        reply = self.exchange(
            b'HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\n'
            b'Content-Length: 0\r\n\r\n'
        )
        self.assertEqual(302, reply.status)
