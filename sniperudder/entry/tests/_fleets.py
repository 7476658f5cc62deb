"""A small fleet of stand-ins with one real entry instance, for tests."""

import asyncio
import contextlib
import json
import re

from scenarios import _processes
from sniperudder import entry
from sniperudder import fleet
from standins import fleet as standins

ACCELERATORS = {'big': 12_000.0, 'half': 7_000.0}

_READY_S = 5.0
_POLL_S = 0.01


def make_settings(**changes):
    """Return instance settings with some fields changed."""
    values = {
        'name': 'entry-1',
        'data_centre': 'north',
        'host': '127.0.0.1',
        'callers_address': '127.0.0.1:1',
        'ready_address': '127.0.0.1:2',
        'peer_port': 3,
        'platform_address': '127.0.0.1:4',
        'bounds': fleet.Bounds(2.0, 4.0, 2.0, 0.2, 10.0, 200.0),
        'is_first_start': True,
        **changes,
    }
    return fleet.InstanceSettings(**values)


class RecordingJournal:
    """A journal that records its lines in memory."""

    def __init__(self):
        self.lines = []

    def write(self, event, subject='', **fields):
        """See `Journal`."""
        self.lines.append((event, subject, fields))

    def list_events(self, event):
        """Return the fields of all lines with an event name."""
        return [line[2] for line in self.lines if line[0] == event]


class Fleet:
    """Stand-ins and an entry instance that routes requests to them.

    Attributes
    ----------
    store : StoreStandin
    endpoints : dict of str to EndpointStandin
        Endpoints by id.
    instance : sniperudder.entry.Entry
    journal : RecordingJournal
    callers, ready, metrics : str
        Addresses on which the instance listens.
    settings : sniperudder.fleet.InstanceSettings
        Content of the settings file.
    """

    def __init__(self, endpoints):
        self.store = standins.StoreStandin()
        self.endpoints = {e.id: e for e in endpoints}
        self.journal = RecordingJournal()
        self.callers = self.ready = self.metrics = ''
        self.instance = None
        self.settings = None

    async def start(self, configuration):
        """Start the stand-ins and the instance, which may not be ready yet."""
        await self.store.start()
        for endpoint in self.endpoints.values():
            await endpoint.start()
            endpoint.on_order = self._relist(endpoint)
            endpoint.list_in(self.store)
        if configuration is not None:
            self.store.put_json('op', 'config', configuration)
        await self.start_instance()

    async def start_instance(self):
        """Start the entry instance."""
        addresses = _processes.find_addresses(4)
        self.callers, self.ready, self.metrics, peers = addresses
        self.settings = make_settings(
            callers_address=self.callers,
            ready_address=self.ready,
            peer_port=int(peers.rpartition(':')[2]),
            platform_address=self.store.address,
        )
        self.instance = entry.Entry(
            self.settings,
            lambda: self.settings,
            self.journal,
            int(self.metrics.rpartition(':')[2]),
        )
        await self.instance.start()

    async def await_ready(self):
        """Wait until the instance reports that it is ready."""
        async with asyncio.timeout(_READY_S):
            while await self.get_readiness() != 200:
                await asyncio.sleep(_POLL_S)
        # The list is read a second later, which most tests need not wait for.
        self.instance._T.instances_known = True

    async def await_event(self, event):
        """Wait until the instance has logged an event."""
        async with asyncio.timeout(_READY_S):
            while not self.journal.list_events(event):
                await asyncio.sleep(_POLL_S)

    async def await_placed(self):
        """Wait until all engines hold layers and the instance knows this."""
        engines = [e for e in self.endpoints.values() if e.accelerator]
        async with asyncio.timeout(_READY_S):
            while not all(e.layers for e in engines):
                await asyncio.sleep(_POLL_S)
        await asyncio.sleep(10 * _POLL_S)

    async def get_readiness(self):
        """Return the status of the readiness probe."""
        status, _, _ = await standins.send_request(
            self.ready, '/readiness', 'GET', b''
        )
        return status

    async def send(self, target, **options):
        """Send a request to the instance; see `send_request`."""
        return await standins.send_request(self.callers, target, **options)

    async def stop(self):
        """Stop everything."""
        if self.instance is not None:
            await self.instance.close()
        for endpoint in self.endpoints.values():
            await endpoint.stop()
        await self.store.stop()

    def _relist(self, endpoint):
        def relist(order):
            if order['operation'] == 'place':
                endpoint.list_in(self.store)

        return relist


@contextlib.asynccontextmanager
async def run_fleet(*endpoints, engine=None, configuration=None):
    """Run a fleet for the duration of the block.

    The instance is ready when the block starts.
    """
    test_fleet = Fleet(endpoints)
    configuration = configuration or standins.make_configuration(engine=engine)
    await test_fleet.start(configuration)
    try:
        await test_fleet.await_ready()
        yield test_fleet
    finally:
        await test_fleet.stop()


def read_body(response):
    """Return the JSON body of a response created by the instance."""
    return json.loads(response[2])


def create_desk(name='desk-1'):
    """Return an endpoint of the plain service ``desk``."""
    return standins.EndpointStandin(name, 'desk')


def create_engine(name, accelerator='big', layers=None):
    """Return an engine that initially holds the given layers, if any."""
    engine = standins.EndpointStandin(name, 'llm', accelerator=accelerator)
    engine.layers = layers
    return engine


def list_ids(body):
    """Return the ids of the events in a stream body."""
    return [int(found) for found in re.findall(rb'id: (\d+)', body)]
