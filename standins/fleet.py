"""The users' platform on loopback: store, engines and plain endpoints.

Speaks the published protocol as far as the tests need it, on the loop of
the test itself; no process and no thread.
"""

import asyncio
import base64
import collections
import json
import urllib.parse

import h11

__all__ = [
    'EndpointStandin',
    'StoreStandin',
    'make_configuration',
    'make_engine',
    'make_seal',
    'read_header',
    'send_request',
    'write_answer',
]

_HOST = '127.0.0.1'
_READ_BYTES = 65_536
_SEAL = 'x-sniperudder-response-seal'
_REQUEST_ID = 'x-sniperudder-request-id'
_NOT_RUN = 'x-sniperudder-not-executed'


class _Server:
    """Reads requests with h11 and gives each to `answer`.

    Attributes
    ----------
    address : str
    accepted : int
        Connections so far.
    """

    def __init__(self):
        self.address = ''
        self.accepted = 0
        self._server = None
        self._readers = {}

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, _HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{_HOST}:{port}'

    def refuse_connections(self):
        """Accept no further connection; open ones go on."""
        self._server.close()

    async def stop(self):
        """Close all connections."""
        self._server.close()
        for writer in list(self._readers):
            writer.transport.abort()

    def has_left(self, writer):
        """Tell whether the other side closed a connection."""
        return self._readers[writer].at_eof()

    async def _serve(self, reader, writer):
        self.accepted += 1
        self._readers[writer] = reader
        http = h11.Connection(h11.SERVER)
        try:
            while True:
                request, body = await _read_message(http, reader)
                if request is None:
                    return
                await self.answer(request, body, http, writer)
                if http.our_state is not h11.DONE:
                    return
                http.start_next_cycle()
        except (OSError, h11.RemoteProtocolError, asyncio.CancelledError):
            # The last comes with the end of the test's loop.
            return
        finally:
            del self._readers[writer]
            writer.close()

    async def answer(self, request, body, http, writer):
        """Answer one request; leaving it open closes the connection."""
        raise NotImplementedError


class StoreStandin(_Server):
    """The platform's store: rows under versions, and a feed of changes.

    Attributes
    ----------
    rows : dict of (str, str) to (bytes, int)
        Value and version by table and key.
    version : int
    oldest : int
        Changes up to this version are forgotten.
    failing : int or None
        Status of every answer while it is set.
    calls : list of str
        Paths of the calls so far.
    silent : bool
        Whether calls are taken and never answered.
    delay_s : float
        Time until a call is answered, seconds.
    """

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.version = 1
        self.oldest = 0
        self.failing = None
        self.silent = False
        self.delay_s = 0.0
        self.calls = []
        self._changes = []
        self._changed = asyncio.Event()

    def put(self, table, key, value):
        """Set a row, or remove it where the value is None."""
        self.version += 1
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = value, self.version
        self._changes.append((self.version, table, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def put_json(self, table, key, value):
        """Set a row to a value as JSON."""
        self.put(table, key, json.dumps(value).encode())

    def forget_history(self):
        """Drop all changes so far, and end the calls that wait."""
        self.oldest = self.version
        self._changes.clear()
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, request, body, http, writer):
        """See base class."""
        path, _, query = request.target.decode().partition('?')
        self.calls.append(path)
        asked = dict(urllib.parse.parse_qsl(query))
        if self.silent:
            await asyncio.Event().wait()
        await asyncio.sleep(self.delay_s)
        if self.failing is not None:
            status, value = self.failing, {}
        elif path == '/rows-get':
            status, value = 200, self._get(asked)
        elif path == '/rows-feed':
            status, value = await self._follow(asked)
        else:
            status, value = self._transact(json.loads(body))
        value = {'row_version': self.version, 'now_ms': 0, **value}
        write_answer(http, writer, status, json.dumps(value).encode(), [])

    def _get(self, asked):
        rows = [
            _make_row(table, key, value, version)
            for (table, key), (value, version) in sorted(self.rows.items())
            if table == asked['table'] and key >= asked.get('from', '')
        ]
        return {'rows': rows, 'more_pages': False}

    async def _follow(self, asked):
        after = int(asked['after'])
        end = asyncio.get_running_loop().time() + int(asked['wait_ms']) / 1000
        while True:
            if after < self.oldest:
                return 410, {}
            rows = [
                _make_row(table, key, value, version)
                for version, table, key, value in self._changes
                if version > after and table == asked['table']
            ]
            left = end - asyncio.get_running_loop().time()
            if rows or left <= 0:
                return 200, {'rows': rows}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _transact(self, call):
        for row in call['expected_rev']:
            _, version = self.rows.get((row['table'], row['key']), (b'', 0))
            if version != row['row_version']:
                return 412, {'rows': []}
        for row in call['set_keys']:
            value = base64.b64decode(row['value'])
            self.put(row['table'], row['key'], value)
        for row in call['remove']:
            self.put(row['table'], row['key'], None)
        return 200, {}


class EndpointStandin(_Server):
    """An endpoint: plain, or an engine that holds layers.

    Attributes
    ----------
    id, service : str
    data_centre, card : str
    layers : (int, int) or None
        Range that it holds; orders set it.
    requests : list of (h11.Request, bytes)
        Those that it ran.
    orders : list of dict
    script : collections.deque of callable
        Each serves one request in place of the usual answer: a coroutine
        function of the request, the h11 connection and the writer.
    events : int
        Length of a stream.
    event_s : float
        Seconds between two events.
    stalled : list of dict
        What reports tell of stalled requests.
    on_order : callable or None
        Told each order.
    order_s : float
        Time until an order is answered, seconds.
    late_orders_s : collections.deque of float
        Times after which the next orders are carried out, without an
        answer, seconds.
    refused_orders : list of dict
    born : int
        Start of its run.
    misdirected : list of str
        Targets of what was meant for another endpoint.
    """

    def __init__(self, name, service, data_centre='north', card=''):
        super().__init__()
        self.id = name
        self.service = service
        self.data_centre = data_centre
        self.card = card
        self.layers = None
        self.requests = []
        self.orders = []
        self.script = collections.deque()
        self.events = 3
        self.event_s = 0.0
        self.stalled = []
        self.on_order = None
        self.late_orders_s = collections.deque()
        self.refused_orders = []
        self.order_s = 0.0
        self.misdirected = []
        self.born = 1

    def list_in(self, store, state='ready'):
        """Write this endpoint's entry to the store."""
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': self.data_centre,
            'version': 'v1',
            'slots': 8,
            'state': state,
            'cold_left_ms': 0,
            'sequence': 1,
            'born': self.born,
        }
        if self.card:
            entry['kind'] = self.card
        if self.layers is not None:
            entry['layers'] = self._make_layers()
        store.put_json('servers', self.id, entry)

    async def answer(self, request, body, http, writer):
        """See base class."""
        path = request.target.decode()
        meant = read_header(request, 'x-sniperudder-expect-instance')
        if meant not in (None, self.id):
            self.misdirected.append(path)
            headers = make_seal(request)[:1]
            headers.append(('At-Server', self.address))
            write_answer(http, writer, 421, b'', headers)
        elif path == '/order':
            await asyncio.sleep(self.order_s)
            if self.late_orders_s:
                await asyncio.sleep(self.late_orders_s.popleft())
                self._begin_order(json.loads(body))
                raise OSError('answer lost')
            status = self._begin_order(json.loads(body))
            write_answer(http, writer, status, b'', [])
        elif path == '/report':
            report = {
                'sequence': len(self.orders),
                'busy': False,
                'layers': self._make_layers(),
                'stalled': self.stalled,
            }
            text = json.dumps(report).encode()
            write_answer(http, writer, 200, text, [])
        elif self.script:
            self.requests.append((request, body))
            await self.script.popleft()(request, http, writer)
        else:
            self.requests.append((request, body))
            await self.answer_usually(request, http, writer)

    async def answer_usually(self, request, http, writer):
        """Answer as a sound endpoint does."""
        if self.card:
            await self.send_stream(request, http, writer)
            return
        body = f'{self.id} {request.target.decode()}'.encode()
        write_answer(http, writer, 200, body, make_seal(request))

    async def send_stream(self, request, http, writer, upto=None):
        """Send events behind the last one that the request names.

        Parameters
        ----------
        upto : int, optional
            Last event to send; the stream then stays open.
        """
        headers = [('Transfer-Encoding', 'chunked'), *make_seal(request)]
        writer.write(http.send(h11.Response(status_code=200, headers=headers)))
        first = int(read_header(request, 'last-event-id') or 0) + 1
        for number in range(first, (upto or self.events) + 1):
            data = f'id: {number}\ndata: {number}\n\n'.encode()
            writer.write(http.send(h11.Data(data=data)))
            await writer.drain()
            if self.event_s:
                await asyncio.sleep(self.event_s)
        if upto is None:
            writer.write(http.send(h11.EndOfMessage()))

    def refuse(self):
        """Return a script entry: refuse, as an endpoint without room."""

        async def serve(request, http, writer):
            self.requests.pop()
            headers = [(_NOT_RUN, '1'), *make_seal(request)[:1]]
            write_answer(http, writer, 503, b'', headers)

        return serve

    def fail(self):
        """Return a script entry: run the request and answer 500."""

        async def serve(request, http, writer):
            write_answer(http, writer, 500, b'bad', make_seal(request))

        return serve

    def reset(self):
        """Return a script entry: run the request and reset."""

        async def serve(request, http, writer):
            writer.transport.abort()
            raise OSError('reset by the script')

        return serve

    def _make_layers(self):
        if self.layers is None:
            return None
        start, end = self.layers
        return {'from': start, 'to': end, 'version': 1}

    def _begin_order(self, order):
        """Carry out an order, unless another came first; return a status."""
        expected = order.get('expected_rev')
        if expected is not None and expected != len(self.orders):
            self.refused_orders.append(order)
            return 409
        self.orders.append(order)
        if order['operation'] == 'place':
            self.layers = order['from'], order['to']
        if self.on_order is not None:
            self.on_order(order)
        return 202


def make_seal(request):
    """Return the headers of an answer to a request."""
    request_id = read_header(request, _REQUEST_ID) or ''
    return [(_REQUEST_ID, request_id), (_SEAL, 'seal')]


def read_header(request, wanted):
    """Return the value of a header, or None."""
    for name, value in request.headers:
        if name == wanted.encode():
            return value.decode()
    return None


def make_engine(layers=8, cards=None):
    """Return the engine part of a service, as operators write it."""
    cards = cards or {'big': 8_000.0}
    return {
        'kv_token_bytes': 8_000.0,
        'stride': 3,
        'models': [{'name': 'm', 'pace': 1.0, 'load_s': 1.0}],
        'step_ms': 1.0,
        'per_seq_ms': 0.01,
        'context_per_k': 0.01,
        'read_per_s': 100_000.0,
        'usual': {'prompt': 100, 'answer': 30},
        'layers': layers,
        'layer_mb': 1_000.0,
        'activation_bytes': 1_000,
        'pipe_mbps': 18_000.0,
        'kinds': [
            {'name': name, 'size_mb': size, 'pace': 1.0, 'read_factor': 1.0}
            for name, size in cards.items()
        ],
    }


def make_configuration(version=1, routes=(), engine=None):
    """Return a configuration with a stream, a safe and an unsafe route."""

    def make_route(name, kind, service, **fields):
        return {
            'name': name,
            'host': 'shop.example',
            'prefix': f'/{name}/',
            'kind': kind,
            'timeout_ms': 2_000,
            'goal_ms': 500,
            'priority': 0,
            'service': service,
            'max_attempts': 2,
            'public': False,
            **fields,
        }

    services = [
        {'name': 'desk', 'health_path': '/health', 'max_conns': 100},
        {'name': 'llm', 'health_path': '/health', 'max_conns': 100},
    ]
    if engine is not None:
        services[1]['engine'] = engine
    return {
        'version': version,
        'routes': [
            make_route(
                'stream', 'streaming', 'llm', resumable=True, timeout_ms=5_000
            ),
            make_route('once', 'streaming', 'llm', resumable=False),
            make_route('safe', 'safe', 'desk'),
            make_route('unsafe', 'unsafe', 'desk', max_attempts=1),
            *routes,
        ],
        'services': services,
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 100_000,
            'header_timeout_ms': 300,
            'idle_timeout_ms': 2_000,
        },
        'tenants': [{'name': 'studio', 'api_keys': ['key-1'], 'priority': 1}],
    }


async def send_request(
    address, target, method='POST', body=b'x', headers=(), wait_ms=1_500
):
    """Send a request as a caller does, and read the whole answer.

    Returns
    -------
    status : int
    headers : dict of str to str
    body : bytes

    Raises
    ------
    h11.RemoteProtocolError
        If the answer ended early.
    """
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    http = h11.Connection(h11.CLIENT)
    sent = [
        ('Host', 'shop.example'),
        (_REQUEST_ID, 'r-1'),
        ('X-Sniperudder-Request-Deadline', str(wait_ms)),
        ('Authorization', 'Token key-1'),
        ('Content-Length', str(len(body))),
        *headers,
    ]
    # A later header replaces an earlier one.
    merged = {name.lower(): (name, value) for name, value in sent}
    request = h11.Request(
        method=method, target=target, headers=list(merged.values())
    )
    writer.write(http.send(request))
    writer.write(http.send(h11.Data(data=body)))
    writer.write(http.send(h11.EndOfMessage()))
    try:
        head, answer = await _read_message(http, reader)
    finally:
        writer.close()
    found = {name.decode(): value.decode() for name, value in head.headers}
    return head.status_code, found, answer


def _make_row(table, key, value, version):
    row = {'table': table, 'part': '', 'key': key, 'row_version': version}
    if value is None:
        return {**row, 'tombstone': True}
    return {**row, 'value': base64.b64encode(value).decode()}


async def _read_message(http, reader):
    head, pieces = None, []
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await reader.read(_READ_BYTES))
        elif isinstance(event, (h11.Request, h11.Response)):
            head = event
        elif isinstance(event, h11.Data):
            pieces.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return head, b''.join(pieces)
        elif isinstance(event, h11.ConnectionClosed):
            return None, b''


def write_answer(http, writer, status, body, headers):
    """Write a whole answer with a length."""
    headers = [('Content-Length', str(len(body))), *headers]
    writer.write(
        http.send(h11.Response(status_code=status, headers=headers))
        + http.send(h11.Data(data=body))
        + http.send(h11.EndOfMessage())
    )
