"""Tests of concurrent requests in the HTTP server."""

import http.client
import threading

import testtools

from sniperudder import callers

_THREADS = 24
_TIMEOUT_S = 30


class ServerTest(testtools.TestCase):
    """Concurrent responses."""

    def test_all_threads_serve_concurrently(self):
        # No response is sent before all requests are in progress.
        barrier = threading.Barrier(_THREADS, timeout=_TIMEOUT_S)

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
