"""Endpoints: plain ones, and engines that hold layers."""

import asyncio
import collections
import json

import h11

from standins.fleet import _messages
from standins.fleet import _servers


class EndpointStandin(_servers.Server):
    """An endpoint: plain, or an engine that holds layers.

    Attributes
    ----------
    id, service : str
    data_centre, accelerator : str
    layers : (int, int) or None
        Range that it holds; orders set it.
    requests : list of (h11.Request, bytes)
        Requests that it ran.
    orders : list of dict
    script : collections.deque of callable
        Each serves one request in place of the normal response: a coroutine
        function of the request, the h11 connection and the writer.
    events : int
        Length of a stream.
    event_s : float
        Seconds between two events.
    stalled : list of dict
        Entries of reports about stalled requests.
    on_order : callable or None
        Called with each order.
    order_s : float
        Time until the response to an order, seconds.
    late_orders_s : collections.deque of float
        Times after which the next orders are carried out, without a
        response, seconds.
    refused_orders : list of dict
    born : int
        Wall-clock time of its start, ms.
    misdirected : list of str
        Targets of requests that were meant for another endpoint.
    notices : list of (str, str)
        Headers of all answers, in which it speaks of itself.
    arrivals : list of (float, str)
        Loop time and request id of each request that reached it, run or
        refused.
    """

    def __init__(self, name, service, data_centre='north', accelerator=''):
        super().__init__()
        self.id = name
        self.service = service
        self.data_centre = data_centre
        self.accelerator = accelerator
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
        self.notices = []
        self.arrivals = []
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
        if self.accelerator:
            entry['kind'] = self.accelerator
        if self.layers is not None:
            entry['layers'] = self._make_layers()
        store.put_json('servers', self.id, entry)

    async def respond(self, request, body, http, writer):
        """See base class."""
        path = request.target.decode()
        expected_id = _messages.read_header(
            request, 'x-sniperudder-expect-instance'
        )
        if expected_id not in (None, self.id):
            self.misdirected.append(path)
            headers = _messages.make_seal(request)[:1]
            headers += [('At-Server', self.address), *self.notices]
            _messages.write_response(http, writer, 421, b'', headers)
        elif path == '/order':
            await asyncio.sleep(self.order_s)
            if self.late_orders_s:
                await asyncio.sleep(self.late_orders_s.popleft())
                self._begin_order(json.loads(body))
                raise OSError('answer lost')
            status = self._begin_order(json.loads(body))
            _messages.write_response(http, writer, status, b'', self.notices)
        elif path == '/report':
            text = json.dumps(self.make_report()).encode()
            _messages.write_response(http, writer, 200, text, self.notices)
        elif self.script:
            self._record_arrival(request)
            self.requests.append((request, body))
            await self.script.popleft()(request, http, writer)
        else:
            self._record_arrival(request)
            self.requests.append((request, body))
            await self.respond_normally(request, http, writer)

    def make_report(self):
        """Return the body of a report, which states no start time."""
        return {
            'sequence': len(self.orders),
            'busy': False,
            'layers': self._make_layers(),
            'stalled': self.stalled,
        }

    async def respond_normally(self, request, http, writer):
        """Respond as a healthy endpoint does."""
        if self.accelerator:
            await self.send_stream(request, http, writer)
            return
        body = f'{self.id} {request.target.decode()}'.encode()
        headers = [*_messages.make_seal(request), *self.notices]
        _messages.write_response(http, writer, 200, body, headers)

    async def send_stream(self, request, http, writer, upto=None):
        """Send the events after the last one that the request names.

        Parameters
        ----------
        upto : int, optional
            Last event to send; the stream then stays open.
        """
        headers = [
            ('Transfer-Encoding', 'chunked'),
            *_messages.make_seal(request),
            *self.notices,
        ]
        writer.write(http.send(h11.Response(status_code=200, headers=headers)))
        first = int(_messages.read_header(request, 'last-event-id') or 0) + 1
        for number in range(first, (upto or self.events) + 1):
            data = f'id: {number}\ndata: {number}\n\n'.encode()
            writer.write(http.send(h11.Data(data=data)))
            await writer.drain()
            if self.event_s:
                await asyncio.sleep(self.event_s)
        if upto is None:
            writer.write(http.send(h11.EndOfMessage()))

    def refuse(self, retry_after=None):
        """Return a script entry: refuse, as an endpoint without room."""

        async def serve(request, http, writer):
            self.requests.pop()
            headers = [
                (_messages.NOT_RUN, '1'),
                *_messages.make_seal(request)[:1],
                *self.notices,
            ]
            if retry_after is not None:
                headers.append(('Retry-After', retry_after))
            _messages.write_response(http, writer, 503, b'', headers)

        return serve

    def fail(self):
        """Return a script entry: run the request and respond with 500."""

        async def serve(request, http, writer):
            headers = [*_messages.make_seal(request), *self.notices]
            _messages.write_response(http, writer, 500, b'bad', headers)

        return serve

    def reset(self):
        """Return a script entry: run the request and reset."""

        async def serve(request, http, writer):
            writer.transport.abort()
            raise OSError('reset by the script')

        return serve

    def _record_arrival(self, request):
        request_id = _messages.read_header(request, _messages.REQUEST_ID)
        now = asyncio.get_running_loop().time()
        self.arrivals.append((now, request_id))

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
