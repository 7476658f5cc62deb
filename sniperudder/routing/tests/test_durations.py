"""Tests of estimates of durations."""

import testtools

from sniperudder.routing import _durations

_KEY = ('chat', 'route-1')


class DurationEstimatorTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.estimator = _durations.DurationEstimator()

    def record(self, key, durations, size=1.0):
        for seconds in durations:
            self.estimator.record(key, size, seconds)

    def test_nothing_is_estimated_from_few_requests(self):
        self.record(_KEY, [1.0] * 7)
        self.assertIsNone(self.estimator.estimate_s(_KEY, 1.0))

    def test_few_long_requests_among_many_do_not_count(self):
        self.record(_KEY, [1.0] * 61 + [30.0] * 3)
        self.assertEqual(1.0, self.estimator.estimate_s(_KEY, 1.0))

    def test_old_requests_do_not_count(self):
        self.record(_KEY, [30.0] * 64 + [1.0] * 64)
        self.assertEqual(1.0, self.estimator.estimate_s(_KEY, 1.0))

    def test_own_route_goes_before_its_service(self):
        self.record(_KEY, [1.0] * 8)
        self.record(('chat', 'route-2'), [5.0] * 8)
        self.assertEqual(1.0, self.estimator.estimate_s(_KEY, 1.0))
        other = ('chat', 'route-3')
        self.assertEqual(5.0, self.estimator.estimate_s(other, 1.0))

    def test_durations_grow_with_the_size(self):
        self.record(_KEY, [3.0] * 8, size=100.0)
        self.assertEqual(6.0, self.estimator.estimate_s(_KEY, 200.0))

    # Guards against: routes that come and go fill the memory.
    def test_number_of_keys_is_bounded(self):
        for number in range(1_000):
            self.record(('chat', f'route-{number}'), [1.0])
        self.assertLessEqual(len(self.estimator._samples), 512)
        self.assertEqual(1.0, self.estimator.estimate_s(_KEY, 1.0))
