"""Tests of the peer client and server over the loopback interface."""

import socket
import threading
import time

from sniperudder import inputs
from sniperudder import peers
from sniperudder import tables
import testtools

_HOST = '127.0.0.1'
_TIMEOUT_S = 2.0


def _make_heartbeat(sender='entry-1', **fields):
    return inputs.Heartbeat(sender, 'h:1', 'milan', 1, 7, **fields)


def _ignore_messages(sender, messages):
    pass


class CodecTest(testtools.TestCase):
    def test_heartbeat_with_all_fields_round_trips(self):
        beat = _make_heartbeat(
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
        message = peers.encode_heartbeat(beat)
        self.assertEqual(beat, peers.decode_heartbeat(message))


class ExchangeTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.heartbeats = []

    def _start(self, on_query=None, key='', address=f'{_HOST}:0'):
        def on_heartbeat(beat):
            self.heartbeats.append(beat)
            return _make_heartbeat('server')

        ask = on_query or (lambda query, timeout_s: query.upper())
        server = peers.create_peer_server(
            address, on_heartbeat, _ignore_messages, ask, key
        )
        server.start()
        self.addCleanup(server.stop)
        return server

    def _connect(self, key=''):
        client = peers.create_peer_client(key)
        self.addCleanup(client.close)
        return client

    def test_exchange_returns_heartbeat_of_server(self):
        server = self._start()
        client = self._connect()
        for _ in range(3):
            answer = client.exchange(
                server.address, _make_heartbeat(), _TIMEOUT_S
            )
            self.assertEqual('server', answer.sender)
        self.assertEqual(3, len(self.heartbeats))

    def test_query(self):
        server = self._start()
        answer = self._connect().ask(server.address, 'abc', _TIMEOUT_S)
        self.assertEqual('ABC', answer)

    def test_refused_connection_returns_none(self):
        with socket.create_server((_HOST, 0)) as unused:
            port = unused.getsockname()[1]
        client = self._connect()
        answer = client.exchange(
            f'{_HOST}:{port}', _make_heartbeat(), _TIMEOUT_S
        )
        self.assertIsNone(answer)

    def test_unresponsive_peer_times_out(self):
        with socket.create_server((_HOST, 0)) as unresponsive:
            port = unresponsive.getsockname()[1]
            client = self._connect()
            start = time.monotonic()
            beat = _make_heartbeat()
            answer = client.exchange(f'{_HOST}:{port}', beat, 0.2)
        self.assertIsNone(answer)
        self.assertLess(time.monotonic() - start, 1.0)

    def test_wrong_key_is_rejected(self):
        server = self._start(key='right')
        for key in ('', 'wrong'):
            client = self._connect(key)
            beat = _make_heartbeat()
            answer = client.exchange(server.address, beat, _TIMEOUT_S)
            self.assertIsNone(answer)
            asked = client.ask(server.address, 'abc', _TIMEOUT_S)
            self.assertIsNone(asked)
        self.assertEqual([], self.heartbeats)

    def test_correct_key_is_accepted(self):
        server = self._start(key='right')
        client = self._connect('right')
        answer = client.exchange(server.address, _make_heartbeat(), _TIMEOUT_S)
        self.assertEqual('server', answer.sender)

    def test_client_reconnects_to_restarted_peer(self):
        server = self._start()
        client = self._connect()
        client.exchange(server.address, _make_heartbeat(), _TIMEOUT_S)
        server.stop()
        restarted = self._start(address=server.address)
        answer = client.exchange(
            restarted.address, _make_heartbeat(), _TIMEOUT_S
        )
        self.assertEqual('server', answer.sender)

    def test_slow_queries_do_not_block_heartbeats(self):
        release_queries = threading.Event()
        self.addCleanup(release_queries.set)
        server = self._start(
            on_query=lambda query, _: str(release_queries.wait(5.0))
        )
        for _ in range(10):
            client_thread = threading.Thread(
                target=self._connect().ask,
                args=(server.address, 'x', 5.0),
                daemon=True,
            )
            client_thread.start()
        client = self._connect()
        answer = client.exchange(server.address, _make_heartbeat(), _TIMEOUT_S)
        self.assertEqual('server', answer.sender)

    def test_invalid_data_closes_only_its_connection(self):
        server = self._start()
        host, _, port = server.address.rpartition(':')
        with socket.create_connection((host, int(port))) as raw_connection:
            raw_connection.settimeout(_TIMEOUT_S)
            raw_connection.sendall(b'GET / HTTP/1.1\r\n\r\n')
            self.assertEqual(b'', raw_connection.recv(1))
        client = self._connect()
        answer = client.exchange(server.address, _make_heartbeat(), _TIMEOUT_S)
        self.assertEqual('server', answer.sender)
