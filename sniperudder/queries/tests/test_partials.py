"""Tests of distributed query evaluation."""

import json
import random

import hypothesis
import testtools

from sniperudder import queries
from sniperudder.queries import _accumulators
from sniperudder.queries.tests import fleets
from sniperudder.queries.tests import strategies

_TYPES = {
    queries.ColumnKind.TEXT: str,
    queries.ColumnKind.CHOICE: str,
    queries.ColumnKind.INTEGER: int,
    queries.ColumnKind.NUMBER: float,
    queries.ColumnKind.SECONDS: float,
    queries.ColumnKind.FLAG: bool,
}


def _query_fleet(fleet, text, missing=()):
    """Run a query on several instances and combine the encoded results."""
    query = queries.parse_query(text)
    partials = []
    for T in fleet:
        partial = queries.evaluate_partial(T, query, fleets.NOW)
        message = queries.encode_partial(partial)
        partials.append(queries.decode_partial(message))
    return queries.combine_partials(query, partials, missing)


class RowsTest(testtools.TestCase):
    def test_rows_have_the_types_of_their_columns(self):
        T = fleets.create_fleet()
        for table, columns in queries.TABLES.items():
            rows = list(queries.list_rows(T, table, fleets.NOW))
            self.assertNotEqual([], rows)
            for row in rows:
                self.assertEqual(len(columns), len(row))
                for column, value in zip(columns, row):
                    if value is not None:
                        self.assertIsInstance(value, _TYPES[column.kind])

    def test_row_values_are_declared_choices(self):
        T = fleets.create_fleet()
        for table, columns in queries.TABLES.items():
            for row in queries.list_rows(T, table, fleets.NOW):
                for column, value in zip(columns, row):
                    if column.choices:
                        self.assertIn(value, column.choices)


class PartialTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = [fleets.create_fleet(f'entry-{i}') for i in range(3)]

    def test_rows_are_sorted_and_limited(self):
        result = _query_fleet(
            self.fleet,
            'show instance, name, rank of requests '
            'order by rank desc, instance limit 2',
        )
        expected = [('entry-0', 'r2', 'least'), ('entry-1', 'r2', 'least')]
        self.assertEqual(expected, result.rows)

    def test_groups_are_merged(self):
        result = _query_fleet(
            self.fleet,
            'show rank, count(), max(wait_s), mean(age_s) of requests '
            'by rank order by rank',
        )
        expected = [('urgent', 3, 1.0, 10.0), ('least', 3, 10.0, 10.0)]
        self.assertEqual(expected, result.rows)

    def test_count_without_rows_is_zero(self):
        result = _query_fleet(self.fleet, 'count requests where tokens > 5')
        self.assertEqual([(0,)], result.rows)

    def test_since_limits_the_age_of_rows(self):
        for since, count in (('2m', 3), ('30s', 0)):
            result = _query_fleet(self.fleet, f'count refusals since {since}')
            self.assertEqual([(count,)], result.rows)

    def test_missing_instances_are_named(self):
        result = _query_fleet(
            self.fleet, 'show config', ['entry-9', 'entry-8']
        )
        self.assertEqual(('entry-8', 'entry-9'), result.missing)
        self.assertEqual('no answer from entry-8, entry-9', result.detail)

    def test_missing_value_satisfies_no_comparison(self):
        for condition in ('last_sent_age_s < 9', 'last_sent_age_s >= 9'):
            result = _query_fleet(
                self.fleet, f'count endpoints where {condition}'
            )
            self.assertEqual([(0,)], result.rows)

    def test_truncated_rows_are_reported(self):
        T = self.fleet[0]
        for i in range(1200):
            fleets.create_request(T, f'q{i}')
        result = _query_fleet([T], 'show requests')
        self.assertEqual(1000, len(result.rows))
        self.assertIn('more rows than can be carried', result.detail)

    def test_limit_in_the_query_is_not_reported_as_truncation(self):
        for i in range(1200):
            fleets.create_request(self.fleet[0], f'q{i}')
        result = _query_fleet(self.fleet, 'show requests limit 5')
        self.assertEqual((5, ''), (len(result.rows), result.detail))

    def test_malformed_partial_is_refused(self):
        for text in ('', '{}', '["a", [], 1]'):
            self.assertRaises(ValueError, queries.decode_partial, text)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(strategies.create_queries())
    def test_any_query_is_answered(self, query):
        parts = [
            queries.evaluate_partial(T, query, fleets.NOW) for T in self.fleet
        ]
        parts = [
            queries.decode_partial(queries.encode_partial(p)) for p in parts
        ]
        result = queries.combine_partials(query, parts)
        for row in result.rows:
            self.assertEqual(len(result.columns), len(row))
        queries.render_table(result)
        json.loads(queries.render_json(result))


class PercentileTest(testtools.TestCase):
    def _compute_merged_p95(self, values, parts):
        combined = _accumulators.create_accumulator('p95')
        for i in range(parts):
            part = _accumulators.create_accumulator('p95')
            for value in values[i::parts]:
                part.add(value)
            combined.merge(json.loads(json.dumps(part.export())))
        return combined.compute()

    def test_few_values_are_exact(self):
        self.assertEqual(
            38.0, self._compute_merged_p95([float(i) for i in range(1, 41)], 4)
        )

    def test_many_values_are_within_one_percent(self):
        rng = random.Random(1)
        values = [rng.expovariate(0.1) for _ in range(5000)]
        exact = sorted(values)[int(0.95 * len(values)) - 1]
        for parts in (1, 3, 9, 200):
            merged = self._compute_merged_p95(values, parts)
            self.assertLessEqual(abs(merged - exact), 0.01 * exact)
