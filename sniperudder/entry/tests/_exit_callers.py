"""Callers that send requests, drawn from a seed, on one connection."""

import asyncio
import random
import socket

import h11

from sniperudder.entry.tests import _exit_records

__all__ = ['HOLD_S', 'Caller']

# Shortest and longest time for which the loop is held, seconds.
HOLD_S = 0.1, 0.4

# Part of the limit for unused connections after which callers use none again.
_REUSE_SHARE = 0.8

_READ_BYTES = 65_536

# Time past its own within which a request must have ended, seconds.
_LATE_S = 1.5

# Time within which an instance has read what was sent, seconds.
_READING_S = 0.03

_ROUTES = ('stream', 'stream', 'stream', 'once', 'safe', 'safe', 'unsafe')


async def _read_bytes(reader):
    """Read what has arrived, also where the connection was reset later."""
    try:
        return await reader.read(_READ_BYTES)
    except OSError:
        data = bytes(reader._buffer)
        reader._buffer.clear()
        if not data:
            raise
        return data


def _has_ended(sock):
    """Return whether the other side has closed a connection."""
    sock.setblocking(False)
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True


class _SocketWriter:
    """Sends what the loop does not know of yet."""

    def __init__(self, sock):
        self._sock = sock

    def write(self, data):
        self._sock.sendall(data)


class Caller:
    """A caller with one connection.

    Parameters
    ----------
    case : Case
    number : int
    """

    def __init__(self, case, number):
        self._case = case
        self._number = number
        self._rng = random.Random(f'{case.seed} caller {number}')

    async def converse(self, after_s):
        """Send some requests on one connection."""
        rng = self._rng
        await asyncio.sleep(after_s)
        member = rng.choice(self._case.members)
        host, _, port = member.settings.callers_address.rpartition(':')
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return
        count, pipelined = rng.choice((1, 1, 2, 3)), rng.random() < 0.3
        pending, sent, before, hold_s = b'', [], None, 0.0
        try:
            for n in range(count):
                request = self._draw_request(
                    f'{self._case.seed}-{self._number}-{n}'
                )
                request.instance, request.follows = member, before
                request.address = writer.get_extra_info('sockname')
                request.expects &= not pipelined
                before = request
                self._case.requests.append(request)
                http = h11.Connection(h11.CLIENT)
                await self._send(request, http, writer)
                self._case.hold(hold_s)
                sent.append((request, http))
                if pipelined and n < count - 1:
                    continue
                while sent:
                    request, http = sent.pop(0)
                    if pending:
                        http.receive_data(pending)
                    await self._read(request, http, reader, writer)
                    pending = http.trailing_data[0]
                    if request.outcome != 'whole' or request.announces_close:
                        return
                hold_s = await self._pause(member)
                if reader.at_eof() or hold_s is None:
                    return
        finally:
            for unread, _ in sent:
                unread.outcome = 'left' if request.outcome == 'left' else 'cut'
                unread.ended_at = self._case.now()
            writer.close()

    async def _pause(self, member):
        """Wait before the next request.

        Returns
        -------
        float or None
            Time for which the loop is held after it is sent, seconds. None if
            a limit has changed, and the connection is not to be used again.
        """
        rng = self._rng
        if rng.random() < 0.75:
            await asyncio.sleep(rng.uniform(0.0, 0.25))
            return 0.0
        pause_s = member.idle_timeout_s * _REUSE_SHARE * rng.uniform(0.7, 1.0)
        hold_s = rng.uniform(*HOLD_S) if rng.random() < 0.4 else 0.0
        await asyncio.sleep(pause_s)
        return (
            hold_s if pause_s <= member.idle_timeout_s * _REUSE_SHARE else None
        )

    async def arrive_held(self, member, after_s, hold_s):
        """Open a connection, and send a request right before the loop is held.

        Parameters
        ----------
        member : PlayedMember
        after_s : float
            Time until the request is sent, seconds. The connection is opened
            half of the times before, else with it.
        hold_s : float
        """
        opens_early = self._rng.random() < 0.5
        if not opens_early:
            await asyncio.sleep(after_s)
        host, _, port = member.settings.callers_address.rpartition(':')
        try:
            sock = socket.create_connection((host, int(port)))
        except OSError:
            return
        if opens_early:
            await asyncio.sleep(after_s)
        if _has_ended(sock):
            sock.close()
            return
        request = self._draw_request(f'{self._case.seed}-{self._number}')
        request.body, request.expects = b'', False
        request.instance, request.address = member, sock.getsockname()
        self._case.requests.append(request)
        http = h11.Connection(h11.CLIENT)
        await self._send(request, http, _SocketWriter(sock))
        self._case.hold(hold_s)
        reader, writer = await asyncio.open_connection(sock=sock)
        try:
            await self._read(request, http, reader, writer)
        finally:
            writer.close()

    def _draw_request(self, request_id):
        route = self._rng.choice(_ROUTES)
        method = 'POST'
        if route == 'safe':
            method = self._rng.choice(('GET', 'HEAD', 'POST'))
        size = self._rng.choice((0, 10, 10, 3_000, 90_000))
        body = b'b' * size if method == 'POST' else b''
        wait_s = self._rng.uniform(2.0, 4.0)
        if self._rng.random() < 0.15:
            wait_s = self._rng.uniform(0.3, 0.8)
        request = _exit_records.Request(
            request_id, route, method, body, wait_s
        )
        if self._rng.random() < 0.1:
            request.leaves_after_s = self._rng.choice(
                (0.0, self._rng.random())
            )
        request.expects = bool(body) and self._rng.random() < 0.2
        return request

    async def _send(self, request, http, writer):
        headers = [
            ('Host', 'shop.example'),
            ('X-Sniperudder-Request-Id', request.id),
            ('X-Sniperudder-Request-Deadline', f'{request.wait_s * 1e3:.0f}'),
            ('Authorization', 'Token key-1'),
        ]
        if request.body and self._rng.random() < 0.2:
            headers.append(('Transfer-Encoding', 'chunked'))
        elif request.method == 'POST':
            headers.append(('Content-Length', str(len(request.body))))
        if request.expects:
            headers.append(('Expect', '100-continue'))
        target = f'/{request.route}/a'
        head = h11.Request(
            method=request.method, target=target, headers=headers
        )
        request.sent_at = self._case.now()
        writer.write(http.send(head))
        if not request.expects:
            await self._send_body(request, http, writer)

    async def _send_body(self, request, http, writer):
        size = max(len(request.body) // self._rng.randint(1, 4), 1)
        for start in range(0, len(request.body), size):
            piece = request.body[start : start + size]
            is_paused = start and self._rng.random() < 0.05
            await asyncio.sleep(
                _READING_S if is_paused else self._rng.choice((0.0, 0.03))
            )
            hold_s = 0.0
            if is_paused:
                limit_s = self._get_idle_timeout_s(request)
                share = _REUSE_SHARE * self._rng.uniform(0.7, 1.0)
                await asyncio.sleep(limit_s * share - _READING_S)
                hold_s = self._rng.uniform(*HOLD_S)
            now = self._case.now()
            # The loop of the caller may have been held as well.
            silence_s = now - request.sent_at
            request.is_late |= silence_s >= self._get_idle_timeout_s(request)
            request.sent_at = now
            writer.write(http.send(h11.Data(data=piece)))
            if start + size >= len(request.body):
                writer.write(http.send(h11.EndOfMessage()))
            self._case.hold(hold_s)
        if not request.body:
            writer.write(http.send(h11.EndOfMessage()))
        request.is_sent = True

    def _get_idle_timeout_s(self, request):
        """Return the limit that applies to a request that is being sent."""
        connection = request.instance.connections.get(request.address)
        return (connection or request.instance).idle_timeout_s

    async def _read(self, request, http, reader, writer):
        """Read the answer to a request, unless the caller leaves."""
        wait_s = request.wait_s + _LATE_S
        if request.leaves_after_s is not None:
            wait_s = request.leaves_after_s
        request.outcome = 'cut'
        try:
            async with asyncio.timeout(wait_s) as timeout:
                while request.outcome == 'cut':
                    event = http.next_event()
                    if event is h11.NEED_DATA:
                        http.receive_data(await _read_bytes(reader))
                    elif isinstance(event, h11.InformationalResponse):
                        await self._send_body(request, http, writer)
                        if request.leaves_after_s is None:
                            now = asyncio.get_running_loop().time()
                            timeout.reschedule(now + wait_s)
                    elif isinstance(event, h11.Response):
                        request.status = event.status_code
                        request.headers = {
                            name.decode(): value.decode()
                            for name, value in event.headers
                        }
                    elif isinstance(event, h11.Data):
                        request.answer += bytes(event.data)
                    elif isinstance(event, h11.EndOfMessage):
                        request.outcome = 'whole'
                    else:
                        break
        except TimeoutError:
            left = request.leaves_after_s is not None
            request.outcome = 'left' if left else 'unanswered'
        except (OSError, h11.RemoteProtocolError):
            pass
        request.ended_at = self._case.now()
