"""Streams whose tokens one thread writes."""

import http.client
import json
import queue
import socket
import threading
import types

import testtools

from sniperudder import callers
from sniperudder.callers import _answers
from sniperudder.callers import _fields
from sniperudder.callers import _tokens
from sniperudder import effects
from sniperudder import inputs
from sniperudder import instance
from sniperudder import outcomes
from sniperudder import tables

_LIMIT_S = 30
_PROMPT = _fields.Prompt('demo', 'linen', 5, True, False, None)
_BODY = {'model': 'demo', 'prompt': 'linen', 'stream': True}
_EVENT = b'data: {'


def _emit(position, token=None, request='r'):
    return effects.EmitToken(request, position, token or f' w{position}')


class _Connection:
    """The connection of a test, over a pair of sockets."""

    def __init__(self, sock):
        self.sock = sock

    def write_ready(self, data):
        return _tokens.write_nonblocking(self.sock, data)


class TokenSinkTest(testtools.TestCase):
    """What is written and what is left to the caller's thread."""

    def setUp(self):
        super().setUp()
        self.ours, self.theirs = socket.socketpair()
        self.addCleanup(self.ours.close)
        self.addCleanup(self.theirs.close)
        self.ours.settimeout(10)
        self.noted = []
        self.sink = _tokens.TokenSink(
            _tokens.TokenWriter(),
            _Connection(self.ours),
            _answers.PieceRenderer('r', _PROMPT),
            self.noted.append,
        )

    def test_the_last_reply_is_left(self):
        last = effects.Finish('r', outcomes.Answered())
        for reply in (_emit(0), _emit(1), last):
            self.sink.write(reply)
        self.assertIs(last, self.sink.replies.get_nowait())
        self.assertEqual(2, self.sink.count)
        self.assertEqual(2, len(self.noted))
        self.assertEqual(2, self.theirs.recv(65536).count(_EVENT))

    def test_a_closed_sink_writes_nothing(self):
        self.sink.close()
        self.sink.write(_emit(0))
        self.theirs.setblocking(False)
        self.assertRaises(BlockingIOError, self.theirs.recv, 1)
        self.assertEqual(_emit(0), self.sink.replies.get_nowait())

    def test_a_slow_caller_gets_the_rest_in_order(self):
        sent = 0
        while self.sink.replies.empty():
            self.sink.write(_emit(sent, 'x' * 4096))
            sent += 1
        rest = self.sink.replies.get_nowait()
        self.sink.write(_emit(sent))
        self.assertEqual(_emit(sent), self.sink.replies.get_nowait())
        writer = threading.Thread(target=self._send, args=(rest.data,))
        writer.start()
        data = b''.join(iter(lambda: self.theirs.recv(65536), b''))
        writer.join()
        event = _answers.PieceRenderer('r', _PROMPT).render('x' * 4096)
        self.assertEqual(_tokens._frame_chunk(event) * sent, data)
        self.assertEqual(sent, self.sink.count)

    def _send(self, data):
        self.ours.sendall(data)
        self.ours.shutdown(socket.SHUT_WR)

    def test_a_broken_connection_is_left_to_the_thread(self):
        self.theirs.close()
        self.sink.write(_emit(0))
        rest = self.sink.replies.get_nowait()
        self.assertIsInstance(rest, _tokens.Rest)


class _Runtime(instance.Runtime):
    """Keeps what was submitted; the test gives the replies."""

    __slots__ = ('submitted',)

    def __init__(self):
        super().__init__(tables.create_tables('e', 'd', 1), lambda: 0.0)
        self.submitted = queue.SimpleQueue()

    def submit(self, inp):
        self.submitted.put(inp)

    def give(self, reply):
        with self.lock:
            self.routes[type(reply)](reply)


class StreamTest(testtools.TestCase):
    """Whole streams through the server."""

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
            '127.0.0.1', self.server.bind_addr[1], timeout=_LIMIT_S
        )
        self.addCleanup(connection.close)
        connection.request(
            'POST',
            '/v1/completions',
            json.dumps(_BODY),
            {'Authorization': 'Bearer key'},
        )
        arrived = self.runtime.submitted.get(timeout=_LIMIT_S)
        return connection, arrived.request

    def _read_tokens(self, response):
        events = response.read().split(b'\n\n')
        self.assertEqual(b'data: [DONE]', events[-2])
        pieces = [json.loads(event[6:]) for event in events[:-2]]
        return [piece['choices'][0]['text'] for piece in pieces]

    def test_crossed_streams_stay_apart_and_in_order(self):
        opened = [self._open() for _ in range(3)]
        for position in range(200):
            for _, request in opened:
                token = f' {request}-{position}'
                self.runtime.give(_emit(position, token, request))
        for _, request in opened:
            self.runtime.give(effects.Finish(request, outcomes.Answered()))
        for connection, request in opened:
            tokens = self._read_tokens(connection.getresponse())
            wanted = [f' {request}-{position}' for position in range(200)]
            self.assertEqual([*wanted, ''], tokens)

    def test_a_slow_caller_gets_all_and_holds_up_nobody(self):
        slow, slow_request = self._open()
        fast, fast_request = self._open()
        large = 'x' * 65536
        for position in range(200):
            self.runtime.give(_emit(position, large, slow_request))
            self.runtime.give(_emit(position, None, fast_request))
        for request in (slow_request, fast_request):
            self.runtime.give(effects.Finish(request, outcomes.Answered()))
        # The slow caller has not read a byte yet.
        self.assertEqual(201, len(self._read_tokens(fast.getresponse())))
        tokens = self._read_tokens(slow.getresponse())
        self.assertEqual([large] * 200 + [''], tokens)

    def test_a_caller_that_leaves_is_noticed(self):
        connection, request = self._open()
        self.runtime.give(_emit(0, None, request))
        response = connection.getresponse()
        response.close()
        connection.close()
        left = self.runtime.submitted.get(timeout=_LIMIT_S)
        self.assertEqual(inputs.CallerLeft(request), left)
        self.runtime.give(effects.Finish(request, outcomes.Answered()))
