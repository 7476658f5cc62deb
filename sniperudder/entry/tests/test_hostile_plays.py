"""A short seeded soak of a process beside hostile callers."""

import testtools

from sniperudder.entry.tests import _hostile_plays

_SEEDS = range(1, 5)


class HostilePlayTest(testtools.TestCase):
    def test_bounds_hold_beside_signals_changes_and_restarts(self):
        answered = 0
        for seed in _SEEDS:
            verdict = _hostile_plays.play(seed)
            self.assertEqual([], verdict.faults)
            answered += verdict.answered
        self.assertTrue(answered)
