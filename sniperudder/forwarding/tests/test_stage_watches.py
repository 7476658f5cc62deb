"""Tests of the watch for engines that die under streams of many instances."""

import asyncio
import collections

import testtools

from sniperudder import fleet
from sniperudder.forwarding import _stage_watches
from sniperudder import routing

_SIZES = (9, 83, 390)
_POLL_S = 0.01
_WAIT_S = 5.0


class Engine:
    """A server that accepts connections and answers nothing."""

    def __init__(self):
        self.writers = []
        self.accepted = 0

    async def start(self):
        """Listen, and return the endpoint."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        return fleet.Endpoint(
            'gpu-1',
            'llm',
            f'127.0.0.1:{port}',
            'north',
            8,
            False,
            'big',
            fleet.Layers(0, 8),
            1,
        )

    async def _serve(self, reader, writer):
        self.accepted += 1
        self.writers.append(writer)

    def close_connections(self):
        """Close all connections."""
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    def die(self):
        """Close all connections and accept no other."""
        self._server.close()
        self.close_connections()


class StageWatchTest(testtools.TestCase):
    def run_case(self, case, peers=0):
        """Run a case with the watcher of one instance among others.

        Parameters
        ----------
        case : callable
            Coroutine function of this test, with its attributes set.
        peers : int
            Number of other instances, which watch the engine in this one's
            place if there are many.
        """

        async def run():
            self.engine = Engine()
            self.endpoint = await self.engine.start()
            self.T = fleet.FleetTables(
                endpoints={self.endpoint.id: self.endpoint}
            )
            for number in range(peers):
                self.T.peers.add_peer(f'entry-{number}', ('h', number), 0.0)
            self.gone, self.told, self.heard = [], [], []
            self.watcher = _stage_watches.StageWatcher(
                self.T, 'entry-x', self.gone.append
            )
            self.watcher.notify_peers = self.told.append
            stage = fleet.Stage(self.endpoint, self.endpoint.layers)
            self.watcher.add_listener(stage, self.heard.append)
            self.watcher.update(True)
            try:
                await case()
            finally:
                self.watcher.close()
                self.engine.die()

        asyncio.run(run())

    async def await_accepted(self, count):
        """Wait until the engine has accepted a number of connections."""
        async with asyncio.timeout(_WAIT_S):
            while self.engine.accepted < count:
                await asyncio.sleep(_POLL_S)
        await asyncio.sleep(_POLL_S)

    async def await_heard(self):
        """Wait until the stream was told of a death."""
        async with asyncio.timeout(_WAIT_S):
            while not self.heard:
                await asyncio.sleep(_POLL_S)

    def test_death_is_told_to_streams_and_peers(self):
        async def case():
            await self.await_accepted(1)
            self.engine.die()
            await self.await_heard()
            self.assertEqual([self.endpoint.address], self.heard)
            self.assertEqual([self.endpoint], self.gone)
            self.assertEqual([self.endpoint], self.told)

        self.run_case(case)

    # Guards against: an engine that closes idle connections counts as dead.
    def test_closed_connection_is_opened_again(self):
        async def case():
            await self.await_accepted(1)
            self.engine.close_connections()
            await self.await_accepted(2)
            self.assertEqual(([], []), (self.heard, self.told))

        self.run_case(case)

    # Guards against: streams are rerouted from an engine that leaves, which
    # refuses connections and completes what it has begun.
    def test_engine_that_leaves_is_not_dead(self):
        async def case():
            await self.await_accepted(1)
            self.T.endpoints.clear()
            self.engine.die()
            await asyncio.sleep(10 * _POLL_S)
            self.assertEqual(([], []), (self.heard, self.told))

        self.run_case(case)

    # Guards against: an instance that does not watch an engine learns of its
    # death by the next digest, when its streams are late.
    def test_notice_of_a_peer_is_checked(self):
        async def case():
            run_id = self.endpoint.id, self.endpoint.born_ms
            self.assertEqual(0, self.engine.accepted)
            self.watcher.handle_notice(run_id)
            await self.await_accepted(1)
            self.assertEqual([], self.heard)
            self.engine.die()
            self.watcher.handle_notice(run_id)
            await self.await_heard()
            self.assertEqual([], self.told)

        self.run_case(case, peers=200)

    # Guards against: each instance keeps a connection to each engine.
    def test_few_instances_watch_each_engine(self):
        engines = [(f'gpu-{number}', 1) for number in range(86)]
        for size in _SIZES:
            names = routing.rank_instances(f'entry-{n}' for n in range(size))
            watched = collections.Counter(
                name
                for run_id in engines
                for name in routing.choose_watchers(run_id, names, 3)
            )
            self.assertEqual(3 * len(engines), sum(watched.values()))
            fair = max(3 * len(engines) / size, 1.0)
            self.assertLess(max(watched.values()), 8 * fair)
