"""HTTP load generator that drives many connections from one thread."""

import dataclasses
import json
import selectors
import socket
import time

_RECEIVE_BYTES = 65536
_EVENT_PREFIX = b'data: {'
# Entry instances send every answer with chunked encoding.
_LAST_CHUNK = b'0\r\n\r\n'
_SELECT_TIMEOUT_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Request that a connection sends repeatedly.

    Attributes
    ----------
    path : str
    key : str
        API key.
    body : dict
    """

    path: str
    key: str
    body: dict


@dataclasses.dataclass(slots=True)
class Counts:
    """Counts and durations of the responses.

    Attributes
    ----------
    answers, refused, events : int
        Numbers of complete answers, of answers with a status other than
        200, and of server-sent events.
    times_s, gaps_s : list of float
        Durations of complete answers, and times between the events of a
        stream, seconds. Events received together have a gap of 0.
    """

    answers: int = 0
    refused: int = 0
    events: int = 0
    times_s: list = dataclasses.field(default_factory=list)
    gaps_s: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Connection:
    """A connection that repeats its call after each answer."""

    socket: socket.socket
    call: Call
    tail: bytes = b''
    started_at: float = 0.0
    last_event_at: float = 0.0


class LoadGenerator:
    """Drives connections to one address from the calling thread.

    Parameters
    ----------
    address : str
        ``host:port``.
    """

    def __init__(self, address):
        self._address = address
        self._selector = selectors.DefaultSelector()
        self._connections = []
        self.counts = Counts()

    def open_connection(self, call):
        """Open a connection and send a call."""
        host, _, port = self._address.rpartition(':')
        sock = socket.create_connection((host, int(port)))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(sock, call)
        self._connections.append(connection)
        self._selector.register(sock, selectors.EVENT_READ, connection)
        self._send(connection)

    def run(self, duration_s):
        """Read responses for a time and return their counts.

        Parameters
        ----------
        duration_s : float
            Seconds.
        """
        self.counts = Counts()
        deadline = time.monotonic() + duration_s
        while time.monotonic() < deadline:
            for key, _ in self._selector.select(_SELECT_TIMEOUT_S):
                self._read(key.data)
        return self.counts

    def close(self):
        """Close all connections."""
        for connection in self._connections:
            connection.socket.close()
        self._selector.close()

    def _send(self, connection):
        connection.started_at = time.monotonic()
        connection.last_event_at = 0.0
        connection.tail = b''
        connection.socket.sendall(_encode_call(connection.call))

    def _read(self, connection):
        data = connection.socket.recv(_RECEIVE_BYTES)
        now = time.monotonic()
        if not data:
            self._selector.unregister(connection.socket)
            return
        if not connection.tail and b' 200 ' not in data[:20]:
            self.counts.refused += 1
        # The start of an event or the last chunk may be split between reads.
        received = connection.tail + data
        self._record_events(connection, received.count(_EVENT_PREFIX), now)
        connection.tail = _get_tail(received)
        if received.endswith(_LAST_CHUNK):
            self.counts.answers += 1
            self.counts.times_s.append(now - connection.started_at)
            self._send(connection)

    def _record_events(self, connection, count, now):
        if not count:
            return
        self.counts.events += count
        if connection.last_event_at:
            self.counts.gaps_s.append(now - connection.last_event_at)
            self.counts.gaps_s.extend([0.0] * (count - 1))
        connection.last_event_at = now


def find_quantile(values, quantile):
    """Return a quantile without interpolation, or 0 if there are no values.

    Examples
    --------
    >>> find_quantile([3, 1, 2], 0.5)
    2
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(int(quantile * len(ordered)), len(ordered) - 1)]


def _get_tail(received):
    """Return the end of received data that may begin an event.

    It is shorter than the prefix of an event, so no event counts twice.
    """
    return received[-(len(_EVENT_PREFIX) - 1) :]


def _encode_call(call):
    body = json.dumps(call.body).encode()
    head = (
        f'POST {call.path} HTTP/1.1\r\nHost: entry\r\n'
        f'Authorization: Bearer {call.key}\r\n'
        f'Content-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body
