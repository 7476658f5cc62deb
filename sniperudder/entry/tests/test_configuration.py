"""Tests of watching the store with a fleet on the loopback interface."""

import asyncio

import testtools

from sniperudder.entry.tests import _fleets
from standins import fleet as standins


class ConfigurationTest(testtools.TestCase):
    def run_fleet(self, case, *endpoints, **options):
        async def run():
            async with _fleets.run_fleet(*endpoints, **options) as test_fleet:
                await case(test_fleet)

        asyncio.run(run())

    def test_instance_is_not_ready_without_configuration(self):
        async def run():
            test_fleet = _fleets.Fleet([_fleets.create_desk()])
            await test_fleet.start(None)
            try:
                await test_fleet.await_event('endpoint:listed')
                self.assertEqual(503, await test_fleet.get_readiness())
                status, _, _ = await test_fleet.send('/safe/a')
                self.assertEqual(503, status)
            finally:
                await test_fleet.stop()

        asyncio.run(run())

    def test_new_version_is_applied_and_never_reverted(self):
        async def case(test_fleet):
            new = standins.make_configuration(version=5)
            new['routes'] = [r for r in new['routes'] if r['name'] != 'safe']
            test_fleet.store.put_json('op', 'config', new)
            await asyncio.sleep(0.2)
            status, _, _ = await test_fleet.send('/safe/a')
            self.assertEqual(404, status)
            test_fleet.store.put_json(
                'op', 'config', standins.make_configuration(version=4)
            )
            await asyncio.sleep(0.2)
            status, _, _ = await test_fleet.send('/safe/a')
            self.assertEqual(404, status)

        self.run_fleet(case, _fleets.create_desk())

    def test_change_in_dropped_history_is_applied(self):
        async def case(test_fleet):
            test_fleet.store.put_json(
                'op', 'config', standins.make_configuration(version=2)
            )
            test_fleet.store.forget_history()
            await asyncio.sleep(0.3)
            versions = [
                subject
                for event, subject, _ in test_fleet.journal.lines
                if event == 'configuration:in force'
            ]
            self.assertEqual(['1', '2'], versions)

        self.run_fleet(case, _fleets.create_desk())

    def test_failing_store_is_polled_until_it_recovers(self):
        async def case(test_fleet):
            test_fleet.store.failure_status = 503
            test_fleet.store.forget_history()
            await test_fleet.await_event('platform:lost')
            test_fleet.store.failure_status = None
            test_fleet.store.put_json(
                'op', 'config', standins.make_configuration(version=2)
            )
            await test_fleet.await_event('platform:regained')
            await asyncio.sleep(0.2)
            status, _, _ = await test_fleet.send('/safe/a')
            self.assertEqual(200, status)

        self.run_fleet(case, _fleets.create_desk())

    def test_revoked_key_is_rejected(self):
        async def case(test_fleet):
            self.assertEqual(200, (await test_fleet.send('/safe/a'))[0])
            new = standins.make_configuration(version=2)
            new['tenants'][0]['api_keys'] = ['key-9']
            test_fleet.store.put_json('op', 'config', new)
            await asyncio.sleep(0.2)
            self.assertEqual(401, (await test_fleet.send('/safe/a'))[0])

        self.run_fleet(case, _fleets.create_desk())

    def test_last_of_many_quick_versions_is_applied(self):
        # Users' requirement for the time until a version is applied.
        bound_s = 2.0

        async def case(test_fleet):
            for version in range(2, 60):
                new = standins.make_configuration(version=version)
                if version == 59:
                    new['routes'] = [
                        r for r in new['routes'] if r['name'] != 'safe'
                    ]
                test_fleet.store.put_json('op', 'config', new)
                await asyncio.sleep(0.01)
            async with asyncio.timeout(bound_s):
                while (await test_fleet.send('/safe/a'))[0] != 404:
                    await asyncio.sleep(0.02)

        self.run_fleet(case, _fleets.create_desk())

    def test_version_is_applied_in_time_with_slow_store(self):
        # The store's responses take 88 times as long as usual.
        bound_s = 2.0

        async def case(test_fleet):
            test_fleet.store.delay_s = 0.35
            # The whole table is read again, each response with the same delay.
            test_fleet.store.forget_history()
            await test_fleet.await_event('table:gap')
            new = standins.make_configuration(version=2)
            new['routes'] = [r for r in new['routes'] if r['name'] != 'safe']
            test_fleet.store.put_json('op', 'config', new)
            async with asyncio.timeout(bound_s):
                while (await test_fleet.send('/safe/a'))[0] != 404:
                    await asyncio.sleep(0.02)

        self.run_fleet(case, _fleets.create_desk())

    def test_unresponsive_store_does_not_stop_requests(self):
        async def case(test_fleet):
            test_fleet.store.silent = True
            # Ends the pending long polls; later calls receive no response.
            test_fleet.store.forget_history()
            await test_fleet.await_event('platform:lost')
            self.assertEqual(200, (await test_fleet.send('/safe/a'))[0])
            self.assertEqual(200, await test_fleet.get_readiness())
            test_fleet.store.silent = False
            await test_fleet.await_event('platform:regained')

        self.run_fleet(case, _fleets.create_desk())

    def test_unlisted_endpoint_gets_no_new_requests(self):
        # Some endpoints leave without announcing it: their row is deleted.
        first, second = (
            _fleets.create_desk('desk-1'),
            _fleets.create_desk('desk-2'),
        )

        async def case(test_fleet):
            test_fleet.store.put('servers', first.id, None)
            await asyncio.sleep(0.3)
            for _ in range(6):
                await test_fleet.send('/safe/a')

        self.run_fleet(case, first, second)
        self.assertEqual((0, 6), (len(first.requests), len(second.requests)))

    def test_leaving_endpoint_gets_no_new_requests(self):
        first, second = (
            _fleets.create_desk('desk-1'),
            _fleets.create_desk('desk-2'),
        )

        async def case(test_fleet):
            first.list_in(test_fleet.store, state='draining')
            await asyncio.sleep(0.2)
            for _ in range(6):
                await test_fleet.send('/safe/a')

        self.run_fleet(case, first, second)
        self.assertEqual((0, 6), (len(first.requests), len(second.requests)))
