"""Tests of event streams and of placement, over loopback."""

import asyncio
import re

import h11
import testtools

from sniperudder.entry.tests import _fleets
from standins import fleet as standins

_CARDS = {'big': 12_000.0, 'half': 7_000.0}


def create_engine(name, card='big', layers=None):
    """Return an engine, which may hold layers from the beginning."""
    engine = standins.EndpointStandin(name, 'llm', card=card)
    engine.layers = layers
    return engine


def list_ids(body):
    """Return the ids of a stream's events."""
    return [int(found) for found in re.findall(rb'id: (\d+)', body)]


class StreamTest(testtools.TestCase):
    def run_fleet(self, case, *endpoints):
        async def run():
            engine = standins.make_engine(cards=_CARDS)
            async with _fleets.run_fleet(*endpoints, engine=engine) as fleet:
                await fleet.await_placed()
                await case(fleet)

        asyncio.run(run())

    def test_stream_passes_whole(self):
        engine = create_engine('gpu-1', layers=(0, 8))

        async def case(fleet):
            status, headers, body = await fleet.send('/stream/a')
            self.assertEqual(200, status)
            self.assertEqual([1, 2, 3], list_ids(body))
            self.assertEqual('seal', headers['x-sniperudder-response-seal'])

        self.run_fleet(case, engine)

    def test_chain_tiles_the_layers(self):
        left = create_engine('gpu-1', 'half', (0, 4))
        right = create_engine('gpu-2', 'half', (4, 8))

        async def case(fleet):
            status, _, _ = await fleet.send('/stream/a')
            self.assertEqual(200, status)

        self.run_fleet(case, left, right)
        self.assertEqual([], right.requests)
        request, _ = left.requests[0]
        self.assertEqual(
            f'{left.address}=0-4,{right.address}=4-8',
            standins.read_header(request, 'x-sniperudder-hop-count'),
        )

    def test_broken_stream_goes_on_elsewhere(self):
        engines = [
            create_engine('gpu-1', layers=(0, 8)),
            create_engine('gpu-2', layers=(0, 8)),
        ]

        def break_off(engine):
            async def serve(request, http, writer):
                await engine.send_stream(request, http, writer, upto=2)
                # A part of an event, then nothing more.
                writer.write(http.send(h11.Data(data=b'id: 3\ndat')))
                await writer.drain()
                await asyncio.sleep(0.05)
                writer.transport.abort()
                raise OSError('reset by the script')

            return serve

        first = []

        async def case(fleet):
            for engine in engines:
                engine.script.append(break_off(engine))
            # The second engine must serve as usual, whichever it is.
            sending = asyncio.create_task(fleet.send('/stream/a'))
            while not (engines[0].requests or engines[1].requests):
                await asyncio.sleep(0.001)
            first.extend(e for e in engines if e.requests)
            for engine in engines:
                engine.script.clear()
            status, _, body = await sending
            self.assertEqual((200, [1, 2, 3]), (status, list_ids(body)))

        self.run_fleet(case, *engines)
        (other,) = [e for e in engines if e is not first[0]]
        request, _ = other.requests[0]
        resumed = standins.read_header(request, 'last-event-id')
        self.assertEqual('2', resumed)

    def test_broken_stream_that_cannot_go_on_never_looks_whole(self):
        engine = create_engine('gpu-1', layers=(0, 8))

        async def break_off(request, http, writer):
            await engine.send_stream(request, http, writer, upto=2)
            await asyncio.sleep(0.05)
            writer.transport.abort()
            raise OSError('reset by the script')

        engine.script.append(break_off)

        async def case(fleet):
            cut = h11.RemoteProtocolError
            with testtools.ExpectedException(cut):
                await fleet.send('/once/a')

        self.run_fleet(case, engine)
        self.assertEqual(1, len(engine.requests))

    def test_stream_that_ends_within_an_event_never_looks_whole(self):
        engine = create_engine('gpu-1', layers=(0, 8))

        async def end_early(request, http, writer):
            await engine.send_stream(request, http, writer, upto=2)
            writer.write(
                http.send(h11.Data(data=b'id: 3\ndat'))
                + http.send(h11.EndOfMessage())
            )

        engine.script.append(end_early)

        async def case(fleet):
            with testtools.ExpectedException(h11.RemoteProtocolError):
                await fleet.send('/once/a')

        self.run_fleet(case, engine)

    def test_events_that_come_again_are_not_passed_on(self):
        # Pattern: the engine that goes on with a stream begins it anew.
        engines = [
            create_engine('gpu-1', layers=(0, 8)),
            create_engine('gpu-2', layers=(0, 8)),
        ]

        def serve_anew(engine):
            async def serve(request, http, writer):
                headers = [
                    pair
                    for pair in request.headers
                    if pair[0] != b'last-event-id'
                ]
                anew = h11.Request(
                    method=request.method,
                    target=request.target,
                    headers=headers,
                )
                await engine.send_stream(anew, http, writer, upto=2)
                await asyncio.sleep(0.05)
                writer.transport.abort()
                raise OSError('reset by the script')

            return serve

        for engine in engines:
            engine.script.append(serve_anew(engine))

        async def case(fleet):
            with testtools.ExpectedException(h11.RemoteProtocolError):
                await fleet.send('/stream/a')
            (end,) = fleet.journal.list_events('request:end')
            self.assertIn('event 1 after 2', end['sends'][1])

        self.run_fleet(case, *engines)

    def test_stalled_stream_is_moved_off_the_dead_stage(self):
        first = create_engine('gpu-1', 'half', (0, 4))
        dead = create_engine('gpu-2', 'half', (4, 8))
        spare = create_engine('gpu-3', 'half', (4, 8))
        # The dearer data centre is not chosen at first.
        spare.data_centre = 'south'

        async def stall(request, http, writer):
            await first.send_stream(request, http, writer, upto=1)
            first.stalled = [{'id': 'r-1', 'address': dead.address}]
            while not any(o['operation'] == 'repath' for o in first.orders):
                await asyncio.sleep(0.01)
            data = b'id: 2\ndata: 2\n\n'
            writer.write(http.send(h11.Data(data=data)))
            writer.write(http.send(h11.EndOfMessage()))

        first.script.append(stall)

        async def case(fleet):
            status, _, body = await fleet.send('/stream/a')
            self.assertEqual((200, [1, 2]), (status, list_ids(body)))

        self.run_fleet(case, first, dead, spare)
        (order,) = [o for o in first.orders if o['operation'] == 'repath']
        self.assertEqual('r-1', order['id'])
        self.assertEqual(
            f'{first.address}=0-4,{spare.address}=4-8', order['path']
        )


class FailingEngineTest(testtools.TestCase):
    """Pattern: engines fail part of their requests while they look well."""

    def run_engines(self, case):
        """Run a case with two engines that hold all layers."""
        engines = [
            create_engine('gpu-1', layers=(0, 8)),
            create_engine('gpu-2', layers=(0, 8)),
        ]

        async def run():
            engine = standins.make_engine(cards=_CARDS)
            async with _fleets.run_fleet(*engines, engine=engine) as fleet:
                await fleet.await_placed()
                await case(fleet, engines)

        asyncio.run(run())

    def test_stream_is_sent_again_after_an_error(self):
        async def case(fleet, engines):
            first = []

            def fail_first(engine):
                async def serve(request, http, writer):
                    if first:
                        await engine.send_stream(request, http, writer)
                    else:
                        first.append(engine)
                        await engine.fail()(request, http, writer)

                return serve

            for engine in engines:
                engine.script.append(fail_first(engine))
            status, _, body = await fleet.send('/stream/a')
            self.assertEqual((200, [1, 2, 3]), (status, list_ids(body)))

        self.run_engines(case)

    def test_error_of_a_stream_that_may_not_run_twice_is_passed_on(self):
        async def case(fleet, engines):
            for engine in engines:
                engine.script.append(engine.fail())
            status, _, body = await fleet.send('/once/a')
            self.assertEqual((500, b'bad'), (status, body))

        self.run_engines(case)

    def test_error_behind_the_first_events_never_looks_whole(self):
        async def case(fleet, engines):
            sends = []

            def break_then_fail(engine):
                async def serve(request, http, writer):
                    sends.append(engine)
                    if len(sends) == 1:
                        await engine.send_stream(request, http, writer, upto=2)
                        await asyncio.sleep(0.05)
                        writer.transport.abort()
                        raise OSError('reset by the script')
                    await engine.fail()(request, http, writer)

                return serve

            for engine in engines:
                engine.script.extend([break_then_fail(engine)] * 2)
            with testtools.ExpectedException(h11.RemoteProtocolError):
                await fleet.send('/stream/a')
            self.assertEqual([], fleet.journal.list_events('instance:fault'))

        self.run_engines(case)

    def test_stream_without_ids_is_not_joined(self):
        async def case(fleet, engines):
            async def break_off(request, http, writer):
                headers = [
                    ('Transfer-Encoding', 'chunked'),
                    *standins.make_seal(request),
                ]
                writer.write(
                    http.send(h11.Response(status_code=200, headers=headers))
                    + http.send(h11.Data(data=b'data: 1\n\n'))
                )
                await writer.drain()
                await asyncio.sleep(0.05)
                writer.transport.abort()
                raise OSError('reset by the script')

            for engine in engines:
                engine.script.append(break_off)
            with testtools.ExpectedException(h11.RemoteProtocolError):
                await fleet.send('/stream/a')
            self.assertEqual(1, sum(len(e.requests) for e in engines))

        self.run_engines(case)


class LeavingStageTest(testtools.TestCase):
    def test_silent_stream_is_moved_off_a_stage_that_left(self):
        # Pattern: a stage leaves and ends before its streams do; reports
        # of the first stage do not tell of it in time.
        first = create_engine('gpu-1', 'half', (0, 4))
        left = create_engine('gpu-2', 'half', (4, 8))
        spare = create_engine('gpu-3', 'half', (4, 8))
        spare.data_centre = 'south'
        moved_at = []

        async def run():
            engine = standins.make_engine(cards=_CARDS)
            fleet_options = {'engine': engine}
            async with _fleets.run_fleet(
                first, left, spare, **fleet_options
            ) as fleet:
                await fleet.await_placed()
                loop = asyncio.get_running_loop()

                async def stall(request, http, writer):
                    await first.send_stream(request, http, writer, upto=1)
                    fleet.store.put('servers', left.id, None)
                    began = loop.time()
                    while not any(
                        order['operation'] == 'repath'
                        for order in first.orders
                    ):
                        await asyncio.sleep(0.01)
                    moved_at.append(loop.time() - began)
                    data = b'id: 2\ndata: 2\n\n'
                    writer.write(http.send(h11.Data(data=data)))
                    writer.write(http.send(h11.EndOfMessage()))

                first.script.append(stall)
                status, _, body = await fleet.send('/stream/a')
                self.assertEqual((200, [1, 2]), (status, list_ids(body)))

        asyncio.run(run())
        # Callers leave a stream after a pause of 2 s.
        self.assertLess(moved_at[0], 1.0)


class LeavingFirstStageTest(testtools.TestCase):
    def test_stream_is_not_cut_where_the_first_stage_refuses_reports(self):
        # Pattern: a first stage leaves; it refuses new connections, and
        # ends what it has begun. A report that is refused is no death.
        first = create_engine('gpu-1', layers=(0, 8))
        other = create_engine('gpu-2', layers=(0, 8))
        engines = [first, other]

        async def run():
            engine = standins.make_engine(cards=_CARDS)
            async with _fleets.run_fleet(*engines, engine=engine) as fleet:
                await fleet.await_placed()

                def leave(engine):
                    async def serve(request, http, writer):
                        await engine.send_stream(request, http, writer, upto=1)
                        engine.list_in(fleet.store, state='draining')
                        engine.refuse_connections()
                        # Longer than a look at a silent stream takes.
                        await asyncio.sleep(1.2)
                        data = b'id: 2\ndata: 2\n\n'
                        writer.write(http.send(h11.Data(data=data)))
                        writer.write(http.send(h11.EndOfMessage()))

                    return serve

                for each in engines:
                    each.script.append(leave(each))
                status, _, body = await fleet.send('/stream/a', wait_ms=9_000)
                self.assertEqual((200, [1, 2]), (status, list_ids(body)))
                silent = fleet.journal.list_events('endpoint:silent')
                self.assertNotEqual([], silent)

        asyncio.run(run())
        self.assertEqual(1, len(first.requests) + len(other.requests))


class SilentStageTest(testtools.TestCase):
    def test_stage_without_any_progress_is_left(self):
        # Pattern: a stage crashes, and reports do not name it yet. Streams
        # beside the stalled one show that the other stages go on.
        first = create_engine('gpu-1', 'half', (0, 4))
        dead = create_engine('gpu-2', 'half', (4, 8))
        spare = create_engine('gpu-3', 'half', (4, 8))
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
            engine = standins.make_engine(cards=_CARDS)
            async with _fleets.run_fleet(
                first, dead, spare, engine=engine
            ) as fleet:
                await fleet.await_placed()
                sends = [
                    fleet.send(
                        '/stream/a',
                        headers=[('X-Sniperudder-Request-Id', f'r-{n}')],
                        wait_ms=9_000,
                    )
                    for n in range(8)
                ]
                answers = await asyncio.gather(*sends)
                self.assertEqual([200] * 8, [a[0] for a in answers])
                moves = fleet.journal.list_events('stream:moved')
                stalled = sum(dead.address in path for path in paths)
                self.assertEqual(stalled, len(moves))
                self.assertTrue(0 < stalled < 8, paths)

        asyncio.run(run())


class SlowOrderTest(testtools.TestCase):
    def test_events_pass_while_a_move_is_ordered(self):
        # Pattern: an engine answers the order to move a stream late, and
        # goes on with the stream meanwhile.
        first = create_engine('gpu-1', 'half', (0, 4))
        left = create_engine('gpu-2', 'half', (4, 8))
        spare = create_engine('gpu-3', 'half', (4, 8))
        spare.data_centre = 'south'
        first.events, first.event_s = 50, 0.05
        first.order_s = 0.35
        pauses = []

        async def run():
            engine = standins.make_engine(cards=_CARDS)
            async with _fleets.run_fleet(
                first, left, spare, engine=engine
            ) as fleet:
                await fleet.await_placed()
                sending = asyncio.create_task(
                    fleet.send('/stream/a', wait_ms=9_000)
                )
                await asyncio.sleep(0.2)
                left.list_in(fleet.store, state='draining')
                status, _, _ = await sending
                self.assertEqual(200, status)
                ends = fleet.journal.list_events('request:end')
                pauses.append(ends[-1]['pause_ms'])
                moves = fleet.journal.list_events('stream:moved')
                self.assertEqual(1, len(moves))

        asyncio.run(run())
        # The longest pause of a timely stream is 200 ms.
        self.assertLess(pauses[0], 200)


class SlowEngineTest(testtools.TestCase):
    def test_slow_engine_is_told(self):
        # Pattern: one of several engines runs at a fifth of its speed.
        engines = [
            create_engine(f'gpu-{number}', layers=(0, 8)) for number in (1, 2)
        ]
        for engine in engines:
            engine.events, engine.event_s = 20, 0.04
        engines[1].event_s = 0.2

        async def run():
            engine = standins.make_engine(cards=_CARDS)
            async with _fleets.run_fleet(*engines, engine=engine) as fleet:
                async with asyncio.TaskGroup() as group:
                    for _ in range(12):
                        group.create_task(
                            fleet.send('/stream/a', wait_ms=10_000)
                        )
                    await fleet.await_event('endpoint:slow')
                return fleet.journal

        journal = asyncio.run(run())
        slow = [
            line[1] for line in journal.lines if line[0] == 'endpoint:slow'
        ]
        self.assertEqual(['gpu-2'], slow)


class PlacementTest(testtools.TestCase):
    def test_empty_engines_are_given_all_layers(self):
        engines = [create_engine(f'gpu-{n}', 'half') for n in range(4)]

        async def run():
            engine = standins.make_engine(cards=_CARDS)
            async with _fleets.run_fleet(*engines, engine=engine) as fleet:
                await fleet.await_placed()
                status, _, body = await fleet.send('/stream/a')
                self.assertEqual((200, [1, 2, 3]), (status, list_ids(body)))

        asyncio.run(run())
        held = set()
        for engine in engines:
            (order,) = engine.orders
            self.assertEqual(0, order['expected_rev'])
            self.assertLessEqual(order['to'] - order['from'], 7)
            held.update(range(order['from'], order['to']))
        self.assertEqual(set(range(8)), held)

    def test_one_instance_of_two_gives_orders(self):
        engine = create_engine('gpu-1')

        async def run():
            wanted = standins.make_engine(cards=_CARDS)
            async with _fleets.run_fleet(engine, engine=wanted) as fleet:
                taken = fleet.journal
                first = fleet.instance
                fleet.journal = _fleets.Recorder()
                await fleet.start_instance()
                await fleet.await_placed()
                await asyncio.sleep(1.0)
                second = fleet.journal
                await first.close()
                leases = [
                    len(journal.list_events('lease:taken'))
                    for journal in (taken, second)
                ]
                self.assertEqual(1, sum(leases))

        asyncio.run(run())
        self.assertEqual(1, len(engine.orders))

    def test_order_that_is_carried_out_late_changes_nothing(self):
        # Pattern: an order gets no answer, another is given, and the first
        # one is carried out after it.
        engine = create_engine('gpu-1')
        engine.late_orders_s.append(2.5)

        async def run():
            wanted = standins.make_engine(cards=_CARDS)
            async with _fleets.run_fleet(engine, engine=wanted) as fleet:
                await fleet.await_placed()
                held = engine.layers
                async with asyncio.timeout(5):
                    while not engine.refused_orders:
                        await asyncio.sleep(0.05)
                return held

        held = asyncio.run(run())
        self.assertEqual(held, engine.layers)
        self.assertEqual(
            (1, 1), (len(engine.orders), len(engine.refused_orders))
        )
