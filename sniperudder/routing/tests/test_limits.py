"""Tests of the limits on an endpoint's channels."""

import random

import testtools

from sniperudder import fleet
from sniperudder import routing
from sniperudder.routing.tests import _fleets


class ChannelLimitTest(testtools.TestCase):
    """Pattern: more callers than an endpoint accepts channels."""

    def create(self, max_channels, peers, *endpoints):
        """Return tables with a limit and a number of peers."""
        T = _fleets.create_tables(*endpoints)
        service = fleet.Service('llm', max_channels, _fleets.ENGINE)
        limits = fleet.Limits(1, 1, 1.0, 1.0)
        T.configuration = fleet.Configuration(
            1, {}, {'llm': service}, None, limits
        )
        for number in range(peers):
            T.peers.add_peer(f'p{number}', ('h', number), 0.0)
        return T

    def count(self, T, endpoint):
        """Return how many requests may be at an endpoint at once."""
        state = fleet.get_state(T, endpoint)
        while routing.has_channel(T, endpoint):
            state.channels += 1
        return state.channels

    def test_instances_together_stay_below_the_limit(self):
        only = _fleets.create_endpoint('a', 0, 80)
        for most in (9, 52, 110, 1068):
            for instances in (1, 2, 8, 9):
                T = self.create(most, instances - 1, only)
                self.assertLessEqual(
                    self.count(T, only) * instances, max(most, instances)
                )

    def test_one_request_is_always_allowed(self):
        only = _fleets.create_endpoint('a', 0, 80)
        self.assertEqual(1, self.count(self.create(3, 8, only), only))

    def test_no_limit_is_none(self):
        only = _fleets.create_endpoint('a', 0, 80)
        T = self.create(0, 8, only)
        fleet.get_state(T, only).channels = 10_000
        self.assertTrue(routing.has_channel(T, only))

    def test_full_endpoint_is_no_first_stage(self):
        near = _fleets.create_endpoint('a', 0, 80)
        far = _fleets.create_endpoint('b', 0, 80, centre='south')
        T = self.create(1, 0, near, far)
        fleet.get_state(T, near).channels = 1
        self.assertEqual(['b'], self.choose(T))
        fleet.get_state(T, far).channels = 1
        self.assertEqual([], self.choose(T))

    def test_full_endpoint_is_a_later_stage(self):
        first = _fleets.create_endpoint('a', 0, 40)
        later = _fleets.create_endpoint('b', 20, 80)
        T = self.create(1, 0, first, later)
        fleet.get_state(T, later).channels = 1
        self.assertEqual(['a', 'b'], self.choose(T))

    def choose(self, T):
        """Return the ids of the chosen chain."""
        chain = routing.choose_chain(
            T,
            list(T.endpoints.values()),
            _fleets.ENGINE,
            routing.Demand(700, 80),
            'north',
            0.0,
            random.Random(1),
        )
        return [part.endpoint.id for part in chain]
