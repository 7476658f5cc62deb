"""Test that the checker detects mutants of the order system."""

import testtools

from sniperudder.systems.orders.tests import _mutants
from sniperudder.testing import _orderchecks
from sniperudder.testing import _orders

_MAX_SEEDS = 500


def find_seed(mutant, max_seeds=_MAX_SEEDS):
    """Return the first seed that reveals a mutant, and the findings.

    Returns
    -------
    (int, list of str) or None
    """
    with mutant.apply():
        for seed in range(max_seeds):
            scenario = mutant.draw(seed)
            world = _orders.OrderSimulation(scenario).run()
            violations = _orderchecks.check_orders(world)
            if any(
                mutant.expected_finding in sentence for sentence in violations
            ):
                return seed, violations
    return None


class MutantsTest(testtools.TestCase):
    def test_each_mutant_is_detected(self):
        missed = [
            mutant.apply.__name__
            for mutant in _mutants.MUTANTS
            if find_seed(mutant) is None
        ]
        self.assertEqual([], missed)
