import time

import testtools

from standins import platform


class TestRateLimit(testtools.TestCase):
    def test_rows_are_spread(self):
        rate_limit = platform._RateLimit(0.001)
        waits = [rate_limit.reserve(1) for _ in range(3)]
        self.assertEqual([0, 1, 2], [round(wait / 1000) for wait in waits])

    def test_no_limit(self):
        self.assertEqual(0.0, platform._RateLimit(0.0).reserve(1000))


class TestRestoration(testtools.TestCase):
    def test_versions_are_used_again(self):
        history = platform._History()
        history.write('a', '1')
        copied_at = time.monotonic()
        history.write('a', '2')
        history.write('b', '1')
        history.restore(copied_at)
        self.assertEqual((1, 0), (history.version('a'), history.version('b')))
        self.assertEqual('1', history.read('a')['value'])
        history.write('a', '3')
        self.assertEqual(2, history.version('a'))
        self.assertEqual(1, len(history))
