"""One thread that writes the tokens of all streamed answers.

A thread that wakes for each token of its own stream costs more than the
write. So tokens go through one queue to one thread, which never waits for
a caller: an answer whose caller reads too slowly goes back to the thread
that serves it.
"""

import dataclasses
import os
import queue
import threading

from sniperudder import effects


@dataclasses.dataclass(frozen=True, slots=True)
class Rest:
    """What of a chunk could not be written at once."""

    data: bytes


class TokenSink:
    """Takes the replies of one answer; in place of its queue.

    Parameters
    ----------
    writer : TokenWriter
    connection : Connection
    renderer : PieceRenderer
    note_time : callable
        Called with each reply that was written.

    Attributes
    ----------
    replies : queue.SimpleQueue
        What is left to the thread that serves the caller: the last
        reply, and all replies after a `Rest`.
    count : int
        Tokens written.
    """

    __slots__ = (
        'replies',
        'count',
        '_writer',
        '_connection',
        '_renderer',
        '_note_time',
        '_lock',
        '_open',
    )

    def __init__(self, writer, connection, renderer, note_time):
        self.replies = queue.SimpleQueue()
        self.count = 0
        self._writer = writer
        self._connection = connection
        self._renderer = renderer
        self._note_time = note_time
        self._lock = threading.Lock()
        self._open = True

    def put(self, reply):
        """Queue a reply; does not block."""
        self._writer.pending.put((self, reply))

    def write(self, reply):
        """Write a reply, or leave it to the thread of the caller."""
        # Held so that the connection stays this caller's: its number
        # may be another's once it was closed.
        with self._lock:
            if not self._open or not isinstance(reply, effects.EmitToken):
                self.replies.put(reply)
                return
            chunk = _frame_chunk(self._renderer.render(reply.token))
            rest = self._connection.write_ready(chunk)
            self.count += 1
            self._note_time(reply)
            if rest:
                self._open = False
                self.replies.put(Rest(rest))

    def close(self):
        """Write no more; returns once no write is under way."""
        with self._lock:
            self._open = False


class TokenWriter:
    """Writes what sinks put, in order; see ``create_token_writer``.

    Attributes
    ----------
    pending : queue.SimpleQueue
        Pairs of a sink and a reply.
    """

    __slots__ = ('pending',)

    def __init__(self):
        self.pending = queue.SimpleQueue()

    def run(self):
        """Write for ever."""
        while True:
            sink, reply = self.pending.get()
            sink.write(reply)


def create_token_writer():
    """Return a writer whose thread runs."""
    writer = TokenWriter()
    thread = threading.Thread(target=writer.run, name='tokens', daemon=True)
    thread.start()
    return writer


def write_nonblocking(sock, data):
    """Write what a socket takes at once.

    Parameters
    ----------
    sock : socket.socket
        With a time limit, which makes its descriptor non-blocking.
    data : bytes

    Returns
    -------
    bytes
        What is left; all where the connection is broken.
    """
    # socket.send would wait for a caller that does not read.
    try:
        return data[os.write(sock.fileno(), data) :]
    except OSError:
        return data


def _frame_chunk(data):
    """Return a chunk of HTTP's chunked coding.

    Examples
    --------
    >>> _frame_chunk(b'linen')
    b'5\\r\\nlinen\\r\\n'
    """
    return b'%x\r\n%s\r\n' % (len(data), data)
