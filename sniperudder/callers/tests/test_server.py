"""The HTTP server's threads."""

import http.client
import threading

import testtools

from sniperudder import callers

_THREADS = 24
_LIMIT_S = 30


class ServerTest(testtools.TestCase):
    """Answers that are open at once."""

    def test_as_many_answers_are_open_as_there_are_threads(self):
        # No answer is given before all are under way.
        barrier = threading.Barrier(_THREADS, timeout=_LIMIT_S)

        def application(environ, start_response):
            barrier.wait()
            start_response('200 OK', [])
            return [b'done']

        server = callers.create_server('127.0.0.1:0', application, _THREADS)
        server.prepare()
        thread = threading.Thread(target=server.serve)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(server.stop)
        connections = [
            http.client.HTTPConnection('127.0.0.1', server.bind_addr[1])
            for _ in range(_THREADS)
        ]
        for connection in connections:
            self.addCleanup(connection.close)
            connection.request('GET', '/')
        statuses = [c.getresponse().status for c in connections]
        self.assertEqual([200] * _THREADS, statuses)
