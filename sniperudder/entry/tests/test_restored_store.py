"""Tests of instances whose store is restored from a copy.

The pattern: the store is away for a moment and comes back as it was some
seconds ago. Versions are given out again, and operators and endpoints write
again what was lost.
"""

import asyncio
import contextlib
import json

import testtools

from sniperudder import digests
from sniperudder.entry.tests import _fleets
from sniperudder.entry.tests import _members
from sniperudder import platform
from standins import fleet as standins

# The users' bounds: a version is in force, a departure is heeded, an instance
# is in contact again, and an entry that is missing after the store's return
# counts as gone after these times. Seconds.
_CONFIG_S = 2.0
_DRAIN_S = 2.0
_CONTACT_S = 3.0
_RELISTED_S = 2.0

_BAD = frozenset(('part:bad',))


def make_route(name):
    """Return a safe route to the plain service."""
    return {
        'name': name,
        'host': 'shop.example',
        'prefix': f'/{name}/',
        'kind': 'safe',
        'timeout_ms': 2_000,
        'goal_ms': 500,
        'priority': 0,
        'service': 'desk',
        'max_attempts': 2,
        'public': False,
    }


def write_version(store, version, *routes):
    """Write a configuration with additional routes."""
    configuration = standins.make_configuration(
        version, [make_route(name) for name in routes]
    )
    store.put_json('op', 'config', configuration)


async def lose_store(store, copy, away_s=0.3):
    """Have the store reject all calls, then restore it from a copy."""
    store.failure_status = 503
    store.wake()
    await asyncio.sleep(away_s)
    store.restore(copy)
    store.failure_status = None


@contextlib.asynccontextmanager
async def run_desks(count):
    """Run an instance before plain endpoints and wait until all are known."""
    desks = [_fleets.create_desk(f'desk-{n}') for n in range(1, count + 1)]
    async with _fleets.run_fleet(*desks) as test_fleet:
        await _members.wait_until(
            lambda: len(test_fleet.instance._T.endpoints) == count, _CONTACT_S
        )
        yield test_fleet, desks


async def count_requests(test_fleet, desks, number=8):
    """Send requests and return how many of them each endpoint got."""
    before = [len(desk.requests) for desk in desks]
    for _ in range(number):
        status, _, _ = await test_fleet.send('/safe/a')
        assert status == 200, status
    return [len(d.requests) - b for d, b in zip(desks, before)]


class ConfigurationTest(testtools.TestCase):
    def check_version_after(self, restorations, lost):
        """Confirm a version after restorations that lose some before it."""

        async def run():
            async with _members.run_members(3) as (store, members):
                copy = store.copy()
                for version in range(2, 2 + lost):
                    write_version(store, version)
                await _members.wait_until(
                    lambda: {m.version for m in members} == {1 + lost},
                    _CONFIG_S,
                )
                for _ in range(restorations):
                    await lose_store(store, copy)
                await asyncio.sleep(_CONTACT_S)
                write_version(store, 2 + lost)
                await _members.wait_until(
                    lambda: {m.version for m in members} == {2 + lost},
                    _CONFIG_S,
                )

        asyncio.run(run())

    # Guards against: instances served the configuration of before the
    # restoration until the store's versions had passed those they knew.
    def test_version_confirmed_after_restoration_is_in_force_in_time(self):
        self.check_version_after(1, lost=4)

    def test_version_is_in_force_after_two_restorations(self):
        self.check_version_after(2, lost=24)

    # Guards against: changes after a version that has been given out again
    # were taken for all changes, so that a row in between stayed unknown.
    def test_version_is_in_force_where_store_versions_have_passed(self):
        async def run():
            async with _members.run_members(3) as (store, members):
                copy = store.copy()
                write_version(store, 2)
                await _members.wait_until(
                    lambda: {m.version for m in members} == {2}, _CONFIG_S
                )
                store.failure_status = 503
                store.wake()
                await asyncio.sleep(0.3)
                store.restore(copy)
                # As many writes as were lost and more, before any instance
                # calls the store again.
                write_version(store, 3)
                for number in range(20):
                    store.put('other', f'key-{number}', b'1')
                store.forgotten_version = 0
                store.failure_status = None
                await _members.wait_until(
                    lambda: {m.version for m in members} == {3},
                    _CONTACT_S + _CONFIG_S,
                )

        asyncio.run(run())

    # Guards against: a key that was revoked opened again, and a route that
    # was added got 404, until the operator had written again.
    def test_confirmed_version_stays_in_force(self):
        async def run():
            async with run_desks(1) as (test_fleet, _):
                copy = test_fleet.store.copy()
                write_version(test_fleet.store, 2, 'new')
                await asyncio.sleep(0.2)
                await lose_store(test_fleet.store, copy)
                for _ in range(20):
                    self.assertEqual(200, (await test_fleet.send('/new/a'))[0])
                    await asyncio.sleep(0.1)
                write_version(test_fleet.store, 2, 'new')
                write_version(test_fleet.store, 3, 'new', 'newer')
                await asyncio.sleep(_CONFIG_S)
                self.assertEqual(200, (await test_fleet.send('/newer/a'))[0])

        asyncio.run(run())

    # Guards against: a refusal did not tell which configuration of which era
    # of the store was behind it.
    def test_refusal_leads_to_the_configuration_and_its_era(self):
        async def run():
            async with run_desks(1) as (test_fleet, _):
                copy = test_fleet.store.copy()
                write_version(test_fleet.store, 2, 'new')
                await asyncio.sleep(0.2)
                await lose_store(test_fleet.store, copy)
                await test_fleet.await_event('configuration:not newer')
                self.assertEqual(404, (await test_fleet.send('/nowhere/a'))[0])
                journal = test_fleet.journal
                (line,) = journal.list_events('request:rejected')
                in_force = journal.list_events('configuration:in force')[-1]
                self.assertEqual(2, line['version'])
                self.assertEqual(in_force['revision'], line['revision'])
                self.assertTrue(line['revision'].startswith('1/'))
                eras = journal.list_events('platform:era')
                self.assertEqual([0, 1], [era['before'] for era in eras])
                _, _, body = await standins.send_request(
                    test_fleet.metrics, '/metrics', 'GET', b''
                )
                self.assertIn(
                    'sniperudder_level{subject="store_era"} 2', body.decode()
                )

        asyncio.run(run())

    # Guards against: an instance that started before the operator had written
    # again served the configuration of the copy.
    def test_started_instance_gets_confirmed_version_from_peers(self):
        async def run():
            async with _members.run_members(3) as (store, members):
                copy = store.copy()
                write_version(store, 2)
                await _members.wait_until(
                    lambda: {m.version for m in members} == {2}, _CONFIG_S
                )
                await lose_store(store, copy)
                for name in ('entry-7', 'entry-8', 'entry-9'):
                    later = _members.Member(name, store.address, False)
                    await later.instance.start()
                    try:
                        await _members.wait_until(
                            lambda: later.version == 2, _CONTACT_S
                        )
                    finally:
                        await later.instance.close()

        asyncio.run(run())

    # Guards against: an instance that starts again knew no peers for a second,
    # which may know more than the store.
    def test_instance_that_starts_again_reads_the_list_at_once(self):
        async def run():
            async with _members.run_members(1) as (store, _):
                later = _members.Member('entry-7', store.address, False)
                await later.instance.start()
                try:
                    await _members.wait_until(
                        lambda: later.instance._T.instances_known, 0.9
                    )
                finally:
                    await later.instance.close()

        asyncio.run(run())


class EndpointTest(testtools.TestCase):
    # Guards against: departures after a restoration were not heeded.
    def test_departure_after_restoration_is_heeded_in_time(self):
        async def run():
            async with run_desks(2) as (test_fleet, desks):
                copy = test_fleet.store.copy()
                for number in range(9):
                    test_fleet.store.put('other', f'key-{number}', b'1')
                desks[0].list_in(test_fleet.store)
                await asyncio.sleep(0.3)
                await lose_store(test_fleet.store, copy)
                await asyncio.sleep(_CONTACT_S)
                desks[0].list_in(test_fleet.store, 'draining')
                await asyncio.sleep(_DRAIN_S)
                self.assertEqual(
                    [0, 8], await count_requests(test_fleet, desks)
                )

        asyncio.run(run())

    # Guards against: an endpoint that had left was used again because a row
    # of the copy listed it.
    def test_endpoint_that_has_left_is_not_used_again(self):
        async def run():
            async with run_desks(3) as (test_fleet, desks):
                copy = test_fleet.store.copy()
                desks[0].list_in(test_fleet.store, 'draining')
                test_fleet.store.put('servers', desks[1].id, None)
                await asyncio.sleep(0.5)
                await lose_store(test_fleet.store, copy)
                await asyncio.sleep(1.0)
                # Written again, as any change of the table.
                desks[2].list_in(test_fleet.store)
                await asyncio.sleep(0.5)
                self.assertEqual(
                    [0, 0, 8], await count_requests(test_fleet, desks)
                )

        asyncio.run(run())

    # Guards against: an endpoint that had joined after the copy was dropped
    # until it was listed again.
    def test_endpoint_missing_from_copy_is_kept_until_listed_again(self):
        async def run():
            async with run_desks(1) as (test_fleet, desks):
                copy = test_fleet.store.copy()
                later = _fleets.create_desk('desk-9')
                await later.start()
                try:
                    later.list_in(test_fleet.store)
                    test_fleet.store.put('servers', desks[0].id, None)
                    await asyncio.sleep(0.5)
                    copy.rows.pop(('servers', desks[0].id))
                    await lose_store(test_fleet.store, copy)
                    for _ in range(int(_RELISTED_S / 0.2) - 1):
                        await asyncio.sleep(0.2)
                        counts = await count_requests(test_fleet, [later], 1)
                        self.assertEqual([1], counts)
                    await asyncio.sleep(_RELISTED_S)
                    status, _, _ = await test_fleet.send('/safe/a')
                    self.assertEqual(503, status)
                finally:
                    await later.stop()

        asyncio.run(run())


class OwnRowTest(testtools.TestCase):
    # Guards against: an instance that had registered after the copy stayed
    # unknown to those that started later.
    def test_instance_lists_itself_again(self):
        async def run():
            async with _members.run_members(2) as (store, members):
                key = platform.INSTANCES_TABLE, members[0].name
                copy = store.copy()
                del copy.rows[key]
                await lose_store(store, copy)
                await _members.wait_until(
                    lambda: key in store.rows, 2 * _CONTACT_S
                )
                self.assertEqual(
                    members[0].settings.peer_port,
                    json.loads(store.rows[key][0])['port'],
                )

        asyncio.run(run())

    # Guards against: a row of blocks that the copy lacks was taken for an
    # operator who lifts all blocks.
    def test_blocks_are_kept_and_written_again(self):
        async def run():
            async with _members.run_members(2) as (store, members):
                copy = store.copy()
                report = digests.CrashReport(blocks={_BAD: 0.0})
                monitors = [
                    member.instance._forwarder.crash_monitor
                    for member in members
                ]
                for monitor in monitors:
                    monitor.apply_report('entry-9', report)
                key = platform.INSTANCES_TABLE, platform.BLOCKS_KEY
                await _members.wait_until(
                    lambda: key in store.rows, _members.START_S
                )
                await asyncio.sleep(0.5)
                await lose_store(store, copy)
                await asyncio.sleep(1.0)
                self.assertEqual(
                    [[_BAD], [_BAD]], [m.list_blocks() for m in monitors]
                )
                await _members.wait_until(
                    lambda: key in store.rows, 2 * _members.START_S
                )

        asyncio.run(run())
