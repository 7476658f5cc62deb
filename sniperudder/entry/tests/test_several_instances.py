"""Tests of several real instances over loopback sockets.

The pattern: an instance that read the store, or added up the digests, for the
others goes away.
"""

import asyncio
import contextlib
import unittest.mock

import testtools

from scenarios import _processes
from sniperudder import entry
from sniperudder.entry import _gossip
from sniperudder.entry.tests import _fleets
from standins import fleet as standins

# The users' bound for the time until a configuration is in force.
_CONFIG_S = 2.0

_START_S = 8.0
_POLL_S = 0.02


class _Member:
    def __init__(self, name, store_address):
        callers, ready, peers = _processes.find_addresses(3)
        self.journal = _fleets.RecordingJournal()
        self.settings = _fleets.make_settings(
            name=name,
            callers_address=callers,
            ready_address=ready,
            peer_port=int(peers.rpartition(':')[2]),
            platform_address=store_address,
        )
        self.instance = entry.Entry(
            self.settings, lambda: self.settings, self.journal
        )

    @property
    def name(self):
        return self.settings.name

    @property
    def source(self):
        return self.instance._feed.source

    @property
    def alive_count(self):
        return self.instance._T.peers.count_alive()

    @property
    def version(self):
        configuration = self.instance._T.configuration
        return configuration and configuration.version


@contextlib.asynccontextmanager
async def run_members(count):
    """Run instances of one data centre that share a store."""
    store = standins.StoreStandin()
    await store.start()
    store.put_json('op', 'config', standins.make_configuration())
    # Another data centre, so that one instance here reads the store.
    store.put_json(
        'instances',
        'entry-far',
        {'host': '127.0.0.1', 'port': 9, 'data_centre': 'south'},
    )
    members = [_Member(f'entry-{n}', store.address) for n in range(count)]
    try:
        for member in members:
            await member.instance.start()
        await wait_until(
            lambda: len({member.source for member in members}) == 1, _START_S
        )
        yield store, members
    finally:
        for member in members:
            await member.instance.close()
        await store.stop()


async def wait_until(condition, timeout_s):
    """Wait until a condition holds.

    Raises
    ------
    TimeoutError
        If it does not in time.
    """
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(_POLL_S)


def write_version(store, version):
    """Write a configuration."""
    store.put_json('op', 'config', standins.make_configuration(version))


class SeveralInstancesTest(testtools.TestCase):
    def test_followers_apply_configurations_without_calls(self):
        async def run():
            async with run_members(3) as (store, members):
                reader = members[0].source
                store.calls.clear()
                write_version(store, 2)
                await wait_until(
                    lambda: {m.version for m in members} == {2}, _CONFIG_S
                )
                # The reader's next poll of the table, and its lease.
                feeds = [c for c in store.calls if c == '/rows-feed']
                self.assertLessEqual(len(feeds), 4, store.calls)
                self.assertIn(reader, {m.name for m in members})

        asyncio.run(run())

    def test_reader_that_goes_away_is_replaced_in_time(self):
        async def run():
            async with run_members(3) as (store, members):
                reader = members[0].source
                left = [m for m in members if m.name != reader]
                gone = next(m for m in members if m.name == reader)
                await gone.instance.close()
                write_version(store, 2)
                await wait_until(
                    lambda: {m.version for m in left} == {2}, _CONFIG_S
                )

        asyncio.run(run())

    def test_members_are_counted_by_sums(self):
        async def run():
            async with run_members(3) as (_, members):
                await wait_until(
                    lambda: {m.alive_count for m in members} == {3}, _START_S
                )
                summing = members[0].instance._gossip._summing_member
                gone = next(m for m in members if m.name == summing)
                await gone.instance.close()
                left = [m for m in members if m.name != summing]
                await wait_until(
                    lambda: {m.alive_count for m in left} == {2}, _START_S
                )
                again = {m.instance._gossip._summing_member for m in left}
                self.assertEqual(1, len(again))
                self.assertNotIn(summing, again)

        with unittest.mock.patch.object(_gossip, '_MAX_DIRECT_PEERS', 0):
            asyncio.run(run())
