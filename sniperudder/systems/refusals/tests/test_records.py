"""Tests of the ring of refusals."""

import testtools

from sniperudder import core
from sniperudder import effects
from sniperudder import inputs
from sniperudder import outcomes
from sniperudder.systems import refusals
from sniperudder import tables

_RANK = tables.Rank.URGENT


class RefusalsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.T = tables.create_tables('entry-1', 'milan')

    def test_refusal_on_arrival_is_kept(self):
        arrival = inputs.RequestArrived('r1', 'studio', _RANK, 'no', 'p', 4)
        core.handle_input(self.T, arrival, 7.0)
        (refusal,) = self.T.refusals
        self.assertEqual(
            ('r1', 'studio', _RANK, 'no', 105, 7.0),
            (
                refusal.name,
                refusal.organisation,
                refusal.rank,
                refusal.target,
                refusal.code,
                refusal.at,
            ),
        )
        self.assertEqual({}, self.T.arrivals)

    def test_refused_order_is_kept(self):
        arrival = inputs.OrderArrived('o1', 'studio', _RANK, 'no', 'k', '')
        core.handle_input(self.T, arrival, 7.0)
        (refusal,) = self.T.refusals
        self.assertEqual(('no', 106), (refusal.target, refusal.code))

    def test_answer_is_not_kept(self):
        arrival = inputs.RequestArrived('r1', 'studio', _RANK, 'm', 'p', 4)
        refusals.record_arrival(self.T, arrival)
        finish = effects.SendOutcome('r1', outcomes.Answered())
        refusals.record_outcomes(self.T, [finish], 8.0)
        self.assertEqual([], list(self.T.refusals))
        self.assertEqual({}, self.T.arrivals)

    def test_oldest_record_is_dropped(self):
        for number in range(5000):
            name = f'r{number}'
            arrival = inputs.RequestArrived(name, 's', _RANK, 'no', 'p', 4)
            core.handle_input(self.T, arrival, 7.0)
        self.assertEqual(4096, len(self.T.refusals))
        self.assertEqual('r4999', self.T.refusals[-1].name)
