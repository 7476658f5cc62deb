"""Tests of the selection and repair of chains."""

import collections
import dataclasses
import random

import testtools

from sniperudder import fleet
from sniperudder import routing
from sniperudder.routing.tests import _fleets

_REQUEST_SIZE = routing.RequestSize(760.0, 200.0)


def choose(
    T,
    endpoints,
    request_size=_REQUEST_SIZE,
    local_data_centre='north',
    now=0.0,
    relative_urgency=1.0,
):
    """Choose a chain for the model of the test fleet."""
    rng = _fleets.create_rng()
    return routing.choose_chain(
        T,
        endpoints,
        _fleets.ENGINE,
        request_size,
        local_data_centre,
        now,
        rng,
        relative_urgency,
    )


class ChainTest(testtools.TestCase):
    def test_uncovered_layers_give_no_chain(self):
        left = _fleets.create_endpoint('a', 0, 40)
        right = _fleets.create_endpoint('b', 48, 80)
        T = _fleets.create_tables(left, right)
        self.assertEqual((), choose(T, [left, right]))

    def test_random_fleets_give_valid_chains(self):
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
            chain = choose(T, endpoints)
            held = set()
            for endpoint in endpoints:
                held.update(range(endpoint.layers.start, endpoint.layers.end))
            self.assertEqual(held == set(range(80)), bool(chain))
            if chain:
                found += 1
                routing.check_chain(chain, 80)
        self.assertTrue(found > 20, found)

    def test_endpoint_occurs_in_a_chain_once(self):
        # The layers in the middle are cheaper at another endpoint. Using it
        # would make the endpoint with all layers occur twice.
        whole = _fleets.create_endpoint('whole', 0, 80, accelerator='slow')
        middle = _fleets.create_endpoint('middle', 32, 48)
        T = _fleets.create_tables(whole, middle)
        chain = choose(T, [whole, middle])
        self.assertEqual(['whole'], _fleets.list_ids(chain))

    def test_chain_stays_in_one_data_centre(self):
        # The activations of all requests share the links between data
        # centres.
        near = [
            _fleets.create_endpoint('n1', 0, 40, 'north'),
            _fleets.create_endpoint('n2', 40, 80, 'north'),
        ]
        far = _fleets.create_endpoint('f2', 40, 80, 'south', 'fast')
        T = _fleets.create_tables(*near, far)
        _fleets.record_peer_load(T, near[1], 4, 400)
        self.assertEqual(
            ['n1', 'n2'], _fleets.list_ids(choose(T, [*near, far]))
        )


class SupersededTest(testtools.TestCase):
    def test_earlier_run_at_an_address_is_not_used(self):
        # An engine restarts under another id before its old entry has
        # expired. Engines refuse a chain in which one of them occurs twice.
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
        self.assertFalse(fleet.is_serving(T, fleet.Stage(old, None)))


class LoadTest(testtools.TestCase):
    def test_load_of_peers_counts(self):
        # Instances choose independently at the same time.
        one = _fleets.create_endpoint('one', 0, 80)
        two = _fleets.create_endpoint('two', 0, 80)
        T = _fleets.create_tables(one, two)
        _fleets.record_peer_load(T, one, 20, 20)
        self.assertEqual(['two'], _fleets.list_ids(choose(T, [one, two])))
        _fleets.record_peer_load(T, two, 40, 40)

    def test_endpoint_with_full_cache_is_not_used(self):
        # Long prompts fill the KV cache of the fastest endpoint. It refuses
        # further requests, or evicts others to run them.
        full = _fleets.create_endpoint('full', 0, 24, accelerator='fast')
        rest = _fleets.create_endpoint('rest', 0, 24, accelerator='fast')
        tail = _fleets.create_endpoint('tail', 24, 48)
        end = _fleets.create_endpoint('end', 48, 80, accelerator='fast')
        T = _fleets.create_tables(full, rest, tail, end)
        capacity = routing.get_kv_capacity(full, _fleets.ENGINE)
        _fleets.record_peer_load(T, full, 1, capacity / 24)
        chain = choose(T, [full, rest, tail, end])
        self.assertEqual('rest', _fleets.list_ids(chain)[0])

    def test_full_fleet_takes_no_new_request(self):
        # Under overload, engines refuse requests beyond their capacity, or
        # evict others that they have begun.
        full = _fleets.create_endpoint('full', 0, 80)
        T = _fleets.create_tables(full)
        _fleets.record_peer_load(T, full, 90, 1e9)
        self.assertEqual((), choose(T, [full]))

    def test_last_capacity_is_reserved_for_urgent_ranks(self):
        # Requests of the least urgent rank overload the fleet.
        only = _fleets.create_endpoint('only', 0, 80)
        T = _fleets.create_tables(only)
        capacity = routing.get_kv_capacity(only, _fleets.ENGINE) / 80
        _fleets.record_peer_load(T, only, 20, 0.9 * capacity)
        self.assertEqual((), choose(T, [only], relative_urgency=0.0))
        self.assertEqual(['only'], _fleets.list_ids(choose(T, [only])))

    def test_full_link_takes_no_new_request(self):
        # A data centre lacks layers, so all of its requests cross to
        # another one. A full link slows all streams that use it.
        near = _fleets.create_endpoint('near', 0, 40)
        far = _fleets.create_endpoint('far', 40, 80, 'south')
        T = _fleets.create_tables(near, far)
        self.assertEqual(2, len(choose(T, [near, far])))
        pair = 'north', 'south'
        T.crossings.record(pair, 100_000.0, 0.0)
        self.assertEqual((), choose(T, [near, far]))
        self.assertEqual(2, len(choose(T, [near, far], now=2.5)))

    def test_failed_endpoint_is_used_last(self):
        bad = _fleets.create_endpoint('bad', 0, 80)
        good = _fleets.create_endpoint('good', 0, 80, accelerator='slow')
        T = _fleets.create_tables(bad, good)
        routing.record_failure(fleet.get_state(T, bad), 0.0)
        chosen = choose(T, [bad, good], now=0.1)
        self.assertEqual(['good'], _fleets.list_ids(chosen))
        self.assertEqual(['bad'], _fleets.list_ids(choose(T, [bad], now=0.1)))


class ReplaceTest(testtools.TestCase):
    """A stage dies while its chain runs streams."""

    def setUp(self):
        super().setUp()
        create = _fleets.create_endpoint
        self.chain_endpoints = [
            create('a', 0, 24),
            create('b', 24, 48),
            create('c', 48, 80),
        ]
        self.spare = create('d', 24, 48)
        self.T = _fleets.create_tables(*self.chain_endpoints, self.spare)
        self.chain = choose(self.T, self.chain_endpoints)

    def replace(self, endpoints, *excluded):
        """Replace the stages at the endpoints of the given ids."""
        return routing.replace_stages(
            self.T,
            endpoints,
            _fleets.ENGINE,
            _REQUEST_SIZE,
            self.chain,
            {f'{name}:1' for name in excluded},
            0.0,
            _fleets.create_rng(),
        )

    def test_other_stages_are_kept(self):
        chain = self.replace([*self.chain_endpoints, self.spare], 'b')
        self.assertEqual(['a', 'd', 'c'], _fleets.list_ids(chain))
        routing.check_chain(chain, 80)

    def test_all_later_stages_are_replaced_if_needed(self):
        whole = _fleets.create_endpoint('e', 24, 80)
        chain = self.replace([*self.chain_endpoints, whole], 'b', 'c')
        self.assertEqual(['a', 'e'], _fleets.list_ids(chain))

    def test_running_stream_may_use_a_full_endpoint(self):
        _fleets.record_peer_load(self.T, self.spare, 90, 1e9)
        chain = self.replace([*self.chain_endpoints, self.spare], 'b')
        self.assertEqual(['a', 'd', 'c'], _fleets.list_ids(chain))

    def test_first_stage_cannot_be_replaced(self):
        chain = self.replace([*self.chain_endpoints, self.spare], 'a')
        self.assertEqual((), chain)

    def test_no_replacement_without_a_spare_endpoint(self):
        self.assertEqual((), self.replace(self.chain_endpoints, 'b'))


class SimultaneousReplacementTest(testtools.TestCase):
    """Many instances replace a dead stage at the same moment."""

    # Guards against: all streams through a dead stage were rerouted to the
    # same engine, which then had to prefill all of their prompts.
    def test_streams_are_spread_by_speed(self):
        first = _fleets.create_endpoint('first', 0, 40)
        dead = _fleets.create_endpoint('dead', 40, 80)
        spares = [
            _fleets.create_endpoint('fast-0', 40, 80),
            *(
                _fleets.create_endpoint(
                    f'slow-{n}', 40, 80, accelerator='slow'
                )
                for n in range(6)
            ),
        ]
        stages = (
            fleet.Stage(first, first.layers),
            fleet.Stage(dead, dead.layers),
        )
        for instances in (9, 83, 390):
            chosen = collections.Counter()
            for number in range(instances):
                T = _fleets.create_tables(first, dead, *spares)
                for stream in range(3):
                    chain = routing.replace_stages(
                        T,
                        [first, *spares],
                        _fleets.ENGINE,
                        routing.RequestSize(760.0, 200.0),
                        stages,
                        {dead.address},
                        0.0,
                        random.Random(1_000 * number + stream),
                    )
                    chosen[chain[1].endpoint.id] += 1
            # The fast one is 6.4 times as fast as a slow one, and makes half
            # of the tokens that all of them make.
            self.assertLess(chosen['fast-0'], 0.75 * 3 * instances)
            self.assertGreater(chosen['fast-0'], 0.25 * 3 * instances)
