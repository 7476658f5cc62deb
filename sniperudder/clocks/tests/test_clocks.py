import time

import testtools

from sniperudder import clocks


class TestLamportClock(testtools.TestCase):
    def test_effect_has_higher_value_than_its_cause(self):
        sender = clocks.LamportClock()
        receiver = clocks.LamportClock()
        for _ in range(5):
            sent = sender.advance()
        receiver.observe(sent)
        self.assertGreater(receiver.advance(), sent)

    def test_observing_lower_value_does_not_set_clock_back(self):
        clock = clocks.LamportClock()
        clock.observe(10)
        clock.observe(3)
        self.assertEqual(11, clock.advance())

    def test_wall_clock_step_back_does_not_set_clock_back(self):
        times = iter((100, 40, 200))
        clock = clocks.LamportClock(read_minimum=lambda: next(times))
        values = [clock.advance() for _ in range(3)]
        self.assertEqual([100, 101, 200], values)


class TestReadClock(testtools.TestCase):
    def test_counts_seconds_since_boot(self):
        before = time.clock_gettime(time.CLOCK_BOOTTIME)
        now = clocks.read_clock()
        after = time.clock_gettime(time.CLOCK_BOOTTIME)
        self.assertTrue(before <= now <= after)
