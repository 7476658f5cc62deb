"""Small cases of streams that give way."""

import testtools

from sniperudder import messages
from sniperudder.systems.dispatch import _homes as homes
from sniperudder.systems.dispatch.tests import _homes
from sniperudder import tables

LEAST = tables.Rank.LEAST
URGENT = tables.Rank.URGENT


def _fill(T, count):
    asks = [_homes.make_ask(f'l{n}', LEAST) for n in range(count)]
    return _homes.ask_home(T, 0.0, *asks)


def _list_slow(T):
    return [
        ticket.request
        for ticket in T.granted.values()
        if ticket.chain[0].endpoint.startswith('slow')
    ]


class TestVictims(testtools.TestCase):
    def test_stream_on_the_fastest_chain_gives_way(self):
        T = _homes.create_home()
        _fill(T, 4)
        found = _homes.ask_home(T, 1.0, _homes.make_ask('u', URGENT))
        (revoke,) = _homes.select(found, messages.RevokeSlot)
        chain = T.granted[revoke.request].chain
        self.assertEqual('fast-0', chain[0].endpoint)

    def test_free_slow_chain_is_left_for_a_busy_fast_one(self):
        T = _homes.create_home()
        _fill(T, 4)
        _homes.release_slot(T, _list_slow(T)[0], 0.5)
        found = _homes.ask_home(T, 1.0, _homes.make_ask('u', URGENT))
        self.assertEqual([], _homes.select(found, messages.GrantSlot))
        (revoke,) = _homes.select(found, messages.RevokeSlot)
        found = _homes.release_slot(T, revoke.request, 1.01)
        (grant,) = _homes.select(found, messages.GrantSlot)
        self.assertEqual('u', grant.request)
        self.assertEqual('fast-0', grant.chain[0].endpoint)

    def test_free_slow_chain_is_taken_where_nobody_gives_way(self):
        T = _homes.create_home()
        _fill(T, 4)
        _homes.release_slot(T, _list_slow(T)[0], 0.5)
        _homes.ask_home(T, 1.0, _homes.make_ask('u', URGENT))
        homes.run_dispatch(T, 1.2)
        self.assertEqual('slow-0', T.granted['u'].chain[0].endpoint)

    def test_floor_of_the_least_rank_is_kept(self):
        T = _homes.create_home()
        T.config.floors[LEAST] = 0.5
        _fill(T, 4)
        asks = [_homes.make_ask(f'u{n}', URGENT) for n in range(4)]
        for ask in asks:
            found = _homes.ask_home(T, 1.0, ask)
            for revoke in _homes.select(found, messages.RevokeSlot):
                _homes.release_slot(T, revoke.request, 1.0)
        self.assertEqual(3, T.running[LEAST])
        kept = T.speeds[LEAST] / sum(T.speeds.values())
        self.assertGreaterEqual(kept, 0.5)
