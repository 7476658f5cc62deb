"""The checker detects mutants of the request systems."""

import testtools

from sniperudder import errors
from sniperudder.systems.requests.tests import _mutants
from sniperudder import testing

_MAX_SEEDS = 200


def find_seed(mutant, max_seeds=_MAX_SEEDS):
    """Return the first seed that exposes a mutant's fault, or None."""
    with mutant.apply():
        for seed in range(max_seeds):
            world = testing.StreamSimulation(mutant.draw(seed))
            if any(mutant.violation in text for text in _run(world)):
                return seed
    return None


def _run(world):
    # A run ends early if an invariant of the program is violated or a
    # caller receives an invalid sequence of events.
    try:
        return testing.check_streams(world.run())
    except (AssertionError, errors.InvariantBroken) as exc:
        return [str(exc)]


class TestMutants(testtools.TestCase):
    def test_each_mutant_is_detected(self):
        missed = [
            mutant.apply.__name__
            for mutant in _mutants.MUTANTS
            if find_seed(mutant) is None
        ]
        self.assertEqual([], missed)
