"""Tests of the limit on connections to an endpoint."""

import random

import testtools

from sniperudder import fleet
from sniperudder import routing
from sniperudder.routing.tests import _fleets


class ConnectionLimitTest(testtools.TestCase):
    """Requests exceed the connections that an endpoint accepts."""

    def create_limited_tables(self, max_connections, peers, *endpoints):
        """Return tables with a connection limit and a number of peers."""
        T = _fleets.create_tables(*endpoints)
        service = fleet.Service('llm', max_connections, _fleets.ENGINE)
        limits = fleet.Limits(1, 1, 1.0, 1.0)
        T.configuration = fleet.Configuration(
            1, {}, {'llm': service}, None, limits
        )
        for number in range(peers):
            T.peers.add_peer(f'p{number}', ('h', number), 0.0)
        return T

    def count_allowed(self, T, endpoint):
        """Return how many requests may be at an endpoint at once."""
        state = fleet.get_state(T, endpoint)
        while routing.has_free_connection(T, endpoint):
            state.connections += 1
        return state.connections

    def test_instances_together_stay_below_the_limit(self):
        only = _fleets.create_endpoint('a', 0, 80)
        for max_connections in (9, 52, 110, 1068):
            for instances in (1, 2, 8, 9):
                T = self.create_limited_tables(
                    max_connections, instances - 1, only
                )
                self.assertLessEqual(
                    self.count_allowed(T, only) * instances,
                    max(max_connections, instances),
                )

    def test_at_least_one_request_is_allowed(self):
        only = _fleets.create_endpoint('a', 0, 80)
        self.assertEqual(
            1, self.count_allowed(self.create_limited_tables(3, 8, only), only)
        )

    def test_limit_of_zero_means_no_limit(self):
        only = _fleets.create_endpoint('a', 0, 80)
        T = self.create_limited_tables(0, 8, only)
        fleet.get_state(T, only).connections = 10_000
        self.assertTrue(routing.has_free_connection(T, only))

    def test_endpoint_without_free_connection_is_not_first(self):
        near = _fleets.create_endpoint('a', 0, 80)
        far = _fleets.create_endpoint('b', 0, 80, data_centre='south')
        T = self.create_limited_tables(1, 0, near, far)
        fleet.get_state(T, near).connections = 1
        self.assertEqual(['b'], self.choose(T))
        fleet.get_state(T, far).connections = 1
        self.assertEqual([], self.choose(T))

    def test_endpoint_without_free_connection_may_follow(self):
        first = _fleets.create_endpoint('a', 0, 40)
        later = _fleets.create_endpoint('b', 20, 80)
        T = self.create_limited_tables(1, 0, first, later)
        fleet.get_state(T, later).connections = 1
        self.assertEqual(['a', 'b'], self.choose(T))

    def choose(self, T):
        """Return the ids of the chosen chain."""
        chain = routing.choose_chain(
            T,
            list(T.endpoints.values()),
            _fleets.ENGINE,
            routing.RequestSize(700, 80),
            'north',
            0.0,
            random.Random(1),
        )
        return [stage.endpoint.id for stage in chain]
