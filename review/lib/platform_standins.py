"""Stand-ins of the users' platform for the cases of the review.

Standard library only. The stand-ins run on the event loop of the case, except
for workers that a case starts as processes of their own (``worker_process``).
Every address is a loopback address.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]

# Command of the deploy file.
ENTRY_COMMAND = ['python3', '-m', 'sniperudder.entry', '9102']
METRICS_PORT = 9102

ID = 'x-sniperudder-request-id'
SEAL = 'X-Sniperudder-Response-Seal'
NOT_RUN = 'X-Sniperudder-Not-Executed'
EXPECTED = 'x-sniperudder-expect-instance'
LAST_EVENT = 'last-event-id'

ZONE = 'milano-a'
HOST = 'shop.example'
KEY = 'n2ctnfzs989anu6wsjnb'
TENANT = 'studio-rossi'

# Bounds of the small deployment, as in the settings of DEPLOY.md.
BOUNDS = {
    'seed_lag_s': 3,
    'reuse_after_s': 2,
    'contact_ms': 3000,
    'ack_ms': 4000,
    'catch_up_s': 4,
    'drain_ms': 2000,
    'grace_s': 8,
    'loss_slack_ms': 200,
    'config_ms': 2000,
    'rollback_slack_ms': 250,
    'outer_ms': 5000,
    'strict_revoke': False,
    'revoke_ms': 5000,
    'budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_slack': 200,
    'recover_s': 12,
    'pass_ms': 120,
    'retry_after_s': 0,
    'stall_ms': 2000,
    'fence_checked': False,
}


class Broken(Exception):
    """The case could not run."""


def is_troubled():
    """Return whether the disruption is to be made."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder, 'record.txt'), 'w')
        self._began = time.monotonic()

    def write(self, *words):
        """Write a line with the time since the start, seconds."""
        now = time.monotonic() - self._began
        print(f'{now:9.3f}', *words, file=self._file, flush=True)


def make_loopback_ip():
    """Return an address of 127.0.0.0/8 at which the metrics port is free."""
    while True:
        parts = [random.randrange(1, 255) for _ in range(3)]
        ip = '127.{}.{}.{}'.format(*parts)
        with socket.socket() as sock:
            try:
                sock.bind((ip, METRICS_PORT))
            except OSError:
                continue
        return ip


def find_port(ip):
    """Return a port that is free for TCP and UDP."""
    while True:
        with (
            socket.socket() as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
        ):
            tcp.bind((ip, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((ip, port))
            except OSError:
                continue
            return port


class Message:
    """Head and body of a request or response."""

    def __init__(self, first_line, headers, body=b'', complete=True):
        self.first_line = first_line
        self.headers = headers
        self.body = body
        self.complete = complete

    @property
    def status(self):
        return int(self.first_line.split()[1])

    @property
    def target(self):
        return self.first_line.split()[1]

    @property
    def id(self):
        return self.headers.get(ID, '')


async def read_head(reader):
    """Return the first line and the headers; None at the end."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    first_line, *lines = data[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return Message(first_line, headers)


async def read_body(reader, message, is_response=False, on_data=None):
    """Read the body of a message; `complete` tells whether it ended well."""
    pieces = []

    def add(data):
        pieces.append(data)
        if on_data is not None:
            on_data(data)

    headers = message.headers
    try:
        if headers.get('transfer-encoding', '').lower() == 'chunked':
            while True:
                line = await reader.readuntil(b'\r\n')
                size = int(line.split(b';')[0], 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    break
                add(data[:-2])
        elif 'content-length' in headers:
            add(await reader.readexactly(int(headers['content-length'])))
        elif is_response:
            while data := await reader.read(65536):
                add(data)
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        message.complete = False
    message.body = b''.join(pieces)
    return message


def make_response(status, headers=(), body=b'', framed=True):
    """Return a response as bytes."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {value}' for name, value in headers]
    if framed:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


class Server:
    """A server on a loopback address that reads whole requests."""

    def __init__(self, ip=None):
        self.ip = ip or '127.0.0.1'
        self.port = 0
        self._server = None
        self._tasks = set()

    @property
    def address(self):
        return f'{self.ip}:{self.port}'

    async def start(self):
        self._server = await asyncio.start_server(
            self._accept, self.ip, self.port, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        channel = {}
        try:
            while True:
                message = await read_head(reader)
                if message is None:
                    return
                await read_body(reader, message)
                if not message.complete:
                    return
                if not await self.serve(message, writer, channel):
                    return
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def serve(self, message, writer, channel):
        """Answer a request; return whether the channel is kept."""
        raise NotImplementedError

    def close(self):
        """Close the server and its channels, as the end of a process does."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()


class Store(Server):
    """The platform's store: rows, transactions and the feed of changes."""

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.changes = []
        self.version = 100
        self.delay_s = 0.004
        self.page_rows = 500
        self.on_page = None
        self._changed = asyncio.Event()

    def put(self, table, key, value):
        """Write a row or, if the value is None, remove it."""
        self.version += 1
        if value is None:
            self.rows.pop((table, key), None)
        else:
            if not isinstance(value, bytes):
                value = json.dumps(value).encode()
            self.rows[table, key] = value, self.version
        self.changes.append((self.version, table, key, value))
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    async def serve(self, message, writer, channel):
        path, _, query = message.target.partition('?')
        query = dict(urllib.parse.parse_qsl(query))
        page = None
        if path == '/rows-get':
            # The rows are those of a single moment, halfway through the call.
            await asyncio.sleep(self.delay_s / 2)
            status, value = 200, self._get(query)
            page = query
            await asyncio.sleep(self.delay_s / 2)
        elif path == '/rows-feed':
            await asyncio.sleep(self.delay_s)
            status, value = 200, await self._feed(query)
        elif path == '/rows-tx':
            await asyncio.sleep(self.delay_s)
            status, value = self._transact(json.loads(message.body))
        else:
            status, value = 404, {}
        value = {'row_version': self.version, 'now_ms': _now_ms(), **value}
        writer.write(
            make_response(
                status,
                [('Content-Type', 'application/json'), ('Store-Era', '1')],
                json.dumps(value).encode(),
            )
        )
        if page is not None and self.on_page is not None:
            self.on_page(page, value)
        return True

    def _get(self, query):
        limit = min(int(query.get('limit', 500)), self.page_rows)
        found = [
            (key, row)
            for (table, key), row in self.rows.items()
            if table == query['table']
            and key.encode() >= query.get('from', '').encode()
            and ('to' not in query or key.encode() < query['to'].encode())
        ]
        found.sort(key=lambda item: item[0].encode())
        rows = [
            _make_row(query['table'], key, *row) for key, row in found[:limit]
        ]
        return {
            'rows': rows,
            'more_pages': len(found) > limit,
            'row_version': self.version,
        }

    async def _feed(self, query):
        after, table = int(query['after']), query['table']
        end = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        while True:
            newest = {}
            for version, changed_table, key, value in self.changes:
                if version > after and changed_table == table:
                    newest.pop(key, None)
                    newest[key] = value, version
            left = end - time.monotonic()
            if newest or left <= 0:
                return {
                    'rows': [
                        _make_row(table, key, *row)
                        for key, row in newest.items()
                    ],
                    'row_version': self.version,
                }
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass

    def _transact(self, call):
        current = []
        for row in call.get('expected_rev', ()):
            known = self.rows.get((row['table'], row['key']))
            if (known[1] if known else 0) != row['row_version']:
                if known:
                    current.append(_make_row(row['table'], row['key'], *known))
                return 412, {'rows': current}
        for row in call.get('set_keys', ()):
            if row['table'] in ('op', 'servers'):
                return 403, {}
            value = base64.b64decode(row['value'])
            self.put(row['table'], row['key'], value)
        for row in call.get('remove', ()):
            self.put(row['table'], row['key'], None)
        return 200, {}


def _make_row(table, key, value, version):
    row = {'table': table, 'part': '', 'key': key, 'row_version': version}
    if value is None:
        return {**row, 'tombstone': True}
    return {**row, 'value': base64.b64encode(value).decode()}


def _now_ms():
    return int(time.monotonic() * 1000)


class Worker(Server):
    """A worker: checks for whom a request is, and runs it.

    Subclasses override `run`, which answers a request that is taken.
    """

    def __init__(self, name, service, record, slots=6, ip=None):
        super().__init__(ip)
        self.id = name
        self.service = service
        self.record = record
        self.slots = slots
        self.kind = None
        self.layers = None
        self.leaving = False
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = {}

    def make_entry(self):
        """Return the entry in the list of workers."""
        self.sequence += 1
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': ZONE,
            'version': 'v1',
            'slots': self.slots,
            'state': 'draining' if self.leaving else 'ready',
            'cold_left_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }
        if self.kind is not None:
            entry['stage'] = 'both'
            entry['kind'] = self.kind
            entry['models'] = [
                {'name': 'daka510000', 'version': 1, 'adapters': []}
            ]
            if self.layers:
                entry['layers'] = self._make_layers()
        return entry

    def _make_layers(self):
        start, end = self.layers
        return {'from': start, 'to': end, 'version': 1}

    def make_headers(self, message):
        """Return the headers of an answer of this worker."""
        headers = [('X-Sniperudder-Request-Id', message.id)]
        if self.leaving:
            headers += [('Server-Leaving', '1'), ('Connection', 'close')]
        return headers

    async def serve(self, message, writer, channel):
        path = message.target
        headers = self.make_headers(message)
        expected = message.headers.get(EXPECTED)
        if expected not in (None, self.id):
            headers.append(('X-Sniperudder-Instance-Id', self.id))
            writer.write(make_response(421, headers))
            return True
        if path == '/health':
            headers.append(('X-Sniperudder-Instance-Id', self.id))
            writer.write(make_response(503 if self.leaving else 200, headers))
            return True
        if path == '/report':
            report = {
                'stage': 'both',
                'models': [],
                'busy': False,
                'sequence': 0,
                'queued': 0,
                'running': 0,
                'kv_used': 0,
                'kv_total': 50_000,
                'handles': 0,
                'pace': 1.0,
                'stalled': [],
                'born': self.born,
            }
            if self.layers:
                report['layers'] = self._make_layers()
            writer.write(
                make_response(200, headers, json.dumps(report).encode())
            )
            return True
        if path == '/order':
            # No case needs an order to succeed.
            writer.write(make_response(409, headers))
            return True
        return await self.run(message, writer, channel)

    def count_run(self, message):
        """Note that a request began to run."""
        self.runs[message.id] = self.runs.get(message.id, 0) + 1
        self.record.write('run', self.id, message.id, message.target)

    async def run(self, message, writer, channel):
        raise NotImplementedError


class Entry:
    """An entry instance, started with the command of the deploy file."""

    def __init__(self, store, name='front-milano-a-1'):
        self.name = name
        self.ip = make_loopback_ip()
        self.front = f'{self.ip}:{find_port(self.ip)}'
        self.ready = f'{self.ip}:{find_port(self.ip)}'
        self._port = find_port(self.ip)
        self._store = store
        self._folder = tempfile.mkdtemp(prefix='sniperudder-review-')
        self._process = None
        self.log = pathlib.Path(self._folder, 'log.jsonl')

    def start(self):
        """Start the process."""
        settings = {
            'node': self.name,
            'role': 'entry',
            'machine_class': 'front',
            'serves': ['front'],
            'ip': self.ip,
            'zone': ZONE,
            'region': 'lombardia',
            'zones': {ZONE: 'lombardia'},
            'listen': {'front': self.front, 'ready': self.ready},
            'port_range': [self._port, self._port],
            'seeds': [],
            'first_start': False,
            'counts_as_loss': False,
            'limits': {
                'cpu_share': 0.537,
                'cores': 2,
                'memory_mb': 300,
                'max_fds': 4200,
                'link_mbps': 1000.0,
                'disk_mb': 0,
            },
            'data_dir': None,
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeat_ms': 1200,
            'contracts': [],
            'fault_tolerance': {'machines': 2, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS,
            'platform': {
                'address': self._store.address,
                'form': 'table',
                'writes_per_s': 400,
                'reads_per_s': 2000,
                'tx_ms': 5.0,
                'part_writes_s': 200,
                'row_bytes': 65536,
                'across': False,
                'history_s': 20,
            },
        }
        path = pathlib.Path(self._folder, 'settings.json')
        path.write_text(json.dumps(settings))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['SNIPERUDDER_CONFIG'] = str(path)
        with open(self.log, 'wb') as log:
            self._process = subprocess.Popen(
                ENTRY_COMMAND,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    async def wait_ready(self, timeout_s=20.0):
        """Wait until the readiness probe answers 200."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if self._process.poll() is not None:
                raise Broken(f'entry ended: {self.log.read_text()[-800:]}')
            try:
                answer = await Channel(self.ready).ask(
                    'GET', '/readiness', {}, wait_s=1.0
                )
            except OSError:
                answer = None
            if answer is not None and answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise Broken('entry did not become ready')

    def list_events(self, event):
        """Return the log lines of an event."""
        lines = []
        for text in self.log.read_text().splitlines():
            try:
                line = json.loads(text)
            except ValueError:
                continue
            if line.get('message_type') == event:
                lines.append(line)
        return lines

    def signal(self, number):
        self._process.send_signal(number)

    @property
    def returncode(self):
        return self._process.poll()

    @property
    def pid(self):
        return self._process.pid

    def close(self):
        """End the process and remove its folder."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGKILL)
            self._process.wait()
        shutil.rmtree(self._folder, ignore_errors=True)


class Channel:
    """A client's channel to an entry instance, kept between requests."""

    def __init__(self, address):
        host, _, port = address.rpartition(':')
        self._host, self._port = host, int(port)
        self._reader = self._writer = None

    async def ask(
        self,
        method,
        target,
        headers,
        body=b'',
        wait_s=1.5,
        gap_s=None,
    ):
        """Send a request; return the answer, or None if there is none.

        Parameters
        ----------
        wait_s : float
            Time budget, seconds.
        gap_s : float, optional
            Longest time without data until the client leaves, seconds.
        """
        arrived = asyncio.Event()
        task = asyncio.create_task(
            self._ask(method, target, headers, body, lambda _: arrived.set())
        )
        end = time.monotonic() + wait_s
        while not task.done():
            left = end - time.monotonic()
            if gap_s is not None:
                left = min(left, gap_s)
            waiting = asyncio.create_task(arrived.wait())
            await asyncio.wait(
                (task, waiting),
                timeout=max(left, 0.0),
                return_when=asyncio.FIRST_COMPLETED,
            )
            waiting.cancel()
            if not task.done() and not arrived.is_set():
                break
            arrived.clear()
            if gap_s is None and not task.done():
                await asyncio.wait((task,), timeout=end - time.monotonic())
                break
        if task.done():
            return task.result()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.close()
        return None

    async def _ask(self, method, target, headers, body, on_data):
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                self._host, self._port, limit=1 << 20
            )
        lines = [f'{method} {target} HTTP/1.1', f'Host: {HOST}']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        if method != 'GET':
            lines.append(f'Content-Length: {len(body)}')
        self._writer.write('\r\n'.join([*lines, '', '']).encode() + body)
        answer = await read_head(self._reader)
        if answer is None:
            self.close()
            return None
        await read_body(self._reader, answer, True, on_data)
        if (
            not answer.complete
            or answer.headers.get('connection', '').lower() == 'close'
        ):
            self.close()
        return answer

    def close(self):
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None


def make_headers(request_id, wait_s, **more):
    """Return the headers of a client's request."""
    return {
        'X-Sniperudder-Request-Id': request_id,
        'X-Sniperudder-Request-Deadline': int(wait_s * 1000),
        'Authorization': f'Token {KEY}',
        **more,
    }


def make_id():
    """Return a new request id."""
    return f'{random.getrandbits(64):016x}'


def make_event(number):
    """Return an event of a stream."""
    return b'id: %d\ndata: three tokens of %d\n\n' % (number, number)


def list_ids(body):
    """Return the ids of the events of a stream."""
    return [int(part.split()[0]) for part in body.split(b'id: ')[1:]]


def make_configuration(version=7, **limits):
    """Return a configuration like that of the small deployment."""

    def make_route(name, kind, service, **fields):
        return {
            'name': f'r-{name}',
            'host': HOST,
            'prefix': f'/{name}/',
            'kind': kind,
            'goal_ms': 100,
            'priority': 2,
            'service': service,
            'public': False,
            **fields,
        }

    engine = {
        'slots': 96,
        'kv_capacity': 50000,
        'kv_token_bytes': 1836000,
        'link_mbps': 400000.0,
        'stride': 3,
        'models': [
            {'name': 'daka510000', 'pace': 1.0, 'load_s': 14.0, 'warm_s': 1.0}
        ],
        'step_ms': 1.02,
        'per_seq_ms': 0.01428,
        'context_per_k': 0.01912,
        'read_per_s': 105000.0,
        'pairs_per_m': 0.309,
        'chunk': 512,
        'report_lag_ms': 200.0,
        'loads_at_once': 5,
        'delays': [],
        'usual': {'prompt': 774, 'answer': 203},
        'layers': 80,
        'layer_mb': 1750.0,
        'activation_bytes': 91800,
        'pipe_mbps': 18000.0,
        'kinds': [
            {
                'name': 'a100',
                'size_mb': 72000.0,
                'pace': 2.4,
                'read_factor': 3.2,
            }
        ],
    }
    return {
        'version': version,
        'routes': [
            make_route(
                'weave-advice',
                'streaming',
                'tessitore-llm',
                timeout_ms=20000,
                max_attempts=2,
                sticky=True,
                resumable=True,
                gap_target_ms=200,
            ),
            make_route(
                'order-confirm',
                'unsafe',
                'ordini-app',
                timeout_ms=800,
                max_attempts=1,
            ),
            make_route(
                'stock-lookup',
                'safe',
                'ordini-app',
                timeout_ms=800,
                max_attempts=2,
            ),
        ],
        'services': [
            {
                'name': 'tessitore-llm',
                'health_path': '/health',
                'max_conns': 1068,
                'protocol': 'h1',
                'tls': False,
                'engine': engine,
            },
            {
                'name': 'ordini-app',
                'health_path': '/health',
                'max_conns': 110,
                'protocol': 'h1',
                'tls': False,
            },
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
            **limits,
        },
        'tenants': [{'name': TENANT, 'api_keys': [KEY], 'priority': 1}],
    }


async def _run_main(main, record):
    # A case that is ended from outside still ends what it started.
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, asyncio.current_task().cancel
    )
    breaks = await asyncio.wait_for(main(record), 115.0)
    # Let the channels of the stand-ins close.
    await asyncio.sleep(0.1)
    return breaks


def run_case(folder, main):
    """Run a case and exit: 0 if the rule held, 1 if not, 2 if it failed.

    Parameters
    ----------
    folder : path
        Folder of the case, for ``record.txt``.
    main : callable
        Coroutine function of the record; returns the list of breaks.
    """
    record = Record(folder)
    try:
        breaks = asyncio.run(_run_main(main, record))
    except (Exception, asyncio.CancelledError) as error:
        record.write('could not run:', type(error).__name__, error)
        print(f'could not run: {type(error).__name__}: {error}')
        sys.exit(2)
    for line in breaks:
        record.write('broken:', line)
        print('broken:', line)
    print('held' if not breaks else f'{len(breaks)} breaks')
    sys.exit(1 if breaks else 0)
