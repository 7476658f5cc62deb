import threading

import testtools

from sniperudder import metrics
from sniperudder.tables import Rank


class TestMetrics(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.M = metrics.create_metrics(max_organisations=2)

    def record(self, seconds, organisation='studio'):
        metrics.record_duration(
            self.M,
            metrics.Timing.FIRST_TOKEN,
            Rank.URGENT,
            organisation,
            seconds,
        )

    def read(self, quantile, organisation='studio'):
        return metrics.read_quantile(
            self.M,
            metrics.Timing.FIRST_TOKEN,
            Rank.URGENT,
            organisation,
            quantile,
        )

    def test_quantiles_are_accurate_to_two_digits(self):
        for n in range(1, 1001):
            self.record(n / 1000)
        for quantile in (0.5, 0.95, 0.99):
            error = abs(self.read(quantile) - quantile) / quantile
            self.assertLess(error, 0.01)

    def test_out_of_range_durations_are_clamped(self):
        for seconds in (-1, 0, 1e9):
            self.record(seconds)
        self.assertLess(self.read(0), 1e-5)
        self.assertLess(abs(self.read(1) - 3600), 36)

    def test_organisations_beyond_the_limit_share_one_series(self):
        for number in range(100):
            self.record(0.1, f'org-{number}')
        self.assertEqual(3, len(self.M.durations))
        self.assertIn(
            'organisation="other"} 98', metrics.render_metrics(self.M)
        )

    def test_counters_are_bounded(self):
        for number in range(1000):
            metrics.count_event(self.M, f'event-{number}')
        self.assertLessEqual(len(self.M.counters), 257)
        self.assertEqual(1000, sum(self.M.counters.values()))

    def test_concurrent_updates_are_not_lost(self):
        def record():
            for _ in range(500):
                self.record(0.01)
                metrics.count_event(self.M, 'tokens')

        threads = [threading.Thread(target=record) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(2000, self.M.counters['tokens'])
        text = metrics.render_metrics(self.M)
        self.assertIn('organisation="studio"} 2000', text)


class TestRenderMetrics(testtools.TestCase):
    def test_text_format(self):
        M = metrics.create_metrics()
        metrics.record_duration(
            M, metrics.Timing.TOTAL, Rank.LEAST, 'a"b\\c\n', 2.0
        )
        metrics.count_event(M, 'refused_204')
        metrics.set_gauge(M, 'streams', 7)
        text = metrics.render_metrics(M, {'refused_204': 2, 'yields': 1})
        labels = 'rank="least",organisation="a\\"b\\\\c\\n"'
        name = 'sniperudder_total_seconds'
        self.assertEqual(
            [
                f'# HELP {name} Time from arrival to the end of the answer.',
                f'# TYPE {name} summary',
                f'{name}{{{labels},quantile="0.5"}} 2.00704',
                f'{name}{{{labels},quantile="0.95"}} 2.00704',
                f'{name}{{{labels},quantile="0.99"}} 2.00704',
                f'{name}{{{labels},quantile="0.999"}} 2.00704',
                f'{name}_sum{{{labels}}} 2.000000',
                f'{name}_count{{{labels}}} 1',
                '# TYPE sniperudder_events_total counter',
                'sniperudder_events_total{event="refused_204"} 3',
                'sniperudder_events_total{event="yields"} 1',
                '# TYPE sniperudder_level gauge',
                'sniperudder_level{subject="streams"} 7',
            ],
            text.splitlines(),
        )

    def test_empty_metrics(self):
        M = metrics.create_metrics()
        self.assertEqual('\n', metrics.render_metrics(M))
