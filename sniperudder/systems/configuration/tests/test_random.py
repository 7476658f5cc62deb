"""Random sequences of faults and commands, as a short soak test."""

import hypothesis
from hypothesis import strategies
from sniperudder.systems.configuration.tests import _mutants
from sniperudder import testing
import testtools

_COMMANDS = testing.Chaos.ACTIONS[-4:]
_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(_COMMANDS)
        | strategies.sampled_from(testing.Chaos.ACTIONS),
        strategies.integers(0, 999),
        strategies.sampled_from((0.0, 0.05, 0.3, 1.0, 2.5)),
    ),
    min_size=5,
    max_size=30,
)


class RandomTest(testtools.TestCase):
    @hypothesis.settings(
        derandomize=True,
        deadline=None,
        max_examples=25,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(strategies.integers(0, 2**32), _STEPS)
    def test_guarantees_hold_under_random_faults(self, seed, steps):
        chaos = testing.run_chaos(seed, steps, size=4)
        self.assertEqual([], chaos.monitor.violations)

    def test_mutant_is_detected(self):
        steps = [
            ('split', 2, 0.3),
            ('withdraw', 4, 6.0),
        ]
        chaos = testing.run_chaos(1, steps)
        self.assertEqual([], chaos.monitor.violations)
        with _mutants.confirm_without_platform():
            chaos = testing.run_chaos(1, steps)
        self.assertNotEqual([], chaos.monitor.violations)
