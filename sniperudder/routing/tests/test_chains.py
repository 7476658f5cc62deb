"""Tests of choosing chains, by the load that each answers."""

import dataclasses
import random

import testtools

from sniperudder import fleet
from sniperudder import routing
from sniperudder.routing.tests import _fleets

_USUAL = routing.Demand(760.0, 200.0)


def choose(T, endpoints, demand=_USUAL, home='north', now=0.0, urgency=1.0):
    """Choose a chain in the fleet's engine."""
    rng = _fleets.create_random()
    return routing.choose_chain(
        T, endpoints, _fleets.ENGINE, demand, home, now, rng, urgency
    )


class ChainTest(testtools.TestCase):
    def test_layers_without_a_holder_leave_no_chain(self):
        left = _fleets.create_endpoint('a', 0, 40)
        right = _fleets.create_endpoint('b', 48, 80)
        T = _fleets.create_tables(left, right)
        self.assertEqual((), choose(T, [left, right]))

    def test_random_fleets_give_sound_chains(self):
        rng = random.Random(1)
        found = 0
        for _ in range(200):
            endpoints = []
            for number in range(rng.randrange(2, 14)):
                start = rng.choice([0, rng.randrange(0, 80)])
                endpoints.append(
                    _fleets.create_endpoint(
                        f'e{number}',
                        start,
                        rng.choice([80, rng.randrange(start + 1, 81)]),
                        rng.choice(['north', 'south', 'west']),
                        rng.choice(['fast', 'slow']),
                    )
                )
            T = _fleets.create_tables(*endpoints)
            parts = choose(T, endpoints)
            held = set()
            for endpoint in endpoints:
                held.update(range(endpoint.layers.start, endpoint.layers.end))
            self.assertEqual(held == set(range(80)), bool(parts))
            if parts:
                found += 1
                routing.check_chain(parts, 80)
        self.assertTrue(found > 20, found)

    def test_endpoint_stands_in_a_chain_once(self):
        # The middle is cheaper elsewhere, which would use the whole
        # holder twice.
        whole = _fleets.create_endpoint('whole', 0, 80, card='slow')
        middle = _fleets.create_endpoint('middle', 32, 48)
        T = _fleets.create_tables(whole, middle)
        parts = choose(T, [whole, middle])
        self.assertEqual(['whole'], _fleets.list_ids(parts))

    def test_chain_stays_in_one_data_centre(self):
        # Pattern: activations of all requests share the pipes between
        # data centres.
        near = [
            _fleets.create_endpoint('n1', 0, 40, 'north'),
            _fleets.create_endpoint('n2', 40, 80, 'north'),
        ]
        far = _fleets.create_endpoint('f2', 40, 80, 'south', 'fast')
        T = _fleets.create_tables(*near, far)
        _fleets.load_endpoint(T, near[1], 4, 400)
        self.assertEqual(
            ['n1', 'n2'], _fleets.list_ids(choose(T, [*near, far]))
        )


class SupersededTest(testtools.TestCase):
    def test_two_runs_at_one_address_are_one_endpoint(self):
        # Pattern: an engine starts again under another id before its old
        # entry has lapsed; an engine twice in a chain is refused.
        old = _fleets.create_endpoint('old', 0, 40)
        new = dataclasses.replace(
            _fleets.create_endpoint('new', 20, 60, born_ms=2),
            address=old.address,
        )
        rest = _fleets.create_endpoint('rest', 60, 80)
        start = _fleets.create_endpoint('start', 0, 20)
        T = _fleets.create_tables(old, new, rest, start)
        fleet.update_superseded(T)
        chain = choose(T, fleet.list_endpoints(T, 'llm'))
        routing.check_chain(chain, 80)
        self.assertEqual(
            ['start', 'new', 'rest'], [p.endpoint.id for p in chain]
        )
        self.assertFalse(fleet.is_serving(T, fleet.Part(old, None)))


class LoadTest(testtools.TestCase):
    def test_requests_of_peers_count(self):
        # Pattern: independent instances choose at the same time.
        one = _fleets.create_endpoint('one', 0, 80)
        two = _fleets.create_endpoint('two', 0, 80)
        T = _fleets.create_tables(one, two)
        _fleets.load_endpoint(T, one, 20, 20)
        self.assertEqual(['two'], _fleets.list_ids(choose(T, [one, two])))
        _fleets.load_endpoint(T, two, 40, 40)

    def test_full_cache_is_passed_over(self):
        # Pattern: long prompts fill the KV cache of the fastest endpoint;
        # what is sent there is refused or pushes another request out.
        full = _fleets.create_endpoint('full', 0, 24, card='fast')
        rest = _fleets.create_endpoint('rest', 0, 24, card='fast')
        tail = _fleets.create_endpoint('tail', 24, 48)
        end = _fleets.create_endpoint('end', 48, 80, card='fast')
        T = _fleets.create_tables(full, rest, tail, end)
        room = routing.get_room(full, _fleets.ENGINE)
        _fleets.load_endpoint(T, full, 1, room / 24)
        chain = choose(T, [full, rest, tail, end])
        self.assertEqual('rest', _fleets.list_ids(chain)[0])

    def test_full_fleet_takes_no_new_request(self):
        # Pattern: a flood; what is sent beyond the room is refused by
        # engines, or pushes out what they have begun.
        full = _fleets.create_endpoint('full', 0, 80)
        T = _fleets.create_tables(full)
        _fleets.load_endpoint(T, full, 90, 1e9)
        self.assertEqual((), choose(T, [full]))

    def test_last_room_is_kept_for_the_urgent(self):
        # Pattern: a flood of the least urgent rank.
        only = _fleets.create_endpoint('only', 0, 80)
        T = _fleets.create_tables(only)
        room = routing.get_room(only, _fleets.ENGINE) / 80
        _fleets.load_endpoint(T, only, 20, 0.9 * room)
        self.assertEqual((), choose(T, [only], urgency=0.0))
        self.assertEqual(['only'], _fleets.list_ids(choose(T, [only])))

    def test_full_pipe_takes_no_new_request(self):
        # Pattern: a data centre lacks layers, and all of its requests
        # cross; each of those under way slows down with the pipe.
        near = _fleets.create_endpoint('near', 0, 40)
        far = _fleets.create_endpoint('far', 40, 80, 'south')
        T = _fleets.create_tables(near, far)
        self.assertEqual(2, len(choose(T, [near, far])))
        pair = 'north', 'south'
        T.crossings.record(pair, 100_000.0, 0.0)
        self.assertEqual((), choose(T, [near, far]))
        self.assertEqual(2, len(choose(T, [near, far], now=2.5)))

    def test_failed_endpoint_is_the_last_choice(self):
        bad = _fleets.create_endpoint('bad', 0, 80)
        good = _fleets.create_endpoint('good', 0, 80, card='slow')
        T = _fleets.create_tables(bad, good)
        routing.record_failure(fleet.get_state(T, bad), 0.0)
        chosen = choose(T, [bad, good], now=0.1)
        self.assertEqual(['good'], _fleets.list_ids(chosen))
        self.assertEqual(['bad'], _fleets.list_ids(choose(T, [bad], now=0.1)))


class ReplaceTest(testtools.TestCase):
    """Pattern: a stage dies under streams that its chain still holds."""

    def setUp(self):
        super().setUp()
        make = _fleets.create_endpoint
        self.chain_ends = [
            make('a', 0, 24),
            make('b', 24, 48),
            make('c', 48, 80),
        ]
        self.spare = make('d', 24, 48)
        self.T = _fleets.create_tables(*self.chain_ends, self.spare)
        self.parts = choose(self.T, self.chain_ends)

    def replace(self, endpoints, *broken):
        """Replace stages by the addresses of these endpoints."""
        return routing.replace_parts(
            self.T,
            endpoints,
            _fleets.ENGINE,
            _USUAL,
            self.parts,
            {f'{name}:1' for name in broken},
            0.0,
            _fleets.create_random(),
        )

    def test_other_stages_stay(self):
        made = self.replace([*self.chain_ends, self.spare], 'b')
        self.assertEqual(['a', 'd', 'c'], _fleets.list_ids(made))
        routing.check_chain(made, 80)

    def test_all_behind_the_first_give_way_if_they_must(self):
        whole = _fleets.create_endpoint('e', 24, 80)
        made = self.replace([*self.chain_ends, whole], 'b', 'c')
        self.assertEqual(['a', 'e'], _fleets.list_ids(made))

    def test_stream_under_way_may_pass_a_full_stage(self):
        _fleets.load_endpoint(self.T, self.spare, 90, 1e9)
        made = self.replace([*self.chain_ends, self.spare], 'b')
        self.assertEqual(['a', 'd', 'c'], _fleets.list_ids(made))

    def test_first_stage_cannot_be_replaced(self):
        made = self.replace([*self.chain_ends, self.spare], 'a')
        self.assertEqual((), made)

    def test_without_a_holder_nothing_is_made(self):
        self.assertEqual((), self.replace(self.chain_ends, 'b'))
