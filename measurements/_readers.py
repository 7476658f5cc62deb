"""One thread that drives many callers' connections."""

import dataclasses
import json
import selectors
import socket
import time

_PIECE_BYTES = 65536
_EVENT = b'data: {'
# Every answer of an entry is sent in chunks; this is the last one.
_END = b'0\r\n\r\n'
_WAIT_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """What a connection sends.

    Attributes
    ----------
    path, key : str
    body : dict
    """

    path: str
    key: str
    body: dict


@dataclasses.dataclass(slots=True)
class Counts:
    """What came back.

    Attributes
    ----------
    answers, refused, events : int
        Whole answers, those of another status than 200, and
        server-sent events.
    times_s, gaps_s : list of float
        Times of whole answers, and times between the events of a
        stream, seconds.
    """

    answers: int = 0
    refused: int = 0
    events: int = 0
    times_s: list = dataclasses.field(default_factory=list)
    gaps_s: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Caller:
    """A connection that sends a call again once it was answered."""

    socket: socket.socket
    call: Call
    tail: bytes = b''
    began_at: float = 0.0
    last_at: float = 0.0


class Reader:
    """Drives connections to one address with one thread.

    Parameters
    ----------
    address : str
        ``host:port``.
    """

    def __init__(self, address):
        self._address = address
        self._selector = selectors.DefaultSelector()
        self._callers = []
        self.counts = Counts()

    def open_caller(self, call):
        """Connect and send a call."""
        host, _, port = self._address.rpartition(':')
        sock = socket.create_connection((host, int(port)))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        caller = Caller(sock, call)
        self._callers.append(caller)
        self._selector.register(sock, selectors.EVENT_READ, caller)
        self._send(caller)

    def run(self, seconds):
        """Read for a time and return what came in it."""
        self.counts = Counts()
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for key, _ in self._selector.select(_WAIT_S):
                self._read(key.data)
        return self.counts

    def close(self):
        """Close all connections."""
        for caller in self._callers:
            caller.socket.close()
        self._selector.close()

    def _send(self, caller):
        caller.began_at = time.monotonic()
        caller.last_at = 0.0
        caller.tail = b''
        caller.socket.sendall(_render_call(caller.call))

    def _read(self, caller):
        data = caller.socket.recv(_PIECE_BYTES)
        now = time.monotonic()
        if not data:
            self._selector.unregister(caller.socket)
            return
        if not caller.tail and b' 200 ' not in data[:20]:
            self.counts.refused += 1
        # An event or the end may arrive in two pieces.
        text = caller.tail + data
        self._note_events(caller, text.count(_EVENT), now)
        caller.tail = _cut_tail(text)
        if text.endswith(_END):
            self.counts.answers += 1
            self.counts.times_s.append(now - caller.began_at)
            self._send(caller)

    def _note_events(self, caller, count, now):
        if not count:
            return
        self.counts.events += count
        if caller.last_at:
            self.counts.gaps_s.append(now - caller.last_at)
            self.counts.gaps_s.extend([0.0] * (count - 1))
        caller.last_at = now


def find_quantile(values, quantile):
    """Return a quantile of values, not interpolated; 0 of none.

    Examples
    --------
    >>> find_quantile([3, 1, 2], 0.5)
    2
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(int(quantile * len(ordered)), len(ordered) - 1)]


def _cut_tail(text):
    """Return the end of a text that may begin an event.

    Never a whole event, which would count twice.
    """
    return text[-(len(_EVENT) - 1) :]


def _render_call(call):
    body = json.dumps(call.body).encode()
    head = (
        f'POST {call.path} HTTP/1.1\r\nHost: entry\r\n'
        f'Authorization: Bearer {call.key}\r\n'
        f'Content-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body
