"""Small cases of chains of endpoints of like speed."""

import testtools

from sniperudder.systems.dispatch import _chains
from sniperudder.systems.dispatch import _placements
from sniperudder.systems.dispatch.tests import _homes
from sniperudder import tables

LEAST = tables.Rank.LEAST


def _list_pairs(T):
    return {
        tuple(stage.endpoint for stage in ticket.chain)
        for ticket in T.granted.values()
    }


class TestLanes(testtools.TestCase):
    def test_chains_join_endpoints_of_like_speed(self):
        T = _homes.create_home(streams=4)
        for number in range(8):
            _homes.ask_home(T, 0.0, _homes.make_ask(f'r{number}', LEAST))
        pairs = {('fast-0', 'fast-4'), ('slow-0', 'slow-4')}
        self.assertEqual(pairs, _list_pairs(T))

    def test_half_a_lane_is_not_joined_to_another(self):
        T = _homes.create_home(streams=1)
        T.endpoints['fast-4'].streams = 1
        T.endpoints['slow-0'].streams = 1
        chain = _chains.choose_chain(T, T.models['m'], LEAST, 0.0)
        self.assertIsNone(chain)

    def test_choosy_request_crosses_lanes(self):
        T = _homes.create_home()
        names = {'fast-0', 'slow-4'}
        chain = _chains.choose_chain(
            T, T.models['m'], LEAST, 0.0, lambda ep: ep.name in names
        )
        self.assertEqual(names, {stage.endpoint for stage in chain})

    def test_dead_endpoint_leaves_its_partner_to_the_others(self):
        T = _homes.create_home()
        T.endpoints['fast-4'].state = tables.EndpointState.DOWN
        chain = _chains.choose_chain(T, T.models['m'], LEAST, 0.0)
        names = [stage.endpoint for stage in chain]
        self.assertEqual(['fast-0', 'slow-4'], names)

    def test_probed_endpoint_leaves_its_partner_to_the_others(self):
        T = _homes.create_home()
        T.endpoints['fast-4'].state = tables.EndpointState.PROBING
        groups = _chains.list_candidates(T, T.models['m'], LEAST)
        lanes = _placements.list_lanes(groups)
        names = {ep.name for lane in lanes for ep in lane.values()}
        self.assertEqual({'slow-0', 'slow-4'}, names)

    def test_unequal_limits_are_mixed(self):
        T = _homes.create_home(streams=1)
        T.endpoints['fast-0'].max_streams = 2
        T.endpoints['slow-4'].max_streams = 2
        for number in range(2):
            _homes.ask_home(T, 0.0, _homes.make_ask(f'r{number}', LEAST))
        self.assertEqual(2, T.running[LEAST])
