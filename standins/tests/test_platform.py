import testtools

from standins import platform


class TestRateLimit(testtools.TestCase):
    def test_rows_are_spread(self):
        rate_limit = platform._RateLimit(0.001)
        waits = [rate_limit.reserve(1) for _ in range(3)]
        self.assertEqual([0, 1, 2], [round(wait / 1000) for wait in waits])

    def test_no_limit(self):
        self.assertEqual(0.0, platform._RateLimit(0.0).reserve(1000))
