"""Connections to endpoints and to the platform, and their pool."""

import asyncio
import collections

import h11

from sniperudder.forwarding import _sockets

# Largest block of response headers; endpoints send a few hundred bytes.
_MAX_HEAD_BYTES = 65_536

# Unread bytes at which reading from the peer pauses, and goes on.
_PAUSE_BYTES = 262_144
_RESUME_BYTES = 65_536

# Longest time to establish a connection: one round trip takes a few ms,
# and a lost opening packet is repeated after a second.
_CONNECT_TIMEOUT_S = 0.5

# Idle time after which a channel is closed where its peer tells none.
_DEFAULT_KEEP_S = 4.0

# Share of the peer's idle timeout for which a channel is used again: the
# peer's clock starts earlier by the answer's way.
_KEEP_SHARE = 0.7

# Idle channels kept for one address.
_MAX_IDLE = 64


class ChannelBroken(OSError):
    """A channel ended, or carried bytes that are no HTTP."""


class Channel(asyncio.Protocol):
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
        self._dirty = False
        self._unread = 0
        self._request = None
        self._body = None

    @staticmethod
    def _create_parser():
        return h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )

    def connection_made(self, transport):
        """See base class."""
        self._transport = transport
        _sockets.set_probing(transport.get_extra_info('socket'))

    def data_received(self, data):
        """See base class."""
        if self._http.our_state is h11.IDLE:
            # Bytes that belong to no request.
            self._dirty = True
            return
        self._unread += len(data)
        if self._unread > _PAUSE_BYTES:
            self._transport.pause_reading()
        self._http.receive_data(data)
        self._wake()

    def eof_received(self):
        """See base class."""
        self._ended = True
        self._wake()

    def connection_lost(self, exc):
        """See base class."""
        self._error = exc
        self._ended = True
        self._writable.set()
        self._wake()

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
            or self._dirty
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
            raise ChannelBroken(f'not sendable: {error}') from error

    def has_sent(self):
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
                raise ChannelBroken(f'reset: {self._error}')
            if self._ended:
                if self._http.their_state is h11.SEND_RESPONSE:
                    raise ChannelBroken('closed before the answer')
                self._http.receive_data(b'')
                event = self._parse()
                if event is h11.NEED_DATA:
                    raise ChannelBroken('closed')
                return event
            await self._wait(timeout_s)

    def skip_answer(self):
        """Prepare for an answer behind one that belongs to no request."""
        rest, _ = self._http.trailing_data
        self._http = self._create_parser()
        self._encode_request()
        if rest:
            self._http.receive_data(rest)

    def finish_request(self):
        """Tell whether the channel may carry another request."""
        if self._ended or not self.has_sent():
            return False
        rest, _ = self._http.trailing_data
        if rest:
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
            raise ChannelBroken(f'no HTTP: {error}') from error
        if isinstance(event, h11.Data):
            self._unread = max(0, self._unread - len(event.data))
            if self._unread < _RESUME_BYTES:
                self._transport.resume_reading()
        elif isinstance(event, h11.EndOfMessage):
            self._unread = 0
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

    def _wake(self):
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
            channel = idle.pop()
            if channel.is_usable(loop.time()):
                return channel
            channel.close()
        host, _, port = address.rpartition(':')
        self.opened += 1
        async with asyncio.timeout(timeout_s):
            _, channel = await loop.create_connection(
                lambda: Channel(address), host, int(port)
            )
        return channel

    def release(self, channel, keep_s=None):
        """Take back a channel whose answer is complete.

        Parameters
        ----------
        channel : Channel
        keep_s : float, optional
            Idle timeout of the peer, seconds; 0 where it closes at once.
        """
        if keep_s == 0 or not channel.finish_request():
            channel.close()
            return
        now = asyncio.get_running_loop().time()
        keep_s = _DEFAULT_KEEP_S if keep_s is None else keep_s * _KEEP_SHARE
        channel.idle_until = now + keep_s
        idle = self._idle.setdefault(channel.address, collections.deque())
        idle.append(channel)
        while len(idle) > _MAX_IDLE or not idle[0].is_usable(now):
            idle.popleft().close()
            if not idle:
                return

    def close_idle(self):
        """Close channels that nobody used for too long."""
        now = asyncio.get_running_loop().time()
        for address in list(self._idle):
            kept = collections.deque()
            for channel in self._idle[address]:
                if channel.is_usable(now):
                    kept.append(channel)
                else:
                    channel.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]


def read_keep_s(headers):
    """Return the idle timeout that an answer's headers tell.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)

    Returns
    -------
    float or None
        Seconds; 0 where the peer closes, None where it tells nothing.
    """
    keep_s = None
    for name, value in headers:
        if name == b'connection' and b'close' in value.lower():
            return 0
        if name == b'keep-alive':
            for item in value.split(b','):
                word, _, number = item.strip().partition(b'=')
                if word.lower() == b'timeout' and number.isdigit():
                    keep_s = float(number)
    return keep_s


async def call(
    pool, address, method, target, body, timeout_s, more_headers=()
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
    channel = None
    try:
        async with asyncio.timeout(timeout_s):
            channel = await pool.acquire(address)
            headers = [('Host', address), *more_headers]
            if body is not None:
                headers += [
                    ('Content-Type', 'application/json'),
                    ('Content-Length', str(len(body))),
                ]
            channel.send_request(method, target, headers, body)
            head = await receive_head(channel)
            answer = await receive_body(channel)
    except BaseException:
        if channel is not None:
            channel.close()
        raise
    pool.release(channel, read_keep_s(head.headers))
    return head.status_code, answer


async def receive_head(channel, timeout_s=None):
    """Return the h11 response that begins an answer."""
    while True:
        event = await channel.receive(timeout_s)
        if isinstance(event, h11.Response):
            return event
        if not isinstance(event, h11.InformationalResponse):
            raise ChannelBroken(f'no answer: {type(event).__name__}')


async def receive_body(channel):
    """Return the whole body of an answer whose head was read."""
    pieces = []
    while True:
        event = await channel.receive()
        if isinstance(event, h11.EndOfMessage):
            return b''.join(pieces)
        if not isinstance(event, h11.Data):
            raise ChannelBroken('closed within an answer')
        pieces.append(bytes(event.data))
