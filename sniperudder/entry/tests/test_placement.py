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

    def run_lapse(self, end_lapse, lapsed_s):
        """Remove an engine's entry; return the orders to the others."""
        layers = ((0, 4), (4, 8), (0, 4))
        engines = [
            _fleets.create_engine(f'gpu-{n}', 'half', held)
            for n, held in enumerate(layers)
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
                await asyncio.sleep(lapsed_s)
                return [o for e in engines for o in e.orders]

        return asyncio.run(run())

    # Guards against: an engine was ordered to give up its layers for those of
    # another one, whose entry had only lapsed.
    def test_no_engine_is_moved_for_one_whose_entry_lapsed(self):
        orders = self.run_lapse(lambda engine: None, lapsed_s=1.2)
        self.assertEqual([], orders)

    def test_engine_is_moved_for_one_that_stays_unlisted(self):
        (order,) = self.run_lapse(lambda engine: None, lapsed_s=3.2)
        self.assertEqual((4, 8), (order['from'], order['to']))

    def test_engine_is_moved_at_once_for_one_that_ended(self):
        (order,) = self.run_lapse(
            lambda engine: engine.refuse_connections(), lapsed_s=1.2
        )
        self.assertEqual((4, 8), (order['from'], order['to']))
