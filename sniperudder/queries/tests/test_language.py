"""Tests of the query language and of its documentation."""

import pathlib
import re

import hypothesis
import testtools

from sniperudder import errors
from sniperudder import queries
from sniperudder.queries.tests import fleets
from sniperudder.queries.tests import strategies
from sniperudder.tables import Rank

_PAGE = pathlib.Path(__file__).parents[3] / 'docs' / 'QUERIES.md'


def _read_examples(kind):
    blocks = re.findall(rf'```{kind}\n(.*?)```', _PAGE.read_text(), re.S)
    return [block.strip().split('\n') for block in blocks]


class ParserTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(strategies.create_queries())
    def test_queries_survive_a_round_trip(self, query):
        text = queries.format_query(query)
        self.assertEqual(query, queries.parse_query(text))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(strategies.COMMANDS)
    def test_commands_survive_a_round_trip(self, command):
        text = queries.format_command(command)
        self.assertEqual(command, queries.parse_command(text))

    def test_operator_precedence(self):
        query = queries.parse_query(
            'show requests where not rank = urgent and tokens > 1 or age_s < 2'
        )
        first, last = query.where.conditions
        self.assertIsInstance(query.where, queries.Disjunction)
        self.assertIsInstance(first.conditions[0], queries.Negation)
        self.assertEqual(queries.Comparison('age_s', '<', 2.0), last)

    def test_durations_are_converted_to_seconds(self):
        query = queries.parse_query(
            'show requests where wait_s in 300ms..5m since 2h'
        )
        self.assertEqual(queries.Range('wait_s', 0.3, 300.0), query.where)
        self.assertEqual(7200.0, query.since_s)

    def test_ranks_are_sorted(self):
        command = queries.parse_command('allow endpoint a ranks least, urgent')
        self.assertEqual((Rank.URGENT, Rank.LEAST), command.intent.ranks)

    def test_errors_give_column_and_expected_input(self):
        for text, column, expected in (
            ('show endpoint', 6, 'requests, orders, endpoints'),
            ('show requests where', 20, 'a name'),
            ('show p95(model) of requests', 10, 'wait_s'),
            ('show name of requests order by rank', 32, 'name'),
            ('show endpoints since 5m', 22, 'no age'),
            ('show requests limit 0', 21, 'above 0'),
            ('show requests limit 1 limit 2', 6, 'twice'),
            ('show requests where tokens = many', 30, 'a whole number'),
            ('show rank, count() of requests', 6, '"by"'),
            ('show requests where (rank = urgent', 35, '")"'),
        ):
            error = self.assertRaises(
                errors.GrammarError, queries.parse_query, text
            )
            self.assertEqual((1, column), (error.line, error.column))
            self.assertIn(expected, error.message)

    def test_deep_nesting_is_refused_at_its_column(self):
        for opening, closing in (('(', ')'), ('not ', ''), ('NOT(', ')')):
            condition = 'rank = urgent'
            sound = f'{opening * 90}{condition}{closing * 90}'
            queries.parse_query(f'show requests where {sound}')
            deep = f'{opening * 3000}{condition}{closing * 3000}'
            error = self.assertRaises(
                errors.GrammarError,
                queries.parse_query,
                f'show requests where {deep}',
            )
            self.assertIn('levels', error.message)
            self.assertTrue(20 < error.column < 900, error.column)

    def test_quoted_parentheses_do_not_count_as_nesting(self):
        text = '(' * 3000
        queries.parse_query(f'show requests where name = "{text}"')

    def test_out_of_range_numbers_are_refused(self):
        for text in ('shed rank least 120%', 'weight organisation a 0'):
            self.assertRaises(errors.GrammarError, queries.parse_command, text)


class DocumentationTest(testtools.TestCase):
    def test_documented_queries_run(self):
        T = fleets.create_fleet()
        (examples,) = _read_examples('query')
        for text in examples:
            query = queries.parse_query(text)
            partial = queries.evaluate_partial(T, query, fleets.NOW)
            queries.combine_partials(query, [partial])

    def test_documented_commands_round_trip(self):
        (examples,) = _read_examples('command')
        for text in examples:
            command = queries.parse_command(text)
            again = queries.parse_command(queries.format_command(command))
            self.assertEqual(command, again)

    def test_documented_errors_match(self):
        for text, message in _read_examples('problem'):
            parse = queries.parse_command
            if text.startswith('show'):
                parse = queries.parse_query
            error = self.assertRaises(errors.GrammarError, parse, text)
            self.assertEqual(message, str(error))

    def test_all_columns_are_documented(self):
        page = _PAGE.read_text()
        for name, columns in queries.TABLES.items():
            words = ', '.join(column.name for column in columns)
            self.assertIn(f'| {name} | {words} |', page)
