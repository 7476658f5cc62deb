"""Tests of estimated waits, refusals and queue order."""

import testtools

from sniperudder import messages
from sniperudder import outcomes
from sniperudder.systems.dispatch import _queues
from sniperudder.systems.dispatch import _waits
from sniperudder.systems.dispatch.tests import _fixtures
from sniperudder import tables

LEAST = tables.Rank.LEAST
MIDDLE = tables.Rank.MIDDLE
URGENT = tables.Rank.URGENT


def _ask_many(T, now, count, rank, **fields):
    result = []
    for number in range(count):
        ask = _fixtures.make_ask(f'{rank.name}{number}', rank, **fields)
        result.extend(_fixtures.ask_home(T, now, ask))
    return result


class TestWaits(testtools.TestCase):
    def test_flood_is_refused_at_once(self):
        # Two chains give about 21 tokens per second, fewer in the 2 s
        # maximum wait than two answers of 30 tokens.
        T = _fixtures.create_home()
        replies = _ask_many(T, 0.0, 50, URGENT)
        self.assertEqual(
            4, len(_fixtures.filter_messages(replies, messages.GrantSlot))
        )
        denials = _fixtures.filter_messages(replies, messages.DenySlot)
        self.assertGreaterEqual(len(denials), 43)
        codes = {denial.code for denial in denials}
        self.assertEqual({outcomes.Code.TARGET_UNREACHABLE}, codes)

    def test_capacity_is_limited_by_scarcest_layer_range(self):
        T = _fixtures.create_home()
        whole = _waits.estimate_capacity(T, 'm')
        T.endpoints['fast-4'].state = tables.EndpointState.DOWN
        self.assertAlmostEqual(whole / 5, _waits.estimate_capacity(T, 'm'))

    def test_flooding_organisation_does_not_delay_others(self):
        T = _fixtures.create_home()
        _ask_many(T, 0.0, 40, LEAST, org='large', max_wait_s=600.0)
        own = _fixtures.make_ask('s', LEAST, org='small', max_wait_s=600.0)
        self.assertLessEqual(_queues.count_tickets_ahead(T, own), 1.0)


class TestFullQueue(testtools.TestCase):
    def test_organisation_over_its_share_is_refused_at_once(self):
        T = _fixtures.create_home()
        T.policy.ranks[LEAST].max_queued = 10
        _ask_many(T, 0.0, 14, LEAST, org='large', max_wait_s=600.0)
        ask = _fixtures.make_ask('late', LEAST, org='large', max_wait_s=600.0)
        (denial,) = _fixtures.ask_home(T, 1.0, ask)
        self.assertEqual('late', denial.request)
        self.assertIs(outcomes.Code.QUEUE_FULL, denial.code)

    def test_organisation_cannot_queue_more_than_its_share(self):
        T = _fixtures.create_home()
        T.policy.ranks[LEAST].max_queued = 10
        _ask_many(T, 0.0, 4, LEAST, org='large', max_wait_s=600.0)
        ask = _fixtures.make_ask('s', LEAST, org='small', max_wait_s=600.0)
        _fixtures.ask_home(T, 0.0, ask)
        for number in range(20):
            name = f'l{number}'
            ask = _fixtures.make_ask(name, LEAST, 'large', max_wait_s=600.0)
            _fixtures.ask_home(T, 0.0, ask)
        self.assertEqual(5, len(T.queues[LEAST]['large']))

    def test_small_organisation_is_admitted_to_full_queue(self):
        T = _fixtures.create_home()
        T.policy.ranks[LEAST].max_queued = 10
        _ask_many(T, 0.0, 14, LEAST, org='large', max_wait_s=600.0)
        ask = _fixtures.make_ask('s', LEAST, org='small', max_wait_s=600.0)
        (denial,) = _fixtures.ask_home(T, 1.0, ask)
        self.assertNotEqual('s', denial.request)
        self.assertIn('s', T.tickets)


class TestOrder(testtools.TestCase):
    def test_ticket_close_to_its_latest_time_goes_first(self):
        T = _fixtures.create_home()
        _ask_many(T, 0.0, 4, MIDDLE, org='large', max_wait_s=10.0)
        old = _fixtures.make_ask('old', MIDDLE, org='large', max_wait_s=10.0)
        _fixtures.ask_home(T, 0.0, old)
        new = _fixtures.make_ask('new', MIDDLE, org='small', max_wait_s=10.0)
        _fixtures.ask_home(T, 3.0, new)
        early = _queues.list_organisations(T, MIDDLE, 6.0)
        late = _queues.list_organisations(T, MIDDLE, 8.0)
        self.assertEqual(['small', 'large'], early)
        self.assertEqual(['large', 'small'], late)

    def test_flooding_organisation_does_not_overtake_small_one(self):
        T = _fixtures.create_home()
        _ask_many(T, 0.0, 9, LEAST, org='large', max_wait_s=100.0)
        ask = _fixtures.make_ask('s', LEAST, org='small', max_wait_s=100.0)
        _fixtures.ask_home(T, 0.0, ask)
        order = _queues.list_organisations(T, LEAST, 90.0)
        self.assertEqual(5, len(T.queues[LEAST]['large']))
        self.assertEqual(['small', 'large'], order)
