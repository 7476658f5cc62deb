"""Tests of the HTTP load generator."""

import socket
import threading

import testtools

from measurements import _load_generators

_HEAD = b'HTTP/1.1 200 OK\r\n\r\n'


def _serve(listener, chunks):
    sock, _ = listener.accept()
    with sock:
        for chunk in chunks:
            sock.recv(4096)
            sock.sendall(chunk)
        sock.recv(4096)


class LoadGeneratorTest(testtools.TestCase):
    """Counting of answers and events."""

    def _read_counts(self, chunks, duration_s=0.3):
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        server = threading.Thread(target=_serve, args=(listener, chunks))
        server.start()
        generator = _load_generators.LoadGenerator(
            f'127.0.0.1:{listener.getsockname()[1]}'
        )
        generator.open_connection(_load_generators.Call('/', 'key', {}))
        counts = generator.run(duration_s)
        generator.close()
        server.join()
        return counts

    def test_next_call_is_sent_after_each_answer(self):
        counts = self._read_counts([_HEAD + b'0\r\n\r\n'] * 3)
        self.assertEqual(3, counts.answers)
        self.assertEqual(0, counts.refused)
        self.assertEqual(3, len(counts.times_s))

    def test_refusals_are_counted(self):
        counts = self._read_counts([b'HTTP/1.1 503 No\r\n\r\n0\r\n\r\n'])
        self.assertEqual(1, counts.refused)

    def test_events_of_one_chunk_have_no_gap(self):
        counts = self._read_counts([_HEAD + b'data: {}\n\n' * 3])
        self.assertEqual(3, counts.events)
        self.assertEqual([], counts.gaps_s)

    def test_split_event_counts_once(self):
        data = b'x' + b'data: {}'
        for split_at in range(1, len(data)):
            first, second = data[:split_at], data[split_at:]
            tail = _load_generators._get_tail(first)
            found = [part.count(b'data: {') for part in (first, tail + second)]
            self.assertEqual(1, sum(found), split_at)
