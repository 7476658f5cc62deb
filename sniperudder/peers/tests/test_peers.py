"""Tests of the messages between instances, over loopback."""

import socket
import threading
import time

from sniperudder import inputs
from sniperudder import peers
from sniperudder import tables
import testtools

_HOST = '127.0.0.1'
_TIMEOUT_S = 2.0


def _make_beat(sender='entry-1', **fields):
    return inputs.Beat(sender, 'h:1', 'milan', 1, 7, **fields)


def _drop_posts(sender, messages):
    pass


class CodecTest(testtools.TestCase):
    def test_a_full_beat_survives(self):
        beat = _make_beat(
            stopping=True,
            streams=3,
            platform_age_s=0.5,
            changes=(tables.Change(7, 'c', 'ada', 'Return', '{}', 'now'),),
            suspicions=(tables.Suspicion('f', frozenset('ab')),),
            members=(inputs.Member('entry-2', 'h:2', 'milan', 5),),
            head_version=7,
            head_age_s=0.25,
            rooted=True,
            accepted_version=6,
            roster_version=3,
            digest_version=7,
            digest=b'\x00\xff',
            snapshot='{}',
        )
        message = peers.encode_beat(beat)
        self.assertEqual(beat, peers.decode_beat(message))


class ExchangeTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.beats = []

    def _start(self, on_ask=None, key='', address=f'{_HOST}:0'):
        def on_beat(beat):
            self.beats.append(beat)
            return _make_beat('server')

        ask = on_ask or (lambda query, timeout_s: query.upper())
        server = peers.create_peer_server(
            address, on_beat, _drop_posts, ask, key
        )
        server.start()
        self.addCleanup(server.stop)
        return server

    def _connect(self, key=''):
        client = peers.create_peer_client(key)
        self.addCleanup(client.close)
        return client

    def test_beats_cross(self):
        server = self._start()
        client = self._connect()
        for _ in range(3):
            answer = client.exchange(server.address, _make_beat(), _TIMEOUT_S)
            self.assertEqual('server', answer.sender)
        self.assertEqual(3, len(self.beats))

    def test_ask(self):
        server = self._start()
        answer = self._connect().ask(server.address, 'abc', _TIMEOUT_S)
        self.assertEqual('ABC', answer)

    def test_nobody_listens(self):
        with socket.create_server((_HOST, 0)) as unused:
            port = unused.getsockname()[1]
        client = self._connect()
        answer = client.exchange(f'{_HOST}:{port}', _make_beat(), _TIMEOUT_S)
        self.assertIsNone(answer)

    def test_a_silent_peer_takes_no_longer_than_the_timeout(self):
        with socket.create_server((_HOST, 0)) as silent:
            port = silent.getsockname()[1]
            client = self._connect()
            start = time.monotonic()
            beat = _make_beat()
            answer = client.exchange(f'{_HOST}:{port}', beat, 0.2)
        self.assertIsNone(answer)
        self.assertLess(time.monotonic() - start, 1.0)

    def test_a_wrong_key_is_rejected(self):
        server = self._start(key='right')
        for key in ('', 'wrong'):
            client = self._connect(key)
            beat = _make_beat()
            answer = client.exchange(server.address, beat, _TIMEOUT_S)
            self.assertIsNone(answer)
            asked = client.ask(server.address, 'abc', _TIMEOUT_S)
            self.assertIsNone(asked)
        self.assertEqual([], self.beats)

    def test_the_right_key_is_accepted(self):
        server = self._start(key='right')
        client = self._connect('right')
        answer = client.exchange(server.address, _make_beat(), _TIMEOUT_S)
        self.assertEqual('server', answer.sender)

    def test_a_restarted_peer_answers_on_a_new_connection(self):
        server = self._start()
        client = self._connect()
        client.exchange(server.address, _make_beat(), _TIMEOUT_S)
        server.stop()
        again = self._start(address=server.address)
        answer = client.exchange(again.address, _make_beat(), _TIMEOUT_S)
        self.assertEqual('server', answer.sender)

    def test_slow_queries_do_not_hold_up_beats(self):
        gate = threading.Event()
        self.addCleanup(gate.set)
        server = self._start(on_ask=lambda query, _: str(gate.wait(5.0)))
        for _ in range(10):
            asker = threading.Thread(
                target=self._connect().ask,
                args=(server.address, 'x', 5.0),
                daemon=True,
            )
            asker.start()
        client = self._connect()
        answer = client.exchange(server.address, _make_beat(), _TIMEOUT_S)
        self.assertEqual('server', answer.sender)

    def test_garbage_closes_only_its_own_connection(self):
        server = self._start()
        host, _, port = server.address.rpartition(':')
        with socket.create_connection((host, int(port))) as stranger:
            stranger.settimeout(_TIMEOUT_S)
            stranger.sendall(b'GET / HTTP/1.1\r\n\r\n')
            self.assertEqual(b'', stranger.recv(1))
        client = self._connect()
        answer = client.exchange(server.address, _make_beat(), _TIMEOUT_S)
        self.assertEqual('server', answer.sender)
