"""HTTP server with size limits and access to the client connection."""

import select
import socket

from cheroot import wsgi

from sniperudder.callers import _tokens

CONNECTION = 'sniperudder.connection'

_MAX_HEADER_BYTES = 16 * 1024
_MAX_BODY_BYTES = 1024 * 1024
_READ_TIMEOUT_S = 10
_LISTEN_BACKLOG = 512


class Connection:
    """Access to the client socket, which WSGI does not provide."""

    __slots__ = ('_request', '_socket')

    def __init__(self, request):
        self._request = request
        self._socket = request.conn.socket

    def is_chunked(self):
        """Return whether the response is chunked and the socket has a timeout.

        Non-blocking writes require both.
        """
        has_timeout = self._socket.gettimeout() is not None
        return has_timeout and bool(self._request.chunked_write)

    def write_ready(self, data):
        """Write without blocking; return the bytes not written."""
        return _tokens.write_nonblocking(self._socket, data)

    def write_all(self, data):
        """Write all bytes, blocking up to the timeout of the server.

        Raises
        ------
        OSError
        """
        self._socket.sendall(data)

    def is_closed(self):
        """Return whether the caller closed the connection."""
        try:
            # select.select does not accept descriptors above 1023.
            poll = select.poll()
            poll.register(self._socket, select.POLLIN)
            if not poll.poll(0):
                return False
            return not self._socket.recv(1, socket.MSG_PEEK)
        except (OSError, ValueError):
            return True


class _Gateway(wsgi.Gateway_10):
    """Passes the client connection to the application."""

    def get_environ(self):
        environ = super().get_environ()
        environ[CONNECTION] = Connection(self.req)
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
        Maximum concurrent requests; each open stream occupies a thread.

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
        request_queue_size=_LISTEN_BACKLOG,
        timeout=_READ_TIMEOUT_S,
    )
    server.gateway = _Gateway
    server.max_request_header_size = _MAX_HEADER_BYTES
    server.max_request_body_size = _MAX_BODY_BYTES
    return server
