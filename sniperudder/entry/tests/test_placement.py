"""Tests of layer placement with a fleet on the loopback interface."""

import asyncio

import testtools

from sniperudder.entry.tests import _fleets
from standins import fleet as standins


class PlacementTest(testtools.TestCase):
    def test_all_layers_are_placed_on_empty_engines(self):
        engines = [_fleets.create_engine(f'gpu-{n}', 'half') for n in range(4)]

        async def run():
            engine = standins.make_engine(accelerators=_fleets.ACCELERATORS)
            async with _fleets.run_fleet(
                *engines, engine=engine
            ) as test_fleet:
                await test_fleet.await_placed()
                status, _, body = await test_fleet.send('/stream/a')
                self.assertEqual(
                    (200, [1, 2, 3]), (status, _fleets.list_ids(body))
                )

        asyncio.run(run())
        held = set()
        for engine in engines:
            (order,) = engine.orders
            self.assertEqual(0, order['expected_rev'])
            self.assertLessEqual(order['to'] - order['from'], 7)
            held.update(range(order['from'], order['to']))
        self.assertEqual(set(range(8)), held)

    def test_only_one_of_two_instances_sends_orders(self):
        engine = _fleets.create_engine('gpu-1')

        async def run():
            engine_config = standins.make_engine(
                accelerators=_fleets.ACCELERATORS
            )
            async with _fleets.run_fleet(
                engine, engine=engine_config
            ) as test_fleet:
                first_journal = test_fleet.journal
                first = test_fleet.instance
                test_fleet.journal = _fleets.RecordingJournal()
                await test_fleet.start_instance()
                await test_fleet.await_placed()
                await asyncio.sleep(1.0)
                second_journal = test_fleet.journal
                await first.close()
                leases = [
                    len(journal.list_events('lease:taken'))
                    for journal in (first_journal, second_journal)
                ]
                self.assertEqual(1, sum(leases))

        asyncio.run(run())
        self.assertEqual(1, len(engine.orders))

    def test_late_order_changes_nothing(self):
        # An order receives no response, so that a second one is sent. When
        # the engine then carries out the first one, its expected order count
        # no longer matches.
        engine = _fleets.create_engine('gpu-1')
        engine.late_orders_s.append(2.5)

        async def run():
            engine_config = standins.make_engine(
                accelerators=_fleets.ACCELERATORS
            )
            async with _fleets.run_fleet(
                engine, engine=engine_config
            ) as test_fleet:
                await test_fleet.await_placed()
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


class LapsedEntryTest(testtools.TestCase):
    """A data centre lacks layers while an engine's entry is missing."""

    def run_lapse(self, end_lapse, lapsed_s, held=((0, 4), (4, 8), (0, 4))):
        """Remove an engine's entry; return the orders to the others."""
        engines = [
            _fleets.create_engine(f'gpu-{n}', 'half', layers)
            for n, layers in enumerate(held)
        ]

        async def run():
            profile = standins.make_engine(accelerators=_fleets.ACCELERATORS)
            async with _fleets.run_fleet(
                *engines, engine=profile
            ) as test_fleet:
                await test_fleet.await_event('lease:taken')
                await asyncio.sleep(0.5)
                test_fleet.store.put('servers', 'gpu-1', None)
                end_lapse(engines[1])
                for engine in engines[3:]:
                    test_fleet.store.put('servers', engine.id, None)
                    await asyncio.sleep(1.2)
                await asyncio.sleep(lapsed_s)
                return [o for e in engines for o in e.orders]

        return asyncio.run(run())

    # Guards against: an engine was ordered to give up its layers for those of
    # another one, whose entry had only lapsed.
    def test_no_engine_is_moved_for_one_whose_entry_lapsed(self):
        orders = self.run_lapse(lambda engine: None, lapsed_s=1.2)
        self.assertEqual([], orders)

    def test_no_engine_is_moved_for_one_that_is_silent(self):
        async def keep_silent(request, body, http, writer):
            await asyncio.sleep(60.0)

        def fall_silent(engine):
            engine.respond = keep_silent

        orders = self.run_lapse(fall_silent, lapsed_s=1.4)
        self.assertEqual([], orders)

    # Guards against: an engine that refused or reset the call that asked for
    # its report, as busy ones do, was taken for one that had ended.
    def test_no_engine_is_moved_for_one_that_resets_the_call(self):
        async def reset(request, body, http, writer):
            writer.transport.abort()
            raise OSError('reset by the script')

        def begin_resets(engine):
            engine.respond = reset

        orders = self.run_lapse(begin_resets, lapsed_s=1.2)
        self.assertEqual([], orders)

    def test_engine_is_moved_for_one_that_stays_unlisted(self):
        (order,) = self.run_lapse(lambda engine: None, lapsed_s=3.2)
        self.assertEqual((4, 8), (order['from'], order['to']))

    def test_engine_is_moved_at_once_for_one_that_ended(self):
        (order,) = self.run_lapse(
            lambda engine: engine.refuse_connections(), lapsed_s=1.2
        )
        self.assertEqual((4, 8), (order['from'], order['to']))

    # Guards against: layers stayed missing for as long as entries of other
    # engines lapsed, one after the other.
    def test_engine_is_moved_beside_lapses_of_others(self):
        held = ((0, 4), (4, 8), (0, 4), (0, 4), (0, 4))
        (order,) = self.run_lapse(
            lambda engine: engine.refuse_connections(), 0.0, held
        )
        self.assertEqual((4, 8), (order['from'], order['to']))

    # Guards against: an engine that lapsed while it loaded was replaced.
    def test_no_engine_is_moved_for_one_that_lapsed_while_it_loads(self):
        engines = [
            _fleets.create_engine(f'gpu-{n}', 'half', layers)
            for n, layers in enumerate(((0, 4), None, (0, 4)))
        ]
        loading = asyncio.Event()

        def begin_loading(order):
            loading.set()
            return 202

        engines[1]._begin_order = begin_loading

        async def run():
            profile = standins.make_engine(accelerators=_fleets.ACCELERATORS)
            async with _fleets.run_fleet(
                *engines, engine=profile
            ) as test_fleet:
                await asyncio.wait_for(loading.wait(), 5.0)
                await asyncio.sleep(0.3)
                test_fleet.store.put('servers', 'gpu-1', None)
                await asyncio.sleep(1.2)

        asyncio.run(run())
        self.assertEqual([], engines[0].orders + engines[2].orders)

    # Guards against: new engines were given other layers than those of engines
    # that had ended in silence a second before.
    def test_new_engine_is_given_layers_of_a_silent_one(self):
        engines = [
            _fleets.create_engine(f'gpu-{n}', 'half', layers)
            for n, layers in enumerate(((0, 4), (4, 8)))
        ]
        added = _fleets.create_engine('gpu-3', 'half')

        async def keep_silent(request, body, http, writer):
            await asyncio.sleep(60.0)

        async def run():
            profile = standins.make_engine(accelerators=_fleets.ACCELERATORS)
            async with _fleets.run_fleet(
                *engines, engine=profile
            ) as test_fleet:
                await test_fleet.await_event('lease:taken')
                await asyncio.sleep(0.5)
                engines[1].respond = keep_silent
                test_fleet.store.put('servers', 'gpu-1', None)
                await asyncio.sleep(0.3)
                await added.start()
                added.list_in(test_fleet.store)
                await asyncio.sleep(1.0)
                await added.stop()

        asyncio.run(run())
        (order,) = added.orders
        self.assertEqual((4, 8), (order['from'], order['to']))
        self.assertEqual([], engines[0].orders)

    # Guards against: the ranges of all data centres were laid out anew while
    # the entry of an engine in one of them was missing.
    def test_no_engine_of_another_data_centre_is_moved(self):
        layout = {
            'north': (
                'b',
                (0, 39),
                'a',
                (39, 61),
                'b',
                (26, 61),
                'a',
                (0, 26),
            ),
            'south': (
                'a',
                (39, 61),
                'b',
                (26, 61),
                'a',
                (0, 26),
                'b',
                (0, 39),
            ),
        }
        engines = []
        for data_centre, held in layout.items():
            for kind, layers in zip(held[::2], held[1::2]):
                engine = standins.EndpointStandin(
                    f'gpu-{len(engines)}', 'llm', data_centre, kind
                )
                engine.layers = layers
                engines.append(engine)

        async def run():
            profile = standins.make_engine(61, {'a': 40_000.0, 'b': 64_000.0})
            async with _fleets.run_fleet(
                *engines, engine=profile
            ) as test_fleet:
                await test_fleet.await_event('lease:taken')
                await asyncio.sleep(1.0)
                test_fleet.store.put('servers', 'gpu-4', None)
                await asyncio.sleep(1.2)
                return test_fleet.journal.list_events('order:planned')

        self.assertEqual([], asyncio.run(run()))
