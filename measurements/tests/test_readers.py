"""The reader that plays many callers."""

import socket
import threading

import testtools

from measurements import _readers

_HEAD = b'HTTP/1.1 200 OK\r\n\r\n'


def _serve(listener, pieces):
    sock, _ = listener.accept()
    with sock:
        for piece in pieces:
            sock.recv(4096)
            sock.sendall(piece)
        sock.recv(4096)


class ReaderTest(testtools.TestCase):
    """Counts of answers and events."""

    def _read(self, pieces, seconds=0.3):
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        server = threading.Thread(target=_serve, args=(listener, pieces))
        server.start()
        reader = _readers.Reader(f'127.0.0.1:{listener.getsockname()[1]}')
        reader.open_caller(_readers.Call('/', 'key', {}))
        counts = reader.run(seconds)
        reader.close()
        server.join()
        return counts

    def test_each_answer_is_followed_by_the_next_call(self):
        counts = self._read([_HEAD + b'0\r\n\r\n'] * 3)
        self.assertEqual(3, counts.answers)
        self.assertEqual(0, counts.refused)
        self.assertEqual(3, len(counts.times_s))

    def test_refusals_are_counted(self):
        counts = self._read([b'HTTP/1.1 503 No\r\n\r\n0\r\n\r\n'])
        self.assertEqual(1, counts.refused)

    def test_events_of_one_piece_have_no_gap(self):
        counts = self._read([_HEAD + b'data: {}\n\n' * 3])
        self.assertEqual(3, counts.events)
        self.assertEqual([], counts.gaps_s)

    def test_a_cut_event_counts_once(self):
        text = b'x' + b'data: {}'
        for at in range(1, len(text)):
            first, second = text[:at], text[at:]
            tail = _readers._cut_tail(first)
            found = [part.count(b'data: {') for part in (first, tail + second)]
            self.assertEqual(1, sum(found), at)
