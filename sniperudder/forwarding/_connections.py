"""Connections to endpoints and to the platform, and their pool."""

import asyncio
import collections

import h11

from sniperudder.forwarding import _sockets

# Largest block of response headers; endpoints send a few hundred bytes.
_MAX_HEADER_BYTES = 65_536

# Unread bytes at which reading from the peer pauses, and goes on.
_READ_PAUSE_BYTES = 262_144
_READ_RESUME_BYTES = 65_536

# Longest time to establish a connection: one round trip takes a few ms,
# and a lost opening packet is repeated after a second.
_CONNECT_TIMEOUT_S = 0.5

# Idle time after which a channel is closed where its peer tells none.
_DEFAULT_PEER_IDLE_S = 4.0

# Share of the peer's idle timeout for which a channel is used again: the
# peer's clock starts earlier by the answer's way.
_IDLE_TIMEOUT_FRACTION = 0.7

# Idle channels kept for one address.
_MAX_IDLE_PER_ADDRESS = 64


class ConnectionBroken(OSError):
    """A channel ended, or carried bytes that are no HTTP."""


class ClientConnection(asyncio.Protocol):
    """One client connection that carries one request at a time.

    Attributes
    ----------
    address : str
    used : bool
        Whether it has carried a request before.
    idle_until : float
        Loop time until which it may be used again.
    """

    def __init__(self, address):
        self.address = address
        self.used = False
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
        self._request = None
        self._body = None

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
            # Bytes that belong to no request.
            self._has_stray_data = True
            return
        self._unread_bytes += len(data)
        if self._unread_bytes > _READ_PAUSE_BYTES:
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
        """Tell whether a further request may be sent."""
        return not (
            self._ended
            or self._has_stray_data
            or now > self.idle_until
            or self._transport.is_closing()
        )

    def send_request(self, method, target, headers, body):
        """Send a whole request.

        Raises
        ------
        ChannelBroken
        """
        self._request = h11.Request(
            method=method, target=target, headers=headers
        )
        self._body = body
        try:
            self._transport.write(self._encode_request())
        except h11.LocalProtocolError as error:
            raise ConnectionBroken(f'not sendable: {error}') from error

    def is_flushed(self):
        """Tell whether all bytes left for the network."""
        return self._transport.get_write_buffer_size() == 0

    async def receive(self, timeout_s=None):
        """Return the next h11 event of the answer.

        Parameters
        ----------
        timeout_s : float, optional

        Raises
        ------
        ChannelBroken
            If the answer ended early or is no HTTP.
        TimeoutError
            If nothing came in time; the channel stays usable.
        """
        while True:
            event = self._parse()
            if event is not h11.NEED_DATA:
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
            await self._wait(timeout_s)

    def skip_response(self):
        """Prepare for an answer behind one that belongs to no request."""
        remainder, _ = self._http.trailing_data
        self._http = self._create_parser()
        self._encode_request()
        if remainder:
            self._http.receive_data(remainder)

    def prepare_reuse(self):
        """Tell whether the channel may carry another request."""
        if self._ended or not self.is_flushed():
            return False
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
        """Close the connection at once."""
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
        except h11.RemoteProtocolError as error:
            raise ConnectionBroken(f'no HTTP: {error}') from error
        if isinstance(event, h11.Data):
            self._unread_bytes = max(0, self._unread_bytes - len(event.data))
            if self._unread_bytes < _READ_RESUME_BYTES:
                self._transport.resume_reading()
        elif isinstance(event, h11.EndOfMessage):
            self._unread_bytes = 0
        return event

    async def _wait(self, timeout_s):
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            if timeout_s is None:
                await self._waiter
            else:
                async with asyncio.timeout(timeout_s):
                    await self._waiter
        finally:
            self._waiter = None

    def _wake_receiver(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class ChannelPool:
    """Opens channels and keeps idle ones for further requests."""

    __slots__ = ('_idle', 'opened')

    def __init__(self):
        self._idle = {}
        self.opened = 0

    async def acquire(self, address, timeout_s=_CONNECT_TIMEOUT_S):
        """Return a channel on which nothing is under way.

        Raises
        ------
        OSError
            If none could be opened in time; nothing was sent.
        """
        loop = asyncio.get_running_loop()
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if connection.is_usable(loop.time()):
                return connection
            connection.close()
        host, _, port = address.rpartition(':')
        self.opened += 1
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: ClientConnection(address), host, int(port)
            )
        return connection

    def release(self, connection, idle_timeout_s=None):
        """Take back a channel whose answer is complete.

        Parameters
        ----------
        channel : Channel
        keep_s : float, optional
            Idle timeout of the peer, seconds; 0 where it closes at once.
        """
        if idle_timeout_s == 0 or not connection.prepare_reuse():
            connection.close()
            return
        now = asyncio.get_running_loop().time()
        idle_timeout_s = (
            _DEFAULT_PEER_IDLE_S
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
        """Close channels that nobody used for too long."""
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


def read_idle_timeout_s(headers):
    """Return the idle timeout that an answer's headers tell.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)

    Returns
    -------
    float or None
        Seconds; 0 where the peer closes, None where it tells nothing.
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


async def call(
    pool, address, method, target, body, timeout_s, extra_headers=()
):
    """Make one call with a JSON body and read the whole answer.

    Parameters
    ----------
    pool : ChannelPool
    address, method, target : str
    body : bytes or None
    timeout_s : float
        Longest wait for the whole answer, seconds.
    more_headers : iterable of (bytes, bytes)

    Returns
    -------
    status : int
    body : bytes

    Raises
    ------
    OSError
        If no whole answer came in time.
    """
    connection = None
    try:
        async with asyncio.timeout(timeout_s):
            connection = await pool.acquire(address)
            headers = [('Host', address), *extra_headers]
            if body is not None:
                headers += [
                    ('Content-Type', 'application/json'),
                    ('Content-Length', str(len(body))),
                ]
            connection.send_request(method, target, headers, body)
            head = await receive_head(connection)
            answer = await receive_body(connection)
    except BaseException:
        if connection is not None:
            connection.close()
        raise
    pool.release(connection, read_idle_timeout_s(head.headers))
    return head.status_code, answer


async def receive_head(connection, timeout_s=None):
    """Return the h11 response that begins an answer."""
    while True:
        event = await connection.receive(timeout_s)
        if isinstance(event, h11.Response):
            return event
        if not isinstance(event, h11.InformationalResponse):
            raise ConnectionBroken(f'no answer: {type(event).__name__}')


async def receive_body(connection):
    """Return the whole body of an answer whose head was read."""
    chunks = []
    while True:
        event = await connection.receive()
        if isinstance(event, h11.EndOfMessage):
            return b''.join(chunks)
        if not isinstance(event, h11.Data):
            raise ConnectionBroken('closed within an answer')
        chunks.append(bytes(event.data))
