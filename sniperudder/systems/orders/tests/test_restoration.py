"""Tests of orders after the platform was restored from a copy.

The pattern: the rows of claims and results are gone while callers repeat their
orders at other instances.
"""

import testtools

from sniperudder import effects
from sniperudder import inputs
from sniperudder.outcomes import Code
from sniperudder.systems import orders
from sniperudder.systems.orders.tests import _harness
from sniperudder.systems import restoration
from sniperudder.testing import _orderchecks
from sniperudder.testing import _orders
from sniperudder.testing import _orderscenarios
from sniperudder.testing import _rowstore

_SEEDS = 1000

# Faults beside which a claim that the platform has lost is still known. An
# instance that ends, or is frozen or without the platform while the others
# wait for it, can't write its rows again.
_KINDS = (
    _orders.FaultKind.STALE,
    _orders.FaultKind.SERVICE_REFUSES,
    _orders.FaultKind.SERVICE_LOSES,
    _orders.FaultKind.SERVICE_CRASHES,
    _orders.FaultKind.SERVICE_SLOW,
    _orders.FaultKind.PLATFORM_DOWN,
)


class RestoredOrderTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.store = _rowstore.RowStore()
        self.first = _harness.Harness(self.store)
        self.second = _harness.Harness(self.store, 'entry-2')
        for harness in (self.first, self.second):
            restoration.record_era(harness.T, 1, harness.now)

    def restore(self, rows=()):
        """Restore the platform, which all instances learn."""
        self.store.restore(dict(rows))
        for harness in (self.first, self.second):
            restoration.record_era(harness.T, self.store.era, harness.now)

    def write_again(self, harness):
        """Have an instance write its rows again."""
        for _ in range(2):
            new = harness.advance(0.1)
            while new:
                calls = [e for e in new if isinstance(e, effects.Transact)]
                new = []
                for call in calls:
                    result = inputs.TransactReturned(
                        call.purpose, self.store.transact(call), harness.now
                    )
                    new += harness.deliver(result)

    def run_order(self, answers=True):
        """Run an order at the first instance."""
        self.first.submit()
        self.first.commit()
        if answers:
            self.first.answer_call()
            self.first.commit()

    # Guards against: an order that had run was run again, since the row of its
    # result was gone.
    def test_repeat_gets_the_first_result(self):
        self.run_order()
        self.restore()
        self.second.submit('order-2')
        self.second.commit()
        self.assertEqual(0, self.second.count(effects.CallService))
        self.write_again(self.first)
        self.second.advance(10.0)
        codes = _harness.list_codes(self.second.commit())
        self.assertEqual([Code.STORED_RESULT], codes)
        self.assertEqual(0, self.second.count(effects.CallService))

    # Guards against: an order whose answer had been lost was run again, or the
    # caller was told that it has not run.
    def test_order_in_doubt_stays_in_doubt(self):
        self.run_order(answers=False)
        self.first.fail_call(inputs.Delivery.LOST)
        self.first.commit()
        self.restore()
        self.write_again(self.first)
        self.second.submit('order-2')
        codes = _harness.list_codes(self.second.commit())
        self.assertEqual([Code.ORDER_IN_DOUBT], codes)

    def test_order_that_runs_keeps_its_claim(self):
        self.run_order(answers=False)
        self.restore()
        self.second.submit('order-2')
        self.second.commit()
        self.write_again(self.first)
        self.second.advance(5.0)
        self.second.commit()
        self.assertEqual(0, self.second.count(effects.CallService))
        self.assertEqual(1, self.first.count(effects.CallService))

    def test_new_order_waits_and_runs(self):
        self.restore()
        self.first.submit()
        self.first.commit()
        self.assertEqual(0, self.first.count(effects.CallService))
        self.first.advance(orders_settle_s(self.first))
        self.first.commit()
        self.assertEqual(1, self.first.count(effects.CallService))

    # Guards against: a condition on a version that had been given out again
    # released the claim of another order.
    def test_release_does_not_meet_the_row_of_another_order(self):
        self.first.submit()
        self.first.commit()
        self.first.fail_call(inputs.Delivery.NOT_SENT)
        self.first.deliver(inputs.CallerDisconnected('order-1'))
        self.first.advance(1.0)
        release = self.first.find_last(effects.Transact)
        self.assertEqual([1], [c.version for c in release.conditions])
        # Its answer is lost; a claim of another order has the same version.
        self.restore()
        self.second.submit('order-2')
        self.second.commit()
        (row,) = self.store.rows.values()
        self.assertEqual(1, row.version)
        self.first.return_outcome(inputs.Unknown())
        self.first.advance(5.0)
        for call in self.first.effects[-2:]:
            self.store.transact(call)
        self.assertEqual([row], list(self.store.rows.values()))

    def test_result_of_an_earlier_era_is_unknown(self):
        self.first.submit()
        call = self.first.find_last(effects.Transact)
        late = self.store.transact(call)
        self.restore()
        result = inputs.TransactReturned(call.purpose, late, self.first.now)
        result, _ = restoration.receive_result(
            self.first.T, result, self.first.now
        )
        self.assertEqual(inputs.Unknown(), result.outcome)
        self.first.deliver(result)
        self.assertEqual(0, self.first.count(effects.CallService))

    def test_rows_are_remembered_for_some_time_only(self):
        self.run_order()
        self.first.advance(600.0)
        self.restore()
        self.assertEqual({}, self.first.T.written_orders)


def orders_settle_s(harness):
    """Return the time for which calls on new claims wait, seconds."""
    policy = harness.T.policy
    return 2 * policy.poll_s + policy.platform_timeout_s


class RandomRestorationTest(testtools.TestCase):
    # Guards against: what RestoredOrderTest guards against, in other orders of
    # events.
    def test_fixed_seeds(self):
        kinds = (_orders.FaultKind.PLATFORM_RESTORED, *_KINDS)
        for seed in range(_SEEDS):
            scenario = _orderscenarios.draw_scenario(seed, kinds=kinds)
            world = _orders.OrderSimulation(scenario).run()
            violations = _orderchecks.check_orders(world)
            self.assertEqual([], violations, f'seed {seed}')

    def test_rows_that_are_not_written_again_would_be_noticed(self):
        self.patch(orders._restoration, 'check_rows', lambda T, now: [])
        kinds = (_orders.FaultKind.PLATFORM_RESTORED,)
        found = []
        for seed in range(100):
            scenario = _orderscenarios.draw_scenario(seed, kinds=kinds)
            world = _orders.OrderSimulation(scenario).run()
            found += _orderchecks.check_orders(world)
        self.assertIn('ran twice', ' '.join(found))
