"""Tests of chains built from replicas, endpoints of similar speed."""

import testtools

from sniperudder.systems.dispatch import _chains
from sniperudder.systems.dispatch import _placements
from sniperudder.systems.dispatch.tests import _fixtures
from sniperudder import tables

LEAST = tables.Rank.LEAST


def _list_chains(T):
    return {
        tuple(stage.endpoint for stage in ticket.chain)
        for ticket in T.granted.values()
    }


class TestReplicas(testtools.TestCase):
    def test_chains_combine_endpoints_of_similar_speed(self):
        T = _fixtures.create_home(streams=4)
        for number in range(8):
            _fixtures.ask_home(T, 0.0, _fixtures.make_ask(f'r{number}', LEAST))
        expected = {('fast-0', 'fast-4'), ('slow-0', 'slow-4')}
        self.assertEqual(expected, _list_chains(T))

    def test_partly_free_replicas_are_not_combined(self):
        T = _fixtures.create_home(streams=1)
        T.endpoints['fast-4'].streams = 1
        T.endpoints['slow-0'].streams = 1
        chain = _chains.choose_chain(T, T.models['m'], LEAST, 0.0)
        self.assertIsNone(chain)

    def test_restricted_request_crosses_replicas(self):
        T = _fixtures.create_home()
        names = {'fast-0', 'slow-4'}
        chain = _chains.choose_chain(
            T, T.models['m'], LEAST, 0.0, lambda ep: ep.name in names
        )
        self.assertEqual(names, {stage.endpoint for stage in chain})

    def test_partner_of_down_endpoint_is_combined_with_others(self):
        T = _fixtures.create_home()
        T.endpoints['fast-4'].state = tables.EndpointState.DOWN
        chain = _chains.choose_chain(T, T.models['m'], LEAST, 0.0)
        names = [stage.endpoint for stage in chain]
        self.assertEqual(['fast-0', 'slow-4'], names)

    def test_replica_of_probed_endpoint_is_left_out(self):
        T = _fixtures.create_home()
        T.endpoints['fast-4'].state = tables.EndpointState.PROBING
        groups = _chains.group_candidates(T, T.models['m'], LEAST)
        replicas = _placements.list_replicas(groups)
        names = {ep.name for replica in replicas for ep in replica.values()}
        self.assertEqual({'slow-0', 'slow-4'}, names)

    def test_endpoints_of_unequal_limits_are_combined(self):
        T = _fixtures.create_home(streams=1)
        T.endpoints['fast-0'].max_streams = 2
        T.endpoints['slow-4'].max_streams = 2
        for number in range(2):
            _fixtures.ask_home(T, 0.0, _fixtures.make_ask(f'r{number}', LEAST))
        self.assertEqual(2, T.running[LEAST])
