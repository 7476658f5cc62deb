"""Tests of load shedding."""

import testtools

from sniperudder import routing

_RANKS = (0, 1, 2)
_UPDATE_INTERVAL_S = 0.25


class SheddingTest(testtools.TestCase):
    """More streams are admitted than can be served, and all slow down."""

    def run_updates(self, level, seconds, slow_share):
        """Return the level after some time with a share of slow events.

        Each update counts 200 events.
        """
        for _ in range(int(seconds / _UPDATE_INTERVAL_S)):
            level = routing.update_shedding_level(
                level,
                200,
                int(200 * slow_share),
                _UPDATE_INTERVAL_S,
                len(_RANKS),
            )
        return level

    def test_least_urgent_rank_is_shed_first(self):
        level = self.run_updates(0.0, 1.0, 0.5)
        shares = [routing.get_shed_share(level, r, _RANKS) for r in _RANKS]
        self.assertEqual([0.0, 0.0], shares[:2])
        self.assertGreater(shares[2], 0.7)

    def test_no_rank_starves(self):
        level = self.run_updates(0.0, 60.0, 1.0)
        for rank in _RANKS:
            share = routing.get_shed_share(level, rank, _RANKS)
            self.assertLess(share, 0.9)

    def test_level_falls_to_zero_after_overload(self):
        level = self.run_updates(0.0, 60.0, 1.0)
        self.assertEqual(0.0, self.run_updates(level, 6.5, 0.0))

    def test_one_dead_stage_sheds_nothing(self):
        # A sixth of all streams stalls. Each of them has one slow event,
        # while the others continue.
        self.assertEqual(0.0, self.run_updates(0.0, 5.0, 0.1))

    def test_few_events_do_not_raise_the_level(self):
        level = routing.update_shedding_level(0.0, 5, 5, _UPDATE_INTERVAL_S, 3)
        self.assertEqual(0.0, level)

    def test_slow_events_are_counted_for_a_second(self):
        counter = routing.GapCounter()
        for number in range(8):
            counter.record_event(0.15, 0.2, 0.1 * number)
            counter.record_event(0.05, 0.2, 0.1 * number)
        self.assertEqual((16, 8), counter.count(0.8))
        self.assertEqual((0, 0), counter.count(3.0))
