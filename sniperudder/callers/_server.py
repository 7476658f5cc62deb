"""The HTTP server, its limits and its view of the connection."""

import select
import socket

from cheroot import wsgi

CONNECTION = 'sniperudder.connection'

_HEADER_BYTES = 16 * 1024
_BODY_BYTES = 1024 * 1024
_READ_TIMEOUT_S = 10
_BACKLOG = 512


class Connection:
    """Tells whether the other side of a connection has closed it."""

    __slots__ = ('_socket',)

    def __init__(self, sock):
        self._socket = sock

    def is_closed(self):
        """Return whether the caller has left."""
        try:
            ready, _, _ = select.select([self._socket], [], [], 0)
            if not ready:
                return False
            return not self._socket.recv(1, socket.MSG_PEEK)
        except (OSError, ValueError):
            return True


class _Gateway(wsgi.Gateway_10):
    """Gives the application a view of the caller's connection."""

    def get_environ(self):
        environ = super().get_environ()
        environ[CONNECTION] = Connection(self.req.conn.socket)
        return environ


def create_server(address, application, threads):
    """Return a bound HTTP server that is not yet serving.

    Parameters
    ----------
    address : str
        ``host:port``.
    application : callable
        WSGI application.
    threads : int
        Requests served at once; each open stream holds a thread.

    Returns
    -------
    cheroot.wsgi.Server
    """
    host, port = address.rsplit(':', 1)
    server = wsgi.Server(
        (host, int(port)),
        application,
        numthreads=threads,
        max=threads,
        request_queue_size=_BACKLOG,
        timeout=_READ_TIMEOUT_S,
    )
    server.gateway = _Gateway
    server.max_request_header_size = _HEADER_BYTES
    server.max_request_body_size = _BODY_BYTES
    return server
