"""Tests of shedding under pressure."""

import testtools

from sniperudder import routing

_RANKS = (0, 1, 2)
_TICK_S = 0.25


class PressureTest(testtools.TestCase):
    """Pattern: all streams slow down, more are admitted than are served."""

    def press(self, level, seconds, slow_share):
        """Let a share of 200 events a second be slow for a while."""
        for _ in range(int(seconds / _TICK_S)):
            level = routing.update_level(
                level, 200, int(200 * slow_share), _TICK_S, len(_RANKS)
            )
        return level

    def test_least_urgent_rank_goes_first(self):
        level = self.press(0.0, 1.0, 0.5)
        shares = [routing.get_shed_share(level, r, _RANKS) for r in _RANKS]
        self.assertEqual([0.0, 0.0], shares[:2])
        self.assertGreater(shares[2], 0.7)

    def test_no_rank_starves(self):
        level = self.press(0.0, 60.0, 1.0)
        for rank in _RANKS:
            share = routing.get_shed_share(level, rank, _RANKS)
            self.assertLess(share, 0.9)

    def test_pressure_ends(self):
        level = self.press(0.0, 60.0, 1.0)
        self.assertEqual(0.0, self.press(level, 6.5, 0.0))

    def test_one_dead_stage_sheds_nothing(self):
        # A sixth of all streams stalls; each of them has one slow event
        # while the others go on.
        self.assertEqual(0.0, self.press(0.0, 5.0, 0.1))

    def test_few_events_say_nothing(self):
        level = routing.update_level(0.0, 5, 5, _TICK_S, 3)
        self.assertEqual(0.0, level)

    def test_slow_events_are_counted_for_a_second(self):
        counter = routing.PauseCounter()
        for number in range(8):
            counter.record_event(0.15, 0.2, 0.1 * number)
            counter.record_event(0.05, 0.2, 0.1 * number)
        self.assertEqual((16, 8), counter.count(0.8))
        self.assertEqual((0, 0), counter.count(3.0))
