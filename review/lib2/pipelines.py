"""Engines that hold layers and serve streams along a path, as the pages say.

The first worker of a path receives the request; its stream goes through all
workers of the path. A worker that is down stalls the streams that depend on
it; after ``stall_ms`` the first worker cuts them off or, if they have not
begun, answers 503 with ``X-Sniperudder-Not-Executed``. A ``repath`` order
replaces the path, and the new parts read the prompt again. Workers start
empty, and are loaded by ``place`` orders.
"""

import asyncio
import contextlib
import json
import re
import time

import h11
from small_fleet import standins
from standins.fleet import _messages

_POLL_S = 0.01
_STALL_S = 2.0
_REPORT_LAG_S = 0.2
_PREFILL_S = 0.05
_EVENT_S = 0.03

# Three heartbeats without a liveness report remove an entry, seconds.
_EXPIRY_S = 3.6

_HOP_COUNT = 'x-sniperudder-hop-count'
_FAULT_ADDRESS = 'At-Server'


class Stalled(Exception):
    """Raised if a worker of a path was down for `_STALL_S`."""

    def __init__(self, address):
        super().__init__(address)
        self.address = address


class Pipelines:
    """All engines of a fleet, by address, and what became of requests.

    Attributes
    ----------
    crashing_part : str or None
        Part of a prompt that crashes a worker as it begins to write.
    crashes_first : bool
        Whether it crashes the first worker of the path, else the last one.
    crashes : list of (float, str)
        Time and address of each crash by that part.
    arrivals : list of (float, str, bool)
        Time, id and whether it has that part, of each request that reached a
        worker.
    """

    def __init__(self, store, record, load_s=2.0, restart_s=2.5, layers=8):
        self.store = store
        self.record = record
        self.load_s = load_s
        self.restart_s = restart_s
        self.layers = layers
        self.engines = {}
        self.crashing_part = None
        self.crashes_first = False
        self.crashes = []
        self.arrivals = []
        self.tasks = set()

    async def add(self, name, zone, accelerator):
        """Start an engine, which holds nothing, and list it."""
        engine = PipelineEngine(self, name, zone, accelerator)
        await engine.start()
        self.engines[engine.address] = engine
        engine.list_in(self.store)
        return engine

    def run_later(self, delay_s, function):
        """Call a function, or coroutine function, after a time."""

        async def run():
            await asyncio.sleep(delay_s)
            result = function()
            if result is not None:
                await result

        task = asyncio.create_task(run())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def close(self):
        """Stop all engines."""
        for task in list(self.tasks):
            task.cancel()
        for engine in self.engines.values():
            with contextlib.suppress(Exception):
                await engine.stop()


class PipelineEngine(standins.EndpointStandin):
    """One engine; see the module."""

    def __init__(self, pipelines, name, zone, accelerator):
        super().__init__(f'{name}-run-1', 'llm', zone, accelerator)
        self._pipelines = pipelines
        self._name = name
        self._run = 1
        self.is_up = True
        self.is_loading = False
        self.born = time.time_ns() // 1_000_000
        # Paths of the requests for which it is the first worker, by id.
        self.paths = {}
        # Time since which a request stalls, and the worker's address, by id.
        self.stalls = {}

    def make_report(self):
        """See base class; also states the start and what stalls."""
        now = time.monotonic()
        return {
            'sequence': len(self.orders),
            'busy': self.is_loading,
            'layers': self._make_layers(),
            'kind': self.accelerator,
            'born': self.born,
            'stalled': [
                {'id': request_id, 'address': address}
                for request_id, (since, address) in self.stalls.items()
                if now - since >= _REPORT_LAG_S
            ],
        }

    def holds(self, start, end):
        """Return whether it holds a range of layers."""
        return self.layers is not None and (
            self.layers[0] <= start and end <= self.layers[1]
        )

    async def respond(self, request, body, http, writer):
        """See base class; answers to ``repath`` orders name a missing part."""
        expected_id = _messages.read_header(
            request, 'x-sniperudder-expect-instance'
        )
        order = {}
        if request.target == b'/order' and expected_id in (None, self.id):
            order = json.loads(body)
        if order.get('operation') != 'repath':
            await super().respond(request, body, http, writer)
            return
        status, missing = self._begin_repath(order)
        text = json.dumps({'address': missing}).encode() if missing else b''
        _messages.write_response(http, writer, status, text, [])

    def _begin_order(self, order):
        expected = order.get('expected_rev')
        if self.is_loading or expected not in (None, len(self.orders)):
            return 409
        layers = order['from'], order['to']
        if layers == self.layers:
            return 200
        self.orders.append(order)
        self.is_loading = True
        share = (layers[1] - layers[0]) / self._pipelines.layers
        run = self._run
        self._pipelines.run_later(
            self._pipelines.load_s * share,
            lambda: self._finish_loading(run, layers),
        )
        return 202

    def _finish_loading(self, run, layers):
        if run == self._run and self.is_up:
            self.is_loading = False
            self.layers = layers
            self.list_in(self._pipelines.store)

    def _begin_repath(self, order):
        """Return the status of the answer, and the part that isn't there."""
        request_id = order['id']
        if request_id not in self.paths:
            return 404, None
        path = parse_path(order['path'])
        for address, start, end in path:
            engine = self._pipelines.engines.get(address)
            if (
                engine is None
                or not engine.is_up
                or not engine.holds(start, end)
            ):
                return 409, address
        self.orders.append(order)
        self.paths[request_id] = path
        self.stalls.pop(request_id, None)
        return 202, None

    async def respond_normally(self, request, http, writer):
        """Serve a stream along the path that the request names."""
        request_id = _messages.read_header(request, _messages.REQUEST_ID)
        parts = _messages.read_shared_parts(request)
        crashing = self._pipelines.crashing_part in parts
        self._pipelines.arrivals.append(
            (time.monotonic(), request_id, crashing)
        )
        path = parse_path(_messages.read_header(request, _HOP_COUNT) or '')
        for address, start, end in path:
            engine = self._pipelines.engines.get(address)
            if engine is not None and engine.is_up:
                if not engine.holds(start, end):
                    self._refuse(request, http, writer, 421, address)
                    return
        self.paths[request_id] = path
        try:
            await self._serve_stream(
                request, http, writer, request_id, crashing
            )
        except Stalled as stalled:
            if http.our_state is not h11.SEND_RESPONSE:
                writer.transport.abort()
                raise OSError('cut off') from stalled
            self._refuse(request, http, writer, 503, stalled.address)
        finally:
            self.paths.pop(request_id, None)
            self.stalls.pop(request_id, None)

    def _refuse(self, request, http, writer, status, address):
        headers = [
            (_messages.NOT_RUN, '1'),
            (_FAULT_ADDRESS, address),
            *_messages.make_seal(request)[:1],
        ]
        _messages.write_response(http, writer, status, b'', headers)

    async def _serve_stream(self, request, http, writer, request_id, crashing):
        path = None
        first = int(_messages.read_header(request, 'last-event-id') or 0) + 1
        number = first
        while number <= self.events:
            await self._await_path(request_id, writer)
            if path != self.paths[request_id]:
                # New parts read all tokens so far.
                path = self.paths[request_id]
                await asyncio.sleep(_PREFILL_S)
                await self._await_path(request_id, writer)
                if crashing:
                    await self._crash_one(path)
                    continue
            if number == first:
                headers = [
                    ('Transfer-Encoding', 'chunked'),
                    *_messages.make_seal(request),
                ]
                writer.write(
                    http.send(h11.Response(status_code=200, headers=headers))
                )
            data = f'id: {number}\ndata: {number}\n\n'.encode()
            writer.write(http.send(h11.Data(data=data)))
            number += 1
            await asyncio.sleep(_EVENT_S)
        writer.write(http.send(h11.EndOfMessage()))

    async def _crash_one(self, path):
        address = path[0 if self._pipelines.crashes_first else -1][0]
        engine = self._pipelines.engines[address]
        if engine.is_up:
            self._pipelines.crashes.append((time.monotonic(), address))
            self._pipelines.record.write(
                f'worker {engine.id} at {address} crashes on the part'
            )
            await engine.crash()
        if engine is self:
            raise OSError('crashed')

    async def _await_path(self, request_id, writer):
        """Wait until all workers of the path are up."""
        since = time.monotonic()
        known = self.paths[request_id]
        while True:
            if not self.is_up or self.has_left(writer):
                raise OSError('channel closed')
            if self.paths[request_id] != known:
                known = self.paths[request_id]
                since = time.monotonic()
            down = [
                address
                for address, start, end in known
                if address not in self._pipelines.engines
                or not self._pipelines.engines[address].is_up
                or not self._pipelines.engines[address].holds(start, end)
            ]
            if not down:
                self.stalls.pop(request_id, None)
                return
            self.stalls.setdefault(request_id, (since, down[0]))
            if time.monotonic() - since > _STALL_S:
                raise Stalled(down[0])
            await asyncio.sleep(_POLL_S)

    def has_left(self, writer):
        """See base class; a closed channel counts as left."""
        return writer not in self._readers or super().has_left(writer)

    async def crash(self):
        """End this run; the next one starts later, and empty."""
        if not self.is_up:
            return
        self.is_up = False
        ended_id = self.id
        await self.stop()
        self._pipelines.run_later(self._pipelines.restart_s, self._restart)
        self._pipelines.run_later(
            _EXPIRY_S,
            lambda: self._pipelines.store.put('servers', ended_id, None),
        )

    async def _restart(self):
        self._run += 1
        self.id = f'{self._name}-run-{self._run}'
        self.born = time.time_ns() // 1_000_000
        self.layers = None
        self.is_loading = False
        self.orders.clear()
        self.paths.clear()
        self.stalls.clear()
        await self.start()
        self.is_up = True
        self.list_in(self._pipelines.store)


def parse_path(text):
    """Return the address, first and end layer of each part of a path."""
    return [
        (address, int(start), int(end))
        for address, start, end in re.findall(
            r'([^,=]+)=(\d+)-(\d+)', text.strip()
        )
    ]


def dump(value):
    """Return a value as JSON for the record."""
    return json.dumps(value, sort_keys=True)
