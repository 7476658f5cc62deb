import testtools

from standins import platform


class TestPace(testtools.TestCase):
    def test_rows_are_spread(self):
        pace = platform._Pace(0.001)
        waits = [pace.reserve(1) for _ in range(3)]
        self.assertEqual([0, 1, 2], [round(wait / 1000) for wait in waits])

    def test_no_limit(self):
        self.assertEqual(0.0, platform._Pace(0.0).reserve(1000))
