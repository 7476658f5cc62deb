"""Random cases of requests beside silences, refusals, changes and restarts.

A case is drawn from a seed, played over loopback sockets, and judged by what
its callers and endpoints saw.
"""

import asyncio
import contextlib
import dataclasses
import random
import socket
import struct
import unittest.mock
import zlib

import h11

from sniperudder.entry import _entry
from sniperudder.entry.tests import _fleets
from sniperudder.entry.tests import _members
from sniperudder import platform
from sniperudder import revisions
from standins import fleet as standins

_READ_BYTES = 65_536
_SILENCE_S = 1.3
_LARGE_BYTES = 150_000
_POLL_S = 0.02
_FRAMING = ('content-length:', 'transfer-encoding:')
_GRACE_S = 1.6
_ACCEPT_S = 0.4

# The instance closes this long before the end of its grace period.
_EXIT_MARGIN_S = 0.2

# Tolerance for times that are measured on a busy machine, seconds.
_CLOCK_SLACK_S = 0.15

# Time past its own within which a request must have ended, seconds.
_LATE_S = 1.5

_ENGINES = (
    ('gpu-1', 'big', (0, 8)),
    ('gpu-2', 'big', (0, 8)),
    ('gpu-3', 'half', (0, 4)),
    ('gpu-4', 'half', (4, 8)),
)
_ROUTES = ('stream', 'stream', 'stream', 'once', 'safe', 'safe', 'unsafe')
_ACTS = 6 * ('whole',) + 5 * ('silent',) + 4 * ('refuse',)
_ACTS += ('stalled', 'stalled', 'break', 'break', 'fail', 'slow')
_KINDS = ('route', 'timeout', 'keys', 'limits', 'idle', 'removed')
_ACTIONS = (*_KINDS, 'several', 'back', 'reload', 'budget', 'stop')
_ACTIONS += ('silence', 'silence', 'leaving', 'rate limit')


@dataclasses.dataclass
class Run:
    """A request at an endpoint, and what the endpoint saw."""

    endpoint: str
    act: str
    began_at: float
    status: int = 0
    end: str = 'open'
    ended_at: float = 0.0
    sent_at: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Request:
    """A request of a caller, and what the caller saw."""

    id: str
    route: str
    method: str
    body: bytes = dataclasses.field(repr=False)
    wait_s: float
    instance: object = dataclasses.field(default=None, repr=False)
    leaves_after_s: float | None = None
    expects: bool = False
    follows: object = dataclasses.field(default=None, repr=False)
    sent_at: float = 0.0
    versions: tuple = (0, 0)
    outcome: str = 'unsent'
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    answer: bytes = dataclasses.field(default=b'', repr=False)
    ended_at: float = 0.0

    @property
    def announces_close(self):
        """Whether its answer says that its connection is closed."""
        return self.headers.get('connection', '').lower() == 'close'


def _read_id(request):
    return standins.read_header(request, 'x-sniperudder-request-id')


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


def list_pieces(request_id, target, body):
    """Return the pieces of the only right answer to a request."""
    rng = random.Random(request_id)
    if target.startswith(('/stream/', '/once/')):
        count = rng.randint(3, 8)
        return [
            f'id: {number}\ndata: {request_id} {number}\n\n'.encode()
            for number in range(1, count + 1)
        ]
    text = f'{request_id} {target} {len(body)} {zlib.crc32(body)} '.encode()
    size = rng.choice((1, 1, 1, _LARGE_BYTES))
    return [text, b'a' * size, b'z' * size]


class PlayedEndpoint(standins.EndpointStandin):
    """An endpoint that plays an act, drawn from the seed, for each request."""

    def __init__(self, case, name, service, accelerator='', layers=None):
        super().__init__(name, service, accelerator=accelerator)
        self.layers = layers
        self.silent_until = 0.0
        self._case = case

    async def respond(self, request, body, http, writer):
        """See base class."""
        await self._pause(writer, 0.0)
        await super().respond(request, body, http, writer)

    async def respond_normally(self, request, http, writer):
        """See base class."""
        body = self.requests[-1][1]
        request_id = _read_id(request)
        runs = self._case.runs.setdefault(request_id, [])
        rng = random.Random(f'{self._case.seed} {request_id} {len(runs)}')
        run = Run(self.id, rng.choice(_ACTS), self._case.now())
        runs.append(run)
        try:
            target = request.target.decode()
            pieces = list_pieces(request_id, target, body)
            await self._play(run, rng, request, pieces, http, writer)
        except OSError:
            if run.end == 'open':
                run.end = 'left'
            raise
        finally:
            run.ended_at = self._case.now()

    async def _play(self, run, rng, request, pieces, http, writer):
        streaming = request.target.startswith((b'/stream', b'/once'))
        last_id = standins.read_header(request, 'last-event-id') or 0
        pieces = pieces[int(last_id) :]
        if run.act == 'refuse':
            run.status, run.end = 503, 'refused'
            retry_after = None
            if rng.random() < 0.3:
                retry_after = f'{rng.uniform(0.1, 0.8):.1f}'
            await self.refuse(retry_after)(request, http, writer)
            return
        run.status = 200
        if run.act == 'fail':
            run.status, pieces = 500, [b'bad']
        elif not streaming and rng.random() < 0.15:
            run.status, pieces = rng.choice((204, 304)), []
        if request.method == b'HEAD':
            pieces = []
        # -1 stands for before the head.
        turn = rng.randint(-1, len(pieces))
        if turn < 0:
            await self._take_turn(run, rng, request, writer)
        write = self._start(run, rng, streaming, request, pieces, http, writer)
        await self._pause(writer, 0.0)
        for index, piece in enumerate(pieces):
            if turn == index:
                await self._take_turn(run, rng, request, writer)
            pause_s = 0.4 if run.act == 'slow' else rng.uniform(0.0, 0.04)
            await self._pause(writer, pause_s)
            write(piece)
            run.sent_at.append(self._case.now())
            await writer.drain()
        if turn == len(pieces):
            await self._take_turn(run, rng, request, writer)
        run.end = 'failed' if run.act == 'fail' else 'whole'
        write(None)

    def _start(self, run, rng, streaming, request, pieces, http, writer):
        """Send the head; return the function that sends a piece, or None."""
        headers = [*standins.make_seal(request), *self.notices]
        without_length = pieces and rng.random() < 0.2
        if streaming:
            headers.append(('Transfer-Encoding', 'chunked'))
        elif run.status not in (204, 304):
            length = sum(len(piece) for piece in pieces)
            headers.append(('Content-Length', str(length)))
        head = h11.Response(status_code=run.status, headers=headers)
        data = http.send(head)
        if without_length:
            lines = data.decode().split('\r\n')
            lines = [i for i in lines if not i.lower().startswith(_FRAMING)]
            data = '\r\n'.join(lines).encode()
        writer.write(data)

        def send(piece):
            if without_length and piece is None:
                raise OSError('the end of an answer without length')
            event = h11.EndOfMessage() if piece is None else h11.Data(piece)
            writer.write(piece if without_length else http.send(event))

        return send

    async def _take_turn(self, run, rng, request, writer):
        """Fall silent or break off, as the act says."""
        if run.act == 'break':
            run.end = 'broke'
            # Close with a reset, which no answer without length survives.
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            writer.transport.abort()
            raise OSError('broken off by the act')
        silence_s = rng.uniform(0.2, _SILENCE_S)
        path = standins.read_header(request, 'x-sniperudder-hop-count') or ''
        if run.act == 'silent':
            if rng.random() < 0.5:
                self.silent_until = self._case.now() + silence_s
            await self._pause(writer, silence_s)
        elif run.act == 'stalled':
            address = path.split(',')[-1].partition('=')[0]
            entry = {'id': _read_id(request), 'address': address}
            self.stalled.append(entry)
            try:
                await self._pause(writer, silence_s)
            finally:
                self.stalled.remove(entry)

    async def _pause(self, writer, silence_s):
        """Wait, and until the silence of this endpoint is over as well."""
        ends_at = self._case.now() + silence_s
        while True:
            if self.has_left(writer):
                raise ConnectionError('the caller left')
            left_s = max(ends_at, self.silent_until) - self._case.now()
            if left_s <= 0.0:
                return
            await asyncio.sleep(min(left_s, _POLL_S))


class _PlayedMember(_members.Member):
    """A real instance; a light one is given its tables by hand."""

    def __init__(self, case, name, is_first_start=True):
        super().__init__(name, case.store.address, is_first_start)
        self.stop_at = None
        self._case = case
        bounds = dataclasses.replace(self.settings.bounds, grace_s=_GRACE_S)
        self.settings = dataclasses.replace(self.settings, bounds=bounds)
        self.instance = _entry.Entry(
            self.settings, lambda: self.settings, self.journal
        )

    async def start(self):
        """Start the instance."""
        instance = self.instance
        instance._T.instances_known = True
        if not self._case.light:
            await instance.start()
            return
        await instance._caller_server.start(self.settings.callers_address)

        async def close():
            instance._caller_server.close()

        instance.close = close
        instance._endpoint_list.apply(self._read_rows('servers'), True, False)
        self.apply_configuration()

    def apply_configuration(self):
        """Apply the configuration that the store holds."""
        self.instance._apply_configuration(self._read_rows('op'), False, False)

    def _read_rows(self, table):
        return [
            platform.StoredRow(key, value, revisions.Revision(1, version))
            for (name, key), (value, version) in self._case.store.rows.items()
            if name == table
        ]


class Case:
    """A random case, with a number of instances.

    Attributes
    ----------
    runs : dict of str to list of Run
        By request id.
    changes : list of (float, str)
        What was done, and when.
    """

    def __init__(self, seed, count, light=False):
        self.seed = seed
        self.light = light
        self.runs = {}
        self.requests = []
        self.changes = []
        self.store = standins.StoreStandin()
        self._rng = random.Random(f'{seed} {count}')
        self._count = count
        self._members = []
        self._all_members = []
        self._endpoints = []
        self._timeouts = []
        self._began_at = 0.0

    def now(self):
        """Return the time since the case began, seconds."""
        return asyncio.get_running_loop().time() - self._began_at

    async def play(self, conversations):
        """Play the case with a number of connections of callers.

        Returns
        -------
        list of str
            What is wrong.
        """
        rng = self._rng
        async with self._run():
            tasks = [
                self._converse(number, rng.uniform(0.0, 2.2))
                for number in range(conversations)
            ]
            for _ in range(rng.randint(3, 7)):
                action = rng.choice(_ACTIONS)
                tasks.append(self._act(action, rng.uniform(0.0, 2.5)))
            await asyncio.gather(*tasks)
            await asyncio.sleep(0.3)
        return self._list_faults()

    @contextlib.asynccontextmanager
    async def _run(self):
        self._began_at = asyncio.get_running_loop().time()
        await self.store.start()
        self._endpoints = [
            PlayedEndpoint(self, f'{name}-{number}', name)
            for name in ('desk', 'kiosk')
            for number in range(3)
        ] + [
            PlayedEndpoint(self, name, 'llm', kind, layers)
            for name, kind, layers in _ENGINES
        ]
        try:
            for endpoint in self._endpoints:
                await endpoint.start()
                endpoint.on_order = lambda _, e=endpoint: e.list_in(self.store)
                endpoint.list_in(self.store)
            self._put(self._make_configuration(), 'first')
            for number in range(self._count):
                await self._start_member(f'entry-{number}')
            await _members.wait_until(self._is_ready, _members.START_S)
            self._began_at = asyncio.get_running_loop().time()
            yield
        finally:
            for member in self._all_members:
                await member.instance.close()
            for endpoint in self._endpoints:
                await endpoint.stop()
            await self.store.stop()

    def _is_ready(self):
        return all(
            m.version and m.instance._T.endpoints_known for m in self._members
        )

    async def _start_member(self, name, is_first_start=True):
        member = _PlayedMember(self, name, is_first_start)
        self._all_members.append(member)
        await member.start()
        self._members = [m for m in self._members if m.name != name]
        self._members.append(member)
        return member

    def _make_configuration(self):
        engine = standins.make_engine(accelerators=_fleets.ACCELERATORS)
        configuration = standins.make_configuration(engine=engine)
        kiosk = {**configuration['services'][0], 'name': 'kiosk'}
        configuration['services'].append(kiosk)
        configuration['limits']['header_timeout_ms'] = 1_500
        for route in configuration['routes']:
            if route['name'] in ('stream', 'safe'):
                route['max_attempts'] = self._rng.randint(2, 4)
        return configuration

    def _put(self, configuration, kind):
        timeouts = {
            route['name']: route['timeout_ms'] / 1000
            for route in configuration['routes']
        }
        self._timeouts.append(timeouts)
        configuration['version'] = len(self._timeouts)
        self.changes.append((self.now(), kind))
        self.store.put_json('op', 'config', configuration)
        if self.light:
            loop = asyncio.get_running_loop()
            for member in self._members:
                loop.call_later(
                    self._rng.uniform(0.0, 0.2), member.apply_configuration
                )

    def _change(self, kind):
        """Put a configuration in which one thing has changed."""
        rng, new = self._rng, self._make_configuration()
        if kind == 'route':
            for route in new['routes']:
                route['service'] = rng.choice((route['service'], 'kiosk'))
        elif kind == 'timeout':
            for route in new['routes']:
                route['timeout_ms'] = rng.randint(100, 1_500)
        elif kind == 'keys':
            new['tenants'] = []
        elif kind == 'limits':
            new['limits']['max_body_bytes'] = 500
            new['limits']['max_header_bytes'] = 4_096
        elif kind == 'idle':
            new['limits']['idle_timeout_ms'] = 1_200
        elif kind == 'removed':
            new['routes'] = [rng.choice(new['routes'])]
        self._put(new, kind)

    async def _act(self, action, after_s):
        await asyncio.sleep(after_s)
        rng = self._rng
        member = rng.choice(self._members)
        kinds = {'several': rng.choices(_KINDS, k=3)}
        kinds['back'] = [rng.choice(_KINDS), 'none']
        if action in (*_KINDS, *kinds):
            for kind in kinds.get(action, [action]):
                self._change(kind)
                await asyncio.sleep(0.03)
            return
        self.changes.append((self.now(), action))
        if action == 'reload':
            bounds = member.settings.bounds
            ratio = rng.choice((0.0, 0.5))
            bounds = dataclasses.replace(bounds, retry_ratio=ratio)
            member.settings = dataclasses.replace(
                member.settings, bounds=bounds
            )
            member.instance._reload()
        elif action == 'budget':
            forwarder = member.instance._forwarder
            for service in ('llm', 'desk', 'kiosk'):
                budget = forwarder.get_budget(service)
                budget.set_limits(0.0, 10.0)
                while budget.spend(forwarder.now(), forwarder._get_slack()):
                    pass
        elif action == 'stop' and member.stop_at is None:
            member.stop_at = self.now()
            await member.instance.stop()
            await self._start_member(member.name, is_first_start=False)
        elif action == 'silence':
            service = rng.choice(('llm', 'desk', ''))
            until = self.now() + rng.uniform(0.2, _SILENCE_S)
            for endpoint in self._endpoints:
                if endpoint.service.startswith(service):
                    endpoint.silent_until = until
        elif action == 'leaving':
            rng.choice(self._endpoints).notices = [('Server-Leaving', '1')]
        elif action == 'rate limit':
            limit = f'{rng.uniform(1.0, 9.0):.1f}'
            rng.choice(self._endpoints).notices = [('Server-Limit', limit)]

    async def _converse(self, number, after_s):
        """Send some requests on one connection."""
        rng = random.Random(f'{self.seed} caller {number}')
        await asyncio.sleep(after_s)
        member = rng.choice(self._members)
        host, _, port = member.settings.callers_address.rpartition(':')
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return
        count, pipelined = rng.choice((1, 1, 2, 3)), rng.random() < 0.3
        pending, sent, before = b'', [], None
        try:
            for n in range(count):
                request = self._draw_request(rng, f'{self.seed}-{number}-{n}')
                request.instance, request.follows = member, before
                request.expects &= not pipelined
                before = request
                self.requests.append(request)
                http = h11.Connection(h11.CLIENT)
                await self._send(rng, request, http, writer)
                sent.append((request, http))
                if pipelined and n < count - 1:
                    continue
                while sent:
                    request, http = sent.pop(0)
                    if pending:
                        http.receive_data(pending)
                    await self._read(rng, request, http, reader, writer)
                    pending = http.trailing_data[0]
                    if request.outcome != 'whole' or request.announces_close:
                        return
                await asyncio.sleep(rng.uniform(0.0, 0.25))
        finally:
            for unread, _ in sent:
                unread.outcome = 'left' if request.outcome == 'left' else 'cut'
                unread.ended_at = self.now()
            writer.close()

    def _draw_request(self, rng, request_id):
        route = rng.choice(_ROUTES)
        method = 'POST'
        if route == 'safe':
            method = rng.choice(('GET', 'HEAD', 'POST'))
        size = rng.choice((0, 10, 10, 3_000, 90_000))
        body = b'b' * size if method == 'POST' else b''
        wait_s = rng.uniform(2.0, 4.0)
        if rng.random() < 0.15:
            wait_s = rng.uniform(0.3, 0.8)
        request = Request(request_id, route, method, body, wait_s)
        if rng.random() < 0.1:
            request.leaves_after_s = rng.choice((0.0, rng.random()))
        request.expects = bool(body) and rng.random() < 0.2
        return request

    async def _send(self, rng, request, http, writer):
        headers = [
            ('Host', 'shop.example'),
            ('X-Sniperudder-Request-Id', request.id),
            ('X-Sniperudder-Request-Deadline', f'{request.wait_s * 1e3:.0f}'),
            ('Authorization', 'Token key-1'),
        ]
        if request.body and rng.random() < 0.2:
            headers.append(('Transfer-Encoding', 'chunked'))
        elif request.method == 'POST':
            headers.append(('Content-Length', str(len(request.body))))
        if request.expects:
            headers.append(('Expect', '100-continue'))
        target = f'/{request.route}/a'
        head = h11.Request(
            method=request.method, target=target, headers=headers
        )
        self._mark(request)
        writer.write(http.send(head))
        if not request.expects:
            await self._send_body(rng, request, http, writer)

    async def _send_body(self, rng, request, http, writer):
        size = max(len(request.body) // rng.randint(1, 4), 1)
        for start in range(0, len(request.body), size):
            piece = request.body[start : start + size]
            await asyncio.sleep(rng.choice((0.0, 0.03)))
            self._mark(request)
            writer.write(http.send(h11.Data(data=piece)))
        writer.write(http.send(h11.EndOfMessage()))

    def _mark(self, request):
        """Record that the instance has the request from now on."""
        request.sent_at = self.now()
        version = request.instance.version or 0
        request.versions = version, version

        def record_next():
            request.versions = version, request.instance.version or 0

        asyncio.get_running_loop().call_later(_CLOCK_SLACK_S, record_next)

    async def _read(self, rng, request, http, reader, writer):
        """Read the answer to a request, unless the caller leaves."""
        if request.follows and request.follows.ended_at > request.sent_at:
            self._mark(request)
        wait_s = request.wait_s + _LATE_S
        if request.leaves_after_s is not None:
            wait_s = request.leaves_after_s
        request.outcome = 'cut'
        try:
            async with asyncio.timeout(wait_s):
                while request.outcome == 'cut':
                    event = http.next_event()
                    if event is h11.NEED_DATA:
                        http.receive_data(await _read_bytes(reader))
                    elif isinstance(event, h11.InformationalResponse):
                        await self._send_body(rng, request, http, writer)
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
        request.ended_at = self.now()

    def _list_faults(self):
        faults = [
            f'seed {self.seed}: {member.name}: {subject} {fields}'
            for member in self._all_members
            for event, subject, fields in member.journal.lines
            if event == 'instance:fault'
        ]
        for request in self.requests:
            found = _Judgement(self, request).list_faults()
            if found:
                faults.append(self._describe(request, found))
        return faults

    def _describe(self, request, found):
        lines = [
            f'seed {self.seed}, {self._count} instances: {found}',
            f'  caller: {request} {request.answer[:400]}',
            f'  changes: {self.changes}',
        ]
        lines += [f'  endpoint: {r}' for r in self.runs.get(request.id, ())]
        lines += [f'  log: {line}' for line in self.list_lines(request)]
        return '\n'.join(lines)

    def list_lines(self, request):
        """Return the lines of all journals about a request."""
        return [
            line
            for member in self._all_members
            for line in member.journal.lines
            if line[1] == request.id
        ]

    def get_time_s(self, request):
        """Return the shortest time that the request may have had, seconds."""
        # The versions in force about the arrival of the request.
        first, last = request.versions
        times = [
            timeouts[request.route]
            for timeouts in self._timeouts[max(first - 1, 0) : last]
            if request.route in timeouts
        ]
        return min([request.wait_s, *times])


class _Judgement:
    """What is wrong with the end of one request."""

    def __init__(self, case, request):
        self._case = case
        self._request = request
        self._runs = case.runs.get(request.id, [])
        self._cuts = [
            fields['reason']
            for event, _, fields in case.list_lines(request)
            if event == 'request:cut'
        ]
        self._broke = any(r.end in ('broke', 'failed') for r in self._runs)
        elapsed_s = request.ended_at - request.sent_at
        self._is_over = elapsed_s > case.get_time_s(request) - _CLOCK_SLACK_S
        target = f'/{request.route}/a'
        pieces = list_pieces(request.id, target, request.body)
        self._whole = b''.join(pieces)

    def list_faults(self):
        """Return what is wrong, as a list of str."""
        request, cuts = self._request, self._cuts
        begun = [run for run in self._runs if run.end != 'refused']
        faults = []
        if request.route in ('unsafe', 'once') and len(begun) > 1:
            faults.append('ran twice')
        if request.outcome == 'whole':
            faults += self._judge_answer(begun)
            if cuts:
                faults.append('whole, and a line of a cut')
            return faults
        if request.outcome == 'cut':
            faults += self._judge_cut()
        elif request.outcome != 'left':
            faults.append('neither answered nor closed in time')
        elif cuts[1:] or not set(cuts) <= self._list_lawful():
            faults.append(f'left, and cut for {cuts}')
        if request.status == 200 and not self._whole.startswith(
            request.answer
        ):
            faults.append('pieces missing, twice or of another request')
        return faults

    def _judge_answer(self, begun):
        request, status = self._request, self._request.status
        if 'x-sniperudder-response-seal' in request.headers:
            if status not in {run.status for run in self._runs}:
                return ['a status that no endpoint gave']
            expected = b'bad' if status == 500 else self._whole
            if request.method == 'HEAD' or status in (204, 304):
                expected = b''
            return [] if request.answer == expected else ['another body']
        if status == 502:
            return self._judge_break()
        kinds = {401: 'keys', 404: 'removed', 413: 'limits'}
        is_lawful = {
            503: not begun,
            504: self._is_over,
            **{
                own: any(done == kind for _, done in self._case.changes)
                for own, kind in kinds.items()
            },
        }
        return [] if is_lawful.get(status) else [f'unlawful status {status}']

    def _judge_cut(self):
        request, before = self._request, self._request.follows
        stop_at = request.instance.stop_at
        if not self._runs and not self._cuts and not request.status:
            was_last = before is not None and (
                before.outcome != 'whole' or before.announces_close
            )
            stopped = stop_at is not None and request.ended_at >= stop_at
            unread = was_last or stopped
            return [] if unread else ['closed without an answer']
        if len(self._cuts) != 1 or self._cuts[0] not in self._list_lawful():
            return [f'unlawful cut: {self._cuts}']
        return self._judge_break() if self._cuts == ['broken off'] else []

    def _list_lawful(self):
        """Return the lawful reasons of a cut of this request."""
        request, stop_at = self._request, self._request.instance.stop_at
        # A reset may discard a head that was sent.
        is_midway = request.status != 0 or request.outcome == 'left'
        if request.route in ('stream', 'once'):
            is_midway |= any(run.sent_at for run in self._runs)
        closes_at = float('inf')
        if stop_at is not None:
            closes_at = stop_at + _GRACE_S - _EXIT_MARGIN_S - _CLOCK_SLACK_S
        reasons = {
            'caller left': request.outcome == 'left',
            'out of time': self._is_over and is_midway,
            'broken off': self._broke and is_midway,
            'stopped': request.ended_at >= closes_at,
        }
        return {reason for reason, is_lawful in reasons.items() if is_lawful}

    def _judge_break(self):
        """Judge an end for which only endpoints may be responsible."""
        if not self._broke:
            return ['failed, but no endpoint broke off']
        given_up = [
            run.endpoint
            for run in self._runs
            if run.end == 'left' and not self._is_superseded(run)
        ]
        return [f'given up at {given_up}'] if given_up else []

    def _is_superseded(self, left):
        """Return whether another run delivered something beside one."""
        return any(
            left.began_at <= sent_at <= left.ended_at
            for run in self._runs
            if run is not left
            for sent_at in run.sent_at
        )


def play(seed, count, conversations, light=False):
    """Play a case; return what is wrong, as a list of str."""
    with unittest.mock.patch.object(
        _entry, '_ACCEPT_AFTER_SIGTERM_S', _ACCEPT_S
    ):
        return asyncio.run(Case(seed, count, light).play(conversations))
