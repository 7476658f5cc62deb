"""Tests of the list of endpoints after the store was restored."""

import asyncio
import json
import types

import testtools

from sniperudder import clocks
from sniperudder.entry import _endpoint_list
from sniperudder.entry.tests import _fleets
from sniperudder import fleet
from sniperudder import platform
from sniperudder import revisions
from sniperudder.testing import VirtualTimeLoop

_HEARTBEAT_S = 1.2

# The users' time after which entries of live endpoints are back, seconds.
_RELISTED_S = 2.0


def make_row(name, number=1, born=1, era=1, version=5, **fields):
    """Return the entry of an endpoint; deleted if `number` is None."""
    revision = revisions.Revision(era, version)
    if number is None:
        return platform.StoredRow(name, None, revision)
    entry = {
        'service': 'desk',
        'address': f'10.0.0.1:{sum(name.encode())}',
        'zone': 'north',
        'slots': 8,
        'state': 'ready',
        'sequence': number,
        'born': born,
        **fields,
    }
    return platform.StoredRow(name, json.dumps(entry).encode(), revision)


class RestoredEndpointsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.T = fleet.FleetTables()
        self.ended = []
        self.alive = []
        self.journal = _fleets.RecordingJournal()
        self.list = _endpoint_list.EndpointList(
            self.T,
            types.SimpleNamespace(
                record_run_end=self.ended.append,
                record_run_alive=self.alive.append,
            ),
            self.journal,
            _HEARTBEAT_S,
        )

    def run_case(self, case):
        """Run a case in virtual time, which the clock shows as well."""

        async def run():
            loop = asyncio.get_running_loop()
            self.patch(clocks, 'read_clock', loop.time)
            await asyncio.sleep(100.0)
            await case()

        with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
            runner.run(run())

    def get_usable(self):
        """Return the ids of the endpoints that accept new requests."""
        return {e.id for e in fleet.list_endpoints(self.T, 'desk')}

    def restore(self, *rows):
        """Apply the first snapshot after a restoration."""
        self.list.apply(rows, True, True)

    def change(self, *rows):
        """Apply changes."""
        self.list.apply(rows, False, False)

    def test_missing_endpoint_is_used_until_it_is_not_listed_in_time(self):
        async def case():
            self.list.apply([make_row('a'), make_row('b')], True, False)
            self.restore(make_row('a'))
            await asyncio.sleep(_RELISTED_S - 0.1)
            self.assertEqual({'a', 'b'}, self.get_usable())
            await asyncio.sleep(0.2)
            self.assertEqual({'a'}, self.get_usable())
            self.assertEqual(['b'], [endpoint.id for endpoint in self.ended])

        self.run_case(case)

    def test_endpoint_that_is_listed_again_stays(self):
        async def case():
            self.list.apply([make_row('a'), make_row('b')], True, False)
            self.restore(make_row('a'))
            await asyncio.sleep(1.0)
            self.change(make_row('b', 7))
            await asyncio.sleep(10.0)
            self.assertEqual({'a', 'b'}, self.get_usable())
            self.assertEqual([], self.ended)

        self.run_case(case)

    def test_time_to_be_listed_counts_from_the_last_restoration(self):
        async def case():
            self.list.apply([make_row('a'), make_row('b')], True, False)
            self.restore(make_row('a'))
            await asyncio.sleep(1.5)
            self.restore(make_row('a'))
            await asyncio.sleep(1.5)
            self.assertEqual({'a', 'b'}, self.get_usable())
            await asyncio.sleep(1.0)
            self.assertEqual({'a'}, self.get_usable())

        self.run_case(case)

    # Guards against: an endpoint that had announced its departure was used
    # again because a row of the copy said that it is ready.
    def test_endpoint_that_leaves_is_never_used_again(self):
        async def case():
            self.list.apply([make_row('a'), make_row('b')], True, False)
            self.change(make_row('a', 4, state='draining'))
            self.change(make_row('b', 5, state='draining'))
            self.change(make_row('b', None))
            await asyncio.sleep(5.0)
            self.restore(make_row('a', 3), make_row('b', 3))
            for _ in range(30):
                self.assertEqual(set(), self.get_usable())
                await asyncio.sleep(1.0)
            # Not by another change of its entry either, but by a new start.
            self.change(make_row('b', 3, slots=9))
            self.assertEqual(set(), self.get_usable())
            self.change(make_row('b', 1, born=7))
            self.assertEqual({'b'}, self.get_usable())

        self.run_case(case)

    # Guards against: an endpoint whose entry had been removed was used again
    # because of its row in the copy.
    def test_removed_endpoint_is_used_if_the_platform_keeps_its_entry(self):
        async def case():
            self.list.apply([make_row('a'), make_row('b')], True, False)
            self.change(make_row('a', None), make_row('b', None))
            await asyncio.sleep(5.0)
            self.restore(make_row('a'), make_row('b'))
            await asyncio.sleep(3 * _HEARTBEAT_S)
            self.assertEqual(set(), self.get_usable())
            # Its heartbeats are missing; those of the other one are not.
            self.change(make_row('a', None))
            await asyncio.sleep(_RELISTED_S + 0.1)
            self.assertEqual({'b'}, self.get_usable())

        self.run_case(case)

    def test_removed_endpoint_that_writes_its_entry_is_used_at_once(self):
        async def case():
            self.list.apply([make_row('a')], True, False)
            self.change(make_row('a', None))
            self.restore(make_row('a'))
            self.assertEqual(set(), self.get_usable())
            self.change(make_row('a', 9, slots=9))
            self.assertEqual({'a'}, self.get_usable())

        self.run_case(case)

    # Guards against: a run that had begun after the copy was replaced by the
    # run before it.
    def test_row_of_the_run_before_does_not_replace_a_later_run(self):
        async def case():
            self.list.apply([make_row('a', born=1)], True, False)
            self.change(make_row('a', born=9))
            self.restore(make_row('a', born=1))
            self.assertEqual({'a'}, self.get_usable())
            self.assertEqual(9, self.T.endpoints['a'].born_ms)
            await asyncio.sleep(1.0)
            self.change(make_row('a', 2, born=9))
            await asyncio.sleep(10.0)
            self.assertEqual(9, self.T.endpoints['a'].born_ms)

        self.run_case(case)

    # Guards against: layers that an engine had loaded after the copy were
    # forgotten, and requests refused for want of them.
    def test_older_report_of_a_run_does_not_replace_a_later_one(self):
        async def case():
            layers = {'from': 0, 'to': 8, 'version': 1}
            self.list.apply([make_row('a', 2)], True, False)
            self.change(make_row('a', 5, layers=layers))
            self.restore(make_row('a', 2))
            self.assertEqual(fleet.Layers(0, 8), self.T.endpoints['a'].layers)
            await asyncio.sleep(10.0)
            self.assertEqual({'a'}, self.get_usable())
            # A later report replaces it, whatever it says.
            self.change(make_row('a', 6))
            self.assertIsNone(self.T.endpoints['a'].layers)

        self.run_case(case)

    def test_departure_after_the_restoration_is_heeded(self):
        async def case():
            self.list.apply([make_row('a'), make_row('b')], True, False)
            self.restore(make_row('a'), make_row('b'))
            self.change(make_row('a', 3, state='draining'))
            self.change(make_row('b', None))
            self.assertEqual(set(), self.get_usable())

        self.run_case(case)

    def test_departure_in_the_same_era_is_taken_back(self):
        # Without a restoration, what the platform lists counts.
        async def case():
            self.list.apply([make_row('a')], True, False)
            self.change(make_row('a', 3, state='draining'))
            self.change(make_row('a', 4))
            self.assertEqual({'a'}, self.get_usable())

        self.run_case(case)

    def test_run_that_is_listed_again_is_alive(self):
        async def case():
            self.list.apply([make_row('a'), make_row('b')], True, False)
            self.change(make_row('a', 2), make_row('c'))
            self.assertEqual([], self.alive)
            self.change(make_row('a', None), make_row('b', None))
            self.change(make_row('a', 4), make_row('b', 1, born=9))
            self.assertEqual(['a'], [e.id for e in self.alive])
            self.change(make_row('a', None))
            # The changes in between were missed.
            self.list.apply([make_row('a', 5)], True, False)
            self.assertEqual(['a', 'a'], [e.id for e in self.alive])

        self.run_case(case)

    def test_old_entry_of_a_restored_store_is_no_sign_of_life(self):
        async def case():
            self.list.apply([make_row('a')], True, False)
            self.change(make_row('a', None))
            self.restore(make_row('a'))
            self.assertEqual([], self.alive)
            self.change(make_row('a', 2))
            self.assertEqual(['a'], [e.id for e in self.alive])

        self.run_case(case)

    def test_endpoint_that_is_removed_unannounced_may_have_lapsed(self):
        def list_lapsed():
            lapsed = self.T.lapses.list_endpoints(clocks.read_clock())
            return sorted(endpoint.id for endpoint in lapsed)

        async def case():
            rows = [make_row(name) for name in 'abc']
            self.list.apply(rows, True, False)
            self.change(make_row('c', 2, state='draining'))
            self.change(*(make_row(name, None) for name in 'abc'))
            self.assertEqual(['a', 'b'], list_lapsed())
            self.change(make_row('a', 2))
            self.assertEqual(['b'], list_lapsed())

        self.run_case(case)

    def test_endpoint_that_a_restored_store_lacks_has_not_lapsed(self):
        async def case():
            self.list.apply([make_row('a'), make_row('b')], True, False)
            self.restore(make_row('a'))
            await asyncio.sleep(_RELISTED_S + 0.1)
            lapsed = self.T.lapses.list_endpoints(clocks.read_clock())
            self.assertEqual([], lapsed)

        self.run_case(case)
