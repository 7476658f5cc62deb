"""Tests of stages that fail under streams with a target for gaps."""

import asyncio
from unittest import mock

import h11
import testtools

from sniperudder.entry.tests import _fleets
from sniperudder.forwarding import _attempts
from sniperudder.forwarding import _stage_probes
from standins import fleet as standins

# Gap that a timely stream may have, ms, and delays that a busy machine does
# not reach, seconds.
_GAP_TARGET_MS = 600
_NEVER_S = 30.0
_PROBE_TIMEOUT_S = 1.0

# Time for which a stream stays stopped if it is not rerouted, seconds. Its
# caller leaves after 5 s.
_STOPPED_S = 3.0


class EarlyCheckTest(testtools.TestCase):
    # Guards against: streams through a dead stage were rerouted after 0.4 s,
    # so that none of them was timely.
    def setUp(self):
        super().setUp()
        for module, name, value in (
            (_attempts, '_STALL_S', _NEVER_S),
            (_attempts, '_FIRST_EVENT_STALL_S', _NEVER_S),
            (_stage_probes, '_TIMEOUT_S', _PROBE_TIMEOUT_S),
        ):
            patch = mock.patch.object(module, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.first = _fleets.create_engine('gpu-1', 'half', (0, 4))
        self.others = [
            _fleets.create_engine(name, 'half', (4, 8))
            for name in ('gpu-2', 'gpu-3')
        ]

    def run_stream(self, stop):
        """Run a stream that stops after an event; return its event ids.

        Parameters
        ----------
        stop : callable
            Coroutine function of the engine that is the second stage.
        """
        configuration = standins.make_configuration(
            engine=standins.make_engine(accelerators=_fleets.ACCELERATORS)
        )
        configuration['routes'][0]['gap_target_ms'] = _GAP_TARGET_MS

        async def serve(request, http, writer):
            path = standins.read_header(request, 'x-sniperudder-hop-count')
            address = path.split(',')[1].partition('=')[0]
            await self.first.send_stream(request, http, writer, upto=1)
            for engine in self.others:
                if engine.address == address:
                    self.stopped = engine
            await stop(self.stopped)
            loop = asyncio.get_running_loop()
            until = loop.time() + _STOPPED_S
            while loop.time() < until and not self.list_reroutes():
                await asyncio.sleep(0.01)
            data = b'id: 2\ndata: 2\n\n'
            writer.write(http.send(h11.Data(data=data)))
            writer.write(http.send(h11.EndOfMessage()))

        async def run():
            async with _fleets.run_fleet(
                self.first, *self.others, configuration=configuration
            ) as test_fleet:
                self.first.script.append(serve)
                _, _, body = await test_fleet.send('/stream/a', wait_ms=5_000)
                self.journal = test_fleet.journal
                return _fleets.list_ids(body)

        return asyncio.run(run())

    def list_reroutes(self):
        """Return the paths of the reroute orders."""
        return [
            order['path']
            for order in self.first.orders
            if order['operation'] == 'repath'
        ]

    def test_stream_is_rerouted_around_dead_stage(self):
        async def crash(engine):
            await engine.stop()

        self.assertEqual([1, 2], self.run_stream(crash))
        self.assertNotIn(self.stopped.address, self.list_reroutes()[0])
        failed = self.journal.list_events('endpoint:failed')
        self.assertEqual(['gone'], [fields['sign'] for fields in failed])

    def test_stream_is_rerouted_around_silent_stage(self):
        async def fall_silent(engine):
            engine.respond = _respond_never

        self.assertEqual([1, 2], self.run_stream(fall_silent))
        self.assertNotIn(self.stopped.address, self.list_reroutes()[0])

    # Guards against: a death is noticed only by a check, when it is too late
    # for a timely stream.
    def test_death_of_stage_is_noticed_without_a_check(self):
        patch = mock.patch.object(_stage_probes, '_MAX_CALLS', 0.0)
        patch.start()
        self.addCleanup(patch.stop)

        async def crash(engine):
            await engine.stop()

        self.assertEqual([1, 2], self.run_stream(crash))
        self.assertNotIn(self.stopped.address, self.list_reroutes()[0])

    # Guards against: an engine that closes idle connections is taken for dead.
    def test_stage_that_closes_its_connections_is_not_dead(self):
        async def close_connections(engine):
            await asyncio.sleep(0.1)
            for writer in list(engine._readers):
                writer.transport.abort()

        self.run_stream(close_connections)
        self.assertEqual([], self.list_reroutes())
        self.assertEqual([], self.journal.list_events('endpoint:failed'))

    # Guards against: an instance that is cut off takes its engines for dead.
    def test_nothing_is_concluded_if_all_stages_are_silent(self):
        async def fall_silent(engine):
            engine.respond = _respond_never
            self.first.respond = _respond_never

        self.run_stream(fall_silent)
        self.assertEqual([], self.list_reroutes())
        self.assertEqual([], self.journal.list_events('endpoint:failed'))

    # Guards against: streams that are merely slow are rerouted.
    def test_stream_is_not_rerouted_around_live_stages(self):
        async def do_nothing(engine):
            del engine

        self.run_stream(do_nothing)
        self.assertEqual([], self.list_reroutes())


async def _respond_never(request, body, http, writer):
    await asyncio.sleep(_NEVER_S)
