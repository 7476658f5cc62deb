"""A single thread that writes the tokens of all streamed responses.

Waking the request thread of a stream for each token costs more than the
write itself. Tokens therefore pass through one queue to one thread, whose
writes never block: the response to a caller that reads too slowly returns
to its request thread.
"""

import dataclasses
import os
import queue
import threading

from sniperudder import effects


@dataclasses.dataclass(frozen=True, slots=True)
class UnsentData:
    """The part of a chunk that a non-blocking write left over."""

    data: bytes


class TokenSink:
    """Receives the replies to one request in place of its queue.

    Parameters
    ----------
    writer : TokenWriter
    connection : Connection
    renderer : TokenEventRenderer
    on_written : callable
        Called with each reply that was written.

    Attributes
    ----------
    replies : queue.SimpleQueue
        Replies that the request thread must handle: the final reply,
        an `UnsentData` and all replies after it.
    count : int
        Number of tokens written.
    """

    __slots__ = (
        'replies',
        'count',
        '_writer',
        '_connection',
        '_renderer',
        '_on_written',
        '_lock',
        '_open',
    )

    def __init__(self, writer, connection, renderer, on_written):
        self.replies = queue.SimpleQueue()
        self.count = 0
        self._writer = writer
        self._connection = connection
        self._renderer = renderer
        self._on_written = on_written
        self._lock = threading.Lock()
        self._open = True

    def put(self, reply):
        """Queue a reply without blocking."""
        self._writer.pending.put((self, reply))

    def write(self, reply):
        """Write a token, or pass the reply to the request thread."""
        # The lock prevents a close during the write: after a close the
        # descriptor may be reused for the connection of another caller.
        with self._lock:
            if not self._open or not isinstance(reply, effects.EmitToken):
                self.replies.put(reply)
                return
            chunk = _encode_http_chunk(self._renderer.render(reply.token))
            unsent = self._connection.write_ready(chunk)
            self.count += 1
            self._on_written(reply)
            if unsent:
                self._open = False
                self.replies.put(UnsentData(unsent))

    def close(self):
        """Stop writing; return once no write is in progress."""
        with self._lock:
            self._open = False


class TokenWriter:
    """Writes queued replies in order; see ``create_token_writer``.

    Attributes
    ----------
    pending : queue.SimpleQueue
        Pairs of ``TokenSink`` and reply.
    """

    __slots__ = ('pending',)

    def __init__(self):
        self.pending = queue.SimpleQueue()

    def run(self):
        """Write queued replies until the process ends."""
        while True:
            sink, reply = self.pending.get()
            sink.write(reply)


def create_token_writer():
    """Return a writer with its thread started."""
    writer = TokenWriter()
    thread = threading.Thread(target=writer.run, name='tokens', daemon=True)
    thread.start()
    return writer


def write_nonblocking(sock, data):
    """Write to a socket without blocking.

    Parameters
    ----------
    sock : socket.socket
        Must have a timeout, which makes its descriptor non-blocking.
    data : bytes

    Returns
    -------
    bytes
        Bytes not written; all of them if the connection is broken.
    """
    # socket.send would block up to the timeout if the caller does not read.
    try:
        return data[os.write(sock.fileno(), data) :]
    except OSError:
        return data


def _encode_http_chunk(data):
    """Return data framed as a chunk of HTTP chunked coding.

    Examples
    --------
    >>> _encode_http_chunk(b'linen')
    b'5\\r\\nlinen\\r\\n'
    """
    return b'%x\r\n%s\r\n' % (len(data), data)
