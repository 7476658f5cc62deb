"""Tests of pipeline stages that fail, leave or are slow during a stream."""

import asyncio

import h11
import testtools

from sniperudder.entry.tests import _fleets
from standins import fleet as standins


class LeavingStageTest(testtools.TestCase):
    def test_stream_is_rerouted_around_stage_that_left(self):
        # A stage leaves and exits before its streams have ended. The reports
        # of the first stage do not show this in time.
        first = _fleets.create_engine('gpu-1', 'half', (0, 4))
        left = _fleets.create_engine('gpu-2', 'half', (4, 8))
        spare = _fleets.create_engine('gpu-3', 'half', (4, 8))
        spare.data_centre = 'south'
        rerouted_at = []

        async def run():
            engine = standins.make_engine(accelerators=_fleets.ACCELERATORS)
            options = {'engine': engine}
            async with _fleets.run_fleet(
                first, left, spare, **options
            ) as test_fleet:
                await test_fleet.await_placed()
                loop = asyncio.get_running_loop()

                async def stall(request, http, writer):
                    await first.send_stream(request, http, writer, upto=1)
                    test_fleet.store.put('servers', left.id, None)
                    began = loop.time()
                    while not any(
                        order['operation'] == 'repath'
                        for order in first.orders
                    ):
                        await asyncio.sleep(0.01)
                    rerouted_at.append(loop.time() - began)
                    data = b'id: 2\ndata: 2\n\n'
                    writer.write(http.send(h11.Data(data=data)))
                    writer.write(http.send(h11.EndOfMessage()))

                first.script.append(stall)
                status, _, body = await test_fleet.send('/stream/a')
                self.assertEqual(
                    (200, [1, 2]), (status, _fleets.list_ids(body))
                )

        asyncio.run(run())
        # Callers abandon a stream after a gap of 2 s.
        self.assertLess(rerouted_at[0], 1.0)


class DrippingStreamTest(testtools.TestCase):
    # Guards against: each byte of an incomplete event postponed the check of
    # the stages, so a stalled stream that sent some was never rerouted.
    def test_stalled_stream_that_sends_bytes_is_rerouted(self):
        first = _fleets.create_engine('gpu-1', 'half', (0, 4))
        others = [
            _fleets.create_engine(name, 'half', (4, 8))
            for name in ('gpu-2', 'gpu-3')
        ]
        rerouted_at = []

        async def stall(request, http, writer):
            path = standins.read_header(request, 'x-sniperudder-hop-count')
            address = path.split(',')[1].partition('=')[0]
            first.stalled = [{'id': 'r-1', 'address': address}]
            await first.send_stream(request, http, writer, upto=1)
            loop = asyncio.get_running_loop()
            began = loop.time()
            while loop.time() < began + 2.0 and not any(
                order['operation'] == 'repath' for order in first.orders
            ):
                writer.write(http.send(h11.Data(data=b':')))
                await asyncio.sleep(0.1)
            rerouted_at.append(loop.time() - began)
            data = b'\nid: 2\ndata: 2\n\n'
            writer.write(http.send(h11.Data(data=data)))
            writer.write(http.send(h11.EndOfMessage()))

        async def run():
            profile = standins.make_engine(accelerators=_fleets.ACCELERATORS)
            async with _fleets.run_fleet(
                first, *others, engine=profile
            ) as test_fleet:
                first.script.append(stall)
                return await test_fleet.send('/stream/a', wait_ms=5_000)

        status, _, body = asyncio.run(run())
        self.assertEqual((200, [1, 2]), (status, _fleets.list_ids(body)))
        self.assertLess(rerouted_at[0], 1.0)


class LeavingFirstStageTest(testtools.TestCase):
    def test_stream_continues_when_leaving_stage_refuses_reports(self):
        # A first stage that leaves refuses new connections but finishes its
        # open streams. A refused report must not be taken for a crash.
        first = _fleets.create_engine('gpu-1', layers=(0, 8))
        other = _fleets.create_engine('gpu-2', layers=(0, 8))
        engines = [first, other]

        async def run():
            engine = standins.make_engine(accelerators=_fleets.ACCELERATORS)
            async with _fleets.run_fleet(
                *engines, engine=engine
            ) as test_fleet:
                await test_fleet.await_placed()

                def leave(engine):
                    async def serve(request, http, writer):
                        await engine.send_stream(request, http, writer, upto=1)
                        engine.list_in(test_fleet.store, state='draining')
                        engine.refuse_connections()
                        # Longer than the check of a stalled stream takes.
                        await asyncio.sleep(1.2)
                        data = b'id: 2\ndata: 2\n\n'
                        writer.write(http.send(h11.Data(data=data)))
                        writer.write(http.send(h11.EndOfMessage()))

                    return serve

                for each in engines:
                    each.script.append(leave(each))
                status, _, body = await test_fleet.send(
                    '/stream/a', wait_ms=9_000
                )
                self.assertEqual(
                    (200, [1, 2]), (status, _fleets.list_ids(body))
                )
                silent = test_fleet.journal.list_events('endpoint:silent')
                self.assertNotEqual([], silent)

        asyncio.run(run())
        self.assertEqual(1, len(first.requests) + len(other.requests))


class StageWithoutProgressTest(testtools.TestCase):
    def test_stream_is_rerouted_around_stage_without_progress(self):
        # A stage crashes, and reports do not name it yet. Other streams show
        # that the remaining stages still make progress.
        first = _fleets.create_engine('gpu-1', 'half', (0, 4))
        dead = _fleets.create_engine('gpu-2', 'half', (4, 8))
        spare = _fleets.create_engine('gpu-3', 'half', (4, 8))
        first.events, first.event_s = 60, 0.05
        paths = []

        async def stall(request, http, writer):
            hops = standins.read_header(request, 'x-sniperudder-hop-count')
            paths.append(hops)
            if dead.address not in hops:
                await first.send_stream(request, http, writer)
                return
            await first.send_stream(request, http, writer, upto=1)
            own_id = standins.read_header(request, 'x-sniperudder-request-id')
            while not any(o.get('id') == own_id for o in first.orders):
                await asyncio.sleep(0.01)
            data = b'id: 2\ndata: 2\n\n'
            writer.write(http.send(h11.Data(data=data)))
            writer.write(http.send(h11.EndOfMessage()))

        first.script.extend([stall] * 8)

        async def run():
            engine = standins.make_engine(accelerators=_fleets.ACCELERATORS)
            async with _fleets.run_fleet(
                first, dead, spare, engine=engine
            ) as test_fleet:
                await test_fleet.await_placed()
                sends = [
                    test_fleet.send(
                        '/stream/a',
                        headers=[('X-Sniperudder-Request-Id', f'r-{n}')],
                        wait_ms=9_000,
                    )
                    for n in range(8)
                ]
                responses = await asyncio.gather(*sends)
                self.assertEqual([200] * 8, [r[0] for r in responses])
                reroutes = test_fleet.journal.list_events('stream:moved')
                stalled = sum(dead.address in path for path in paths)
                self.assertEqual(stalled, len(reroutes))
                self.assertTrue(0 < stalled < 8, paths)

        asyncio.run(run())


class SlowOrderTest(testtools.TestCase):
    def test_events_are_forwarded_during_reroute_order(self):
        # An engine responds late to the order to reroute a stream, and
        # meanwhile continues the stream.
        first = _fleets.create_engine('gpu-1', 'half', (0, 4))
        left = _fleets.create_engine('gpu-2', 'half', (4, 8))
        spare = _fleets.create_engine('gpu-3', 'half', (4, 8))
        spare.data_centre = 'south'
        first.events, first.event_s = 50, 0.05
        first.order_s = 0.35
        gaps = []

        async def run():
            engine = standins.make_engine(accelerators=_fleets.ACCELERATORS)
            async with _fleets.run_fleet(
                first, left, spare, engine=engine
            ) as test_fleet:
                await test_fleet.await_placed()
                sending = asyncio.create_task(
                    test_fleet.send('/stream/a', wait_ms=9_000)
                )
                await asyncio.sleep(0.2)
                left.list_in(test_fleet.store, state='draining')
                status, _, _ = await sending
                self.assertEqual(200, status)
                ends = test_fleet.journal.list_events('request:end')
                gaps.append(ends[-1]['pause_ms'])
                reroutes = test_fleet.journal.list_events('stream:moved')
                self.assertEqual(1, len(reroutes))

        asyncio.run(run())
        # A stream with a gap of more than 200 ms does not count as timely.
        self.assertLess(gaps[0], 200)


class UnansweredOrderTest(testtools.TestCase):
    # Guards against: the first stage was silent when it was ordered to reroute
    # a stream, and obeyed later. The stream was then taken to run through the
    # stage before, and wasn't rerouted when the new one left.
    def test_stream_is_rerouted_again_after_an_order_without_an_answer(self):
        first = _fleets.create_engine('gpu-1', 'half', (0, 4))
        others = [
            _fleets.create_engine(name, 'half', (4, 8))
            for name in ('gpu-2', 'gpu-3')
        ]
        paths = []

        def list_paths():
            return [o['path'] for o in first.orders if 'path' in o]

        async def run():
            profile = standins.make_engine(accelerators=_fleets.ACCELERATORS)
            async with _fleets.run_fleet(
                first, *others, engine=profile
            ) as test_fleet:

                async def stall(request, http, writer):
                    path = standins.read_header(
                        request, 'x-sniperudder-hop-count'
                    )
                    address = path.split(',')[1].partition('=')[0]
                    (new,) = [e for e in others if e.address != address]
                    first.stalled = [{'id': 'r-1', 'address': address}]
                    first.order_s = 0.6
                    await first.send_stream(request, http, writer, upto=1)
                    while not list_paths():
                        await asyncio.sleep(0.01)
                    first.stalled, first.order_s = [], 0.0
                    orders = []
                    for number in range(2, 40):
                        data = f'id: {number}\ndata: {number}\n\n'.encode()
                        writer.write(http.send(h11.Data(data=data)))
                        await asyncio.sleep(0.1)
                        if number == 10:
                            orders = list_paths()
                            new.list_in(test_fleet.store, state='draining')
                    writer.write(http.send(h11.EndOfMessage()))
                    paths.extend(
                        new.address in path
                        for path in (orders[-1], list_paths()[-1])
                    )

                first.script.append(stall)
                return await test_fleet.send('/stream/a', wait_ms=9_000)

        status, _, body = asyncio.run(run())
        self.assertEqual(200, status)
        self.assertEqual(list(range(1, 40)), _fleets.list_ids(body))
        # Through the new stage, and around it once it leaves.
        self.assertEqual([True, False], paths)


class SlowEngineTest(testtools.TestCase):
    def test_slow_engine_is_logged(self):
        # One of two engines runs at a fifth of its normal speed. If its
        # samples arrive first, its speed is taken to be normal, and the
        # engine is not found slow until those samples have left the window
        # of 2 s. Samples of both engines must arrive for longer than that,
        # so all streams last 4 s.
        engines = [
            _fleets.create_engine(f'gpu-{number}', layers=(0, 8))
            for number in (1, 2)
        ]
        engines[0].events, engines[0].event_s = 100, 0.04
        engines[1].events, engines[1].event_s = 20, 0.2

        async def run():
            engine = standins.make_engine(accelerators=_fleets.ACCELERATORS)
            async with _fleets.run_fleet(
                *engines, engine=engine
            ) as test_fleet:
                async with asyncio.TaskGroup() as group:
                    for _ in range(12):
                        group.create_task(
                            test_fleet.send('/stream/a', wait_ms=10_000)
                        )
                    await test_fleet.await_event('endpoint:slow')
                return test_fleet.journal

        journal = asyncio.run(run())
        slow = [
            line[1] for line in journal.lines if line[0] == 'endpoint:slow'
        ]
        self.assertEqual(['gpu-2'], slow)
