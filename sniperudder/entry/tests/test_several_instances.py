"""Tests of several real instances over loopback sockets.

The pattern: an instance that read the store, or added up the digests, for the
others goes away.
"""

import asyncio
import unittest.mock

import testtools

from sniperudder.entry import _gossip
from sniperudder.entry.tests import _members
from standins import fleet as standins

# The users' bound for the time until a configuration is in force.
_CONFIG_S = 2.0


def write_version(store, version):
    """Write a configuration."""
    store.put_json('op', 'config', standins.make_configuration(version))


class SeveralInstancesTest(testtools.TestCase):
    def test_followers_apply_configurations_without_calls(self):
        async def run():
            async with _members.run_members(3) as (store, members):
                reader = members[0].source
                store.calls.clear()
                write_version(store, 2)
                await _members.wait_until(
                    lambda: {m.version for m in members} == {2}, _CONFIG_S
                )
                # The reader's next poll of the table, and its lease.
                feeds = [c for c in store.calls if c == '/rows-feed']
                self.assertLessEqual(len(feeds), 4, store.calls)
                self.assertIn(reader, {m.name for m in members})

        asyncio.run(run())

    def test_reader_that_goes_away_is_replaced_in_time(self):
        async def run():
            async with _members.run_members(3) as (store, members):
                reader = members[0].source
                left = [m for m in members if m.name != reader]
                gone = next(m for m in members if m.name == reader)
                await gone.instance.close()
                write_version(store, 2)
                await _members.wait_until(
                    lambda: {m.version for m in left} == {2}, _CONFIG_S
                )

        asyncio.run(run())

    def test_members_are_counted_by_sums(self):
        async def run():
            async with _members.run_members(3) as (_, members):
                await _members.wait_until(
                    lambda: {m.alive_count for m in members} == {3},
                    _members.START_S,
                )
                summing = members[0].instance._gossip._summing_member
                gone = next(m for m in members if m.name == summing)
                await gone.instance.close()
                left = [m for m in members if m.name != summing]
                await _members.wait_until(
                    lambda: {m.alive_count for m in left} == {2},
                    _members.START_S,
                )
                again = {m.instance._gossip._summing_member for m in left}
                self.assertEqual(1, len(again))
                self.assertNotIn(summing, again)

        with unittest.mock.patch.object(_gossip, '_MAX_DIRECT_PEERS', 0):
            asyncio.run(run())
