"""Tests of the preemption of streams by urgent work."""

import testtools

from sniperudder import messages
from sniperudder.systems.dispatch import _homes as homes
from sniperudder.systems.dispatch.tests import _fixtures
from sniperudder import tables

LEAST = tables.Rank.LEAST
URGENT = tables.Rank.URGENT


def _fill_slots(T, count):
    asks = [_fixtures.make_ask(f'l{n}', LEAST) for n in range(count)]
    return _fixtures.ask_home(T, 0.0, *asks)


def _list_slow_requests(T):
    return [
        ticket.request
        for ticket in T.granted.values()
        if ticket.chain[0].endpoint.startswith('slow')
    ]


class TestPreemption(testtools.TestCase):
    def test_stream_on_fastest_chain_is_preempted(self):
        T = _fixtures.create_home()
        _fill_slots(T, 4)
        replies = _fixtures.ask_home(T, 1.0, _fixtures.make_ask('u', URGENT))
        (revoke,) = _fixtures.filter_messages(replies, messages.RevokeSlot)
        chain = T.granted[revoke.request].chain
        self.assertEqual('fast-0', chain[0].endpoint)

    def test_urgent_work_waits_for_revoked_fast_chain(self):
        T = _fixtures.create_home()
        _fill_slots(T, 4)
        _fixtures.release_slot(T, _list_slow_requests(T)[0], 0.5)
        replies = _fixtures.ask_home(T, 1.0, _fixtures.make_ask('u', URGENT))
        self.assertEqual(
            [], _fixtures.filter_messages(replies, messages.GrantSlot)
        )
        (revoke,) = _fixtures.filter_messages(replies, messages.RevokeSlot)
        replies = _fixtures.release_slot(T, revoke.request, 1.01)
        (grant,) = _fixtures.filter_messages(replies, messages.GrantSlot)
        self.assertEqual('u', grant.request)
        self.assertEqual('fast-0', grant.chain[0].endpoint)

    def test_free_slow_chain_is_used_if_revocation_is_not_answered(self):
        T = _fixtures.create_home()
        _fill_slots(T, 4)
        _fixtures.release_slot(T, _list_slow_requests(T)[0], 0.5)
        _fixtures.ask_home(T, 1.0, _fixtures.make_ask('u', URGENT))
        homes.run_dispatch(T, 1.2)
        self.assertEqual('slow-0', T.granted['u'].chain[0].endpoint)

    def test_preemption_keeps_floor_of_least_rank(self):
        T = _fixtures.create_home()
        T.config.floors[LEAST] = 0.5
        _fill_slots(T, 4)
        asks = [_fixtures.make_ask(f'u{n}', URGENT) for n in range(4)]
        for ask in asks:
            replies = _fixtures.ask_home(T, 1.0, ask)
            for revoke in _fixtures.filter_messages(
                replies, messages.RevokeSlot
            ):
                _fixtures.release_slot(T, revoke.request, 1.0)
        self.assertEqual(3, T.running[LEAST])
        kept = T.granted_speeds[LEAST] / sum(T.granted_speeds.values())
        self.assertGreaterEqual(kept, 0.5)
