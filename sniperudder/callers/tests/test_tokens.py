"""Tests of streams whose tokens a shared thread writes."""

import http.client
import json
import queue
import socket
import threading
import types

import testtools

from sniperudder import callers
from sniperudder.callers import _fields
from sniperudder.callers import _responses
from sniperudder.callers import _tokens
from sniperudder import effects
from sniperudder import inputs
from sniperudder import instance
from sniperudder import outcomes
from sniperudder import tables

_TIMEOUT_S = 30
_PROMPT = _fields.Prompt('demo', 'linen', 5, True, False, None)
_BODY = {'model': 'demo', 'prompt': 'linen', 'stream': True}
_EVENT = b'data: {'


def _make_token(position, token=None, request='r'):
    return effects.EmitToken(request, position, token or f' w{position}')


class _Connection:
    """A connection over a socket pair."""

    def __init__(self, sock):
        self.sock = sock

    def write_ready(self, data):
        return _tokens.write_nonblocking(self.sock, data)


class TokenSinkTest(testtools.TestCase):
    """Replies that a sink writes or passes to the request thread."""

    def setUp(self):
        super().setUp()
        self.server_end, self.client_end = socket.socketpair()
        self.addCleanup(self.server_end.close)
        self.addCleanup(self.client_end.close)
        self.server_end.settimeout(10)
        self.written = []
        self.sink = _tokens.TokenSink(
            _tokens.TokenWriter(),
            _Connection(self.server_end),
            _responses.TokenEventRenderer('r', _PROMPT),
            self.written.append,
        )

    def test_final_reply_passes_to_request_thread(self):
        last = effects.SendOutcome('r', outcomes.Answered())
        for reply in (_make_token(0), _make_token(1), last):
            self.sink.write(reply)
        self.assertIs(last, self.sink.replies.get_nowait())
        self.assertEqual(2, self.sink.count)
        self.assertEqual(2, len(self.written))
        self.assertEqual(2, self.client_end.recv(65536).count(_EVENT))

    def test_closed_sink_writes_nothing(self):
        self.sink.close()
        self.sink.write(_make_token(0))
        self.client_end.setblocking(False)
        self.assertRaises(BlockingIOError, self.client_end.recv, 1)
        self.assertEqual(_make_token(0), self.sink.replies.get_nowait())

    def test_slow_caller_receives_unsent_data_in_order(self):
        sent = 0
        while self.sink.replies.empty():
            self.sink.write(_make_token(sent, 'x' * 4096))
            sent += 1
        unsent = self.sink.replies.get_nowait()
        self.sink.write(_make_token(sent))
        self.assertEqual(_make_token(sent), self.sink.replies.get_nowait())
        writer = threading.Thread(target=self._send, args=(unsent.data,))
        writer.start()
        data = b''.join(iter(lambda: self.client_end.recv(65536), b''))
        writer.join()
        event = _responses.TokenEventRenderer('r', _PROMPT).render('x' * 4096)
        self.assertEqual(_tokens._encode_http_chunk(event) * sent, data)
        self.assertEqual(sent, self.sink.count)

    def _send(self, data):
        self.server_end.sendall(data)
        self.server_end.shutdown(socket.SHUT_WR)

    def test_broken_connection_passes_to_request_thread(self):
        self.client_end.close()
        self.sink.write(_make_token(0))
        unsent = self.sink.replies.get_nowait()
        self.assertIsInstance(unsent, _tokens.UnsentData)


class _Runtime(instance.Runtime):
    """Records submitted inputs; the test injects the replies."""

    __slots__ = ('submitted',)

    def __init__(self):
        super().__init__(tables.create_tables('e', 'd', 1), lambda: 0.0)
        self.submitted = queue.SimpleQueue()

    def submit(self, inp):
        self.submitted.put(inp)

    def inject_reply(self, reply):
        with self.lock:
            self.handlers[type(reply)](reply)


class StreamTest(testtools.TestCase):
    """Complete streams through the HTTP server."""

    def setUp(self):
        super().setUp()
        self.runtime = _Runtime()
        key = types.SimpleNamespace(
            organisation='studio', rank=tables.Rank.URGENT
        )
        application = callers.create_application(
            self.runtime, lambda presented: key
        )
        self.server = callers.create_server('127.0.0.1:0', application, 4)
        self.server.prepare()
        thread = threading.Thread(target=self.server.serve)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.server.stop)

    def _open(self):
        connection = http.client.HTTPConnection(
            '127.0.0.1', self.server.bind_addr[1], timeout=_TIMEOUT_S
        )
        self.addCleanup(connection.close)
        connection.request(
            'POST',
            '/v1/completions',
            json.dumps(_BODY),
            {'Authorization': 'Bearer key'},
        )
        arrived = self.runtime.submitted.get(timeout=_TIMEOUT_S)
        return connection, arrived.request

    def _read_tokens(self, response):
        events = response.read().split(b'\n\n')
        self.assertEqual(b'data: [DONE]', events[-2])
        chunks = [json.loads(event[6:]) for event in events[:-2]]
        return [chunk['choices'][0]['text'] for chunk in chunks]

    def test_interleaved_streams_stay_separate_and_ordered(self):
        opened = [self._open() for _ in range(3)]
        for position in range(200):
            for _, request in opened:
                token = f' {request}-{position}'
                self.runtime.inject_reply(
                    _make_token(position, token, request)
                )
        for _, request in opened:
            self.runtime.inject_reply(
                effects.SendOutcome(request, outcomes.Answered())
            )
        for connection, request in opened:
            tokens = self._read_tokens(connection.getresponse())
            expected = [f' {request}-{position}' for position in range(200)]
            self.assertEqual([*expected, ''], tokens)

    def test_slow_caller_receives_all_without_blocking_others(self):
        slow, slow_request = self._open()
        fast, fast_request = self._open()
        large = 'x' * 65536
        for position in range(200):
            self.runtime.inject_reply(
                _make_token(position, large, slow_request)
            )
            self.runtime.inject_reply(
                _make_token(position, None, fast_request)
            )
        for request in (slow_request, fast_request):
            self.runtime.inject_reply(
                effects.SendOutcome(request, outcomes.Answered())
            )
        # The slow caller has not read any data yet.
        self.assertEqual(201, len(self._read_tokens(fast.getresponse())))
        tokens = self._read_tokens(slow.getresponse())
        self.assertEqual([large] * 200 + [''], tokens)

    def test_disconnect_of_caller_is_reported(self):
        connection, request = self._open()
        self.runtime.inject_reply(_make_token(0, None, request))
        response = connection.getresponse()
        response.close()
        connection.close()
        left = self.runtime.submitted.get(timeout=_TIMEOUT_S)
        self.assertEqual(inputs.CallerDisconnected(request), left)
        self.runtime.inject_reply(
            effects.SendOutcome(request, outcomes.Answered())
        )
