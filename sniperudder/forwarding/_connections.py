"""Client connections to endpoints and the platform, and their pool."""

import asyncio
import collections

import h11

from sniperudder.forwarding import _sockets
from sniperudder.forwarding import _turns

# Limit for the response headers; endpoints send a few hundred bytes.
_MAX_HEADER_BYTES = 65_536

# Limit for a response body that is collected whole. The platform's largest
# responses are its objects, of at most 8 MB.
_MAX_BODY_BYTES = 8_388_608

# Size of a response body that is collected without a reservation of memory.
_FREE_BODY_BYTES = 65_536

# Numbers of unread bytes at which reading from the server pauses and resumes.
_READ_PAUSE_BYTES = 262_144
_READ_RESUME_BYTES = 65_536

# Maximum number of interim responses before a response.
_MAX_INTERIM_RESPONSES = 10

# Timeout for establishing a connection. A round trip takes a few ms, and a
# lost SYN is retransmitted only after 1 s.
_CONNECT_TIMEOUT_S = 0.5

# Idle time after which a connection is closed if the server announces none.
_DEFAULT_SERVER_IDLE_S = 4.0

# Fraction of the server's idle timeout during which a connection is reused.
# The server starts its timer earlier, by the transit time of the response.
_IDLE_TIMEOUT_FRACTION = 0.7

# Number of forwarded requests after which a connection is not used again,
# since their ids are kept.
_MAX_FORWARDED = 500

# Maximum number of idle connections per address.
_MAX_IDLE_PER_ADDRESS = 64


class ConnectionBroken(OSError):
    """Raised if a connection ends early or its data is not valid HTTP."""


class ClientConnection(asyncio.Protocol):
    """A client connection that carries one request at a time.

    Attributes
    ----------
    address : str
    used : bool
        Whether the connection has carried a request before.
    idle_until : float
        Loop time until which the connection may be reused, seconds.
    request_ids : set of str
        Ids of the forwarded requests that it has carried. A response is
        recognised by the id, which therefore must not occur twice.
    """

    def __init__(self, address):
        self.address = address
        self.used = False
        self.request_ids = set()
        self.idle_until = 0.0
        self._http = self._create_parser()
        self._transport = None
        self._waiter = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._error = None
        self._ended = False
        self._has_stray_data = False
        self._unread_bytes = 0
        self._paused = False
        self._request = None
        self._body = None
        self._turn_ends_at = _turns.begin_turn()

    @staticmethod
    def _create_parser():
        return h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEADER_BYTES
        )

    def connection_made(self, transport):
        """See base class."""
        self._transport = transport
        _sockets.enable_keepalive(transport.get_extra_info('socket'))

    def data_received(self, data):
        """See base class."""
        if self._http.our_state is h11.IDLE:
            # Data outside of a response makes the connection unusable.
            self._has_stray_data = True
            return
        self._unread_bytes += len(data)
        if self._unread_bytes > _READ_PAUSE_BYTES:
            self._paused = True
            self._transport.pause_reading()
        self._http.receive_data(data)
        self._wake_receiver()

    def eof_received(self):
        """See base class."""
        self._ended = True
        self._wake_receiver()

    def connection_lost(self, exc):
        """See base class."""
        self._error = exc
        self._ended = True
        self._writable.set()
        self._wake_receiver()

    def pause_writing(self):
        """See base class."""
        self._writable.clear()

    def resume_writing(self):
        """See base class."""
        self._writable.set()

    def is_usable(self, now):
        """Return whether another request may be sent at this loop time."""
        return not (
            self._ended
            or self._has_stray_data
            or now > self.idle_until
            or self._transport.is_closing()
            # The loop may not have looked at the socket for a while.
            or _sockets.is_readable(self._transport.get_extra_info('socket'))
        )

    def send_request(self, method, target, headers, body):
        """Send a complete request.

        Parameters
        ----------
        method, target : bytes or str
        headers : list of (bytes, bytes) or of (str, str)
        body : bytes or None

        Raises
        ------
        ConnectionBroken
            If the request is not valid HTTP.
        """
        self._body = body
        try:
            self._request = h11.Request(
                method=method, target=target, headers=headers
            )
            self._transport.write(self._encode_request())
        except h11.LocalProtocolError as error:
            raise ConnectionBroken(f'not sendable: {error}') from error

    def has_ended(self):
        """Return whether the server has closed or reset the connection."""
        return self._ended

    def is_flushed(self):
        """Return whether the write buffer is empty."""
        return self._transport.get_write_buffer_size() == 0

    async def receive(self, timeout_s=None):
        """Return the next h11 event of the response.

        Parameters
        ----------
        timeout_s : float, optional
            Seconds; no limit by default.

        Raises
        ------
        ConnectionBroken
            If the response ends early or is not valid HTTP.
        TimeoutError
            If no event was complete in time; the connection remains usable.
        """
        deadline = None
        while True:
            event = self._parse()
            if event is not h11.NEED_DATA:
                if _turns.read_clock() >= self._turn_ends_at:
                    await asyncio.sleep(0)
                    self._turn_ends_at = _turns.begin_turn()
                return event
            if self._error is not None:
                raise ConnectionBroken(f'reset: {self._error}')
            if self._ended:
                if self._http.their_state is h11.SEND_RESPONSE:
                    raise ConnectionBroken('closed before the answer')
                self._http.receive_data(b'')
                event = self._parse()
                if event is h11.NEED_DATA:
                    raise ConnectionBroken('closed')
                return event
            if timeout_s is not None and deadline is None:
                deadline = asyncio.get_running_loop().time() + timeout_s
            await self._wait(deadline)
            self._turn_ends_at = _turns.begin_turn()

    def discard_response(self):
        """Discard a late response to an earlier request.

        Resets the parser for the response to the current request.
        """
        remainder, _ = self._http.trailing_data
        self._http = self._create_parser()
        self._encode_request()
        if remainder:
            self._http.receive_data(remainder)

    def prepare_reuse(self):
        """Prepare for another request; return whether that is possible."""
        # Idle connections would keep the last body of each.
        self._request = self._body = None
        if self._ended or not self.is_flushed():
            return False
        if len(self.request_ids) >= _MAX_FORWARDED:
            return False
        if self._http.our_state is h11.IDLE:
            return not self._has_stray_data
        remainder, _ = self._http.trailing_data
        if remainder:
            return False
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        self.used = True
        return True

    def close(self):
        """Close the connection immediately."""
        if self._transport is not None:
            self._transport.abort()

    def _encode_request(self):
        data = self._http.send(self._request)
        if self._body:
            data += self._http.send(h11.Data(data=self._body))
        return data + self._http.send(h11.EndOfMessage())

    def _parse(self):
        try:
            event = self._http.next_event()
        except (h11.RemoteProtocolError, ValueError) as error:
            # ValueError: a length of thousands of digits.
            raise ConnectionBroken(f'no HTTP: {error}') from error
        if isinstance(event, h11.Data):
            self._unread_bytes = max(0, self._unread_bytes - len(event.data))
        elif event is h11.NEED_DATA or isinstance(event, h11.EndOfMessage):
            # The framing of chunks is read as well but occurs in no event.
            self._unread_bytes = 0
        if self._paused and self._unread_bytes < _READ_RESUME_BYTES:
            self._paused = False
            self._transport.resume_reading()
        return event

    async def _wait(self, deadline):
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout_at(deadline):
                await self._waiter
        finally:
            self._waiter = None

    def _wake_receiver(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class ConnectionPool:
    """Opens connections and keeps idle ones for reuse.

    Attributes
    ----------
    opened : int
        Number of connections opened so far, including failed attempts.
    """

    __slots__ = ('_idle', 'opened')

    def __init__(self):
        self._idle = {}
        self.opened = 0

    async def acquire(
        self, address, timeout_s=_CONNECT_TIMEOUT_S, request_id=None
    ):
        """Return an idle connection, or open one.

        Parameters
        ----------
        address : str
            ``host:port``.
        timeout_s : float
            Timeout for opening a connection, seconds.
        request_id : str, optional
            Id of the request to forward. Connections that have carried it
            are left out.

        Returns
        -------
        ClientConnection

        Raises
        ------
        OSError
            If no connection could be opened in time; nothing was sent.
        """
        connection = self._take_idle(address, request_id)
        if connection is None:
            connection = await self.open(address, timeout_s)
        if request_id is not None:
            connection.request_ids.add(request_id)
        return connection

    def _take_idle(self, address, request_id):
        now = asyncio.get_running_loop().time()
        idle = self._idle.get(address, ())
        for index in reversed(range(len(idle))):
            connection = idle[index]
            if request_id in connection.request_ids:
                continue
            del idle[index]
            if connection.is_usable(now):
                return connection
            connection.close()
        return None

    async def open(self, address, timeout_s=_CONNECT_TIMEOUT_S):
        """Open a connection, even if there is an idle one.

        Parameters and errors are those of `acquire`.
        """
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(':')
        self.opened += 1
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: ClientConnection(address), host, int(port)
            )
        return connection

    def release(self, connection, idle_timeout_s=None):
        """Return an unused connection, or one after a complete response.

        Parameters
        ----------
        connection : ClientConnection
        idle_timeout_s : float, optional
            Idle timeout of the server, seconds; 0 if it closes immediately.
        """
        if idle_timeout_s == 0 or not connection.prepare_reuse():
            connection.close()
            return
        now = asyncio.get_running_loop().time()
        idle_timeout_s = (
            _DEFAULT_SERVER_IDLE_S
            if idle_timeout_s is None
            else idle_timeout_s * _IDLE_TIMEOUT_FRACTION
        )
        connection.idle_until = now + idle_timeout_s
        idle = self._idle.setdefault(connection.address, collections.deque())
        idle.append(connection)
        while len(idle) > _MAX_IDLE_PER_ADDRESS or not idle[0].is_usable(now):
            idle.popleft().close()
            if not idle:
                return

    def close_idle(self):
        """Close connections that have been idle for too long."""
        now = asyncio.get_running_loop().time()
        for address in list(self._idle):
            kept = collections.deque()
            for connection in self._idle[address]:
                if connection.is_usable(now):
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]


def decode_idle_timeout_s(headers):
    """Return the idle timeout announced in response headers.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)

    Returns
    -------
    float or None
        Seconds; 0 if the server closes the connection, None if the headers do
        not state a timeout.
    """
    idle_timeout_s = None
    for name, value in headers:
        if name == b'connection' and b'close' in value.lower():
            return 0
        if name == b'keep-alive':
            for item in value.split(b','):
                parameter, _, number = item.strip().partition(b'=')
                if parameter.lower() == b'timeout' and number.isdigit():
                    idle_timeout_s = float(number)
    return idle_timeout_s


async def request_json(
    pool,
    address,
    method,
    target,
    body,
    timeout_s,
    extra_headers=(),
    content_type='application/json',
    handle_head=None,
):
    """Send one request, with a JSON body by default, and return the response.

    Parameters
    ----------
    pool : ConnectionPool
    address, method, target : str
    body : bytes or None
    timeout_s : float
        Timeout for the complete response, seconds.
    extra_headers : iterable of (bytes, bytes)
    content_type : str
    handle_head : callable, optional
        Called with the head of the response.

    Returns
    -------
    status : int
    body : bytes

    Raises
    ------
    OSError
        If no complete response arrived in time.
    """
    connection = None
    try:
        async with asyncio.timeout(timeout_s):
            connection = await pool.acquire(address)
            headers = [('Host', address), *extra_headers]
            if body is not None:
                headers += [
                    ('Content-Type', content_type),
                    ('Content-Length', str(len(body))),
                ]
            connection.send_request(method, target, headers, body)
            head = await receive_head(connection)
            if handle_head is not None:
                handle_head(head)
            response_body = await receive_body(connection)
    except BaseException:
        if connection is not None:
            connection.close()
        raise
    pool.release(connection, decode_idle_timeout_s(head.headers))
    return head.status_code, response_body


async def receive_head(connection, timeout_s=None):
    """Receive the status line and headers of a response.

    Parameters
    ----------
    connection : ClientConnection
    timeout_s : float, optional
        Timeout for each event, seconds.

    Returns
    -------
    h11.Response
    """
    for _ in range(_MAX_INTERIM_RESPONSES + 1):
        event = await connection.receive(timeout_s)
        if isinstance(event, h11.Response):
            return event
        if not isinstance(event, h11.InformationalResponse):
            raise ConnectionBroken(f'no answer: {type(event).__name__}')
    raise ConnectionBroken('too many interim responses')


async def receive_body(connection, length=None, reserve=None):
    """Receive the complete body of a response whose head was received.

    Parameters
    ----------
    connection : ClientConnection
    length : int, optional
        Length that the head announces.
    reserve : callable, optional
        Coroutine function that waits until there is memory for a number of
        bytes; called before more than the beginning of the body is received.

    Returns
    -------
    bytes

    Raises
    ------
    ConnectionBroken
        If the body ends early or is too long.
    """
    chunks, size = [], 0
    while True:
        event = await connection.receive()
        if isinstance(event, h11.EndOfMessage):
            return b''.join(chunks)
        if not isinstance(event, h11.Data):
            raise ConnectionBroken('closed within an answer')
        chunks.append(bytes(event.data))
        size += len(event.data)
        if size > _MAX_BODY_BYTES:
            raise ConnectionBroken(f'answer of over {_MAX_BODY_BYTES} bytes')
        if reserve is not None and size > _FREE_BODY_BYTES:
            await reserve(min(length or _MAX_BODY_BYTES, _MAX_BODY_BYTES))
            reserve = None
