"""Tests of the parser of the scenario language."""

import pathlib
import re

import testtools

import scenarios
from scenarios import _records
from sniperudder import errors

_ROOT = pathlib.Path(__file__).parents[2]
_FLEET = """\
model demo layers 6
endpoint left layers 0..3 step 5ms streams 4 deduplicates
service swatches work 20ms lookup
entry entry-1
organisation studio
"""


def _parse_last(line):
    return scenarios.parse_scenario(_FLEET + line).lines[-1].statement


class ParserTest(testtools.TestCase):
    def test_statements(self):
        for text, statement in (
            ('start', _records.Start()),
            ('start left, entry-1', _records.Start(('left', 'entry-1'))),
            ('freeze entry-1', _records.Freeze('entry-1')),
            ('platform down', _records.SetFault('platform', 'hang_up', True)),
            ('platform up', _records.SetFault('platform')),
            (
                'platform loses 3 answers',
                _records.SetFault('platform', 'lose_answers', 3),
            ),
            (
                'fault left slow_s 300ms',
                _records.SetFault('left', 'slow_s', 0.3),
            ),
            (
                'send 5 least of studio rate 2.5 tokens 8 through entry-1',
                _records.Send(5, 'least', 'studio', 2.5, 8, 'entry-1'),
            ),
            (
                'order 2 of studio at swatches key "k 1"',
                _records.Order(2, 'swatches', 'studio', key='k 1'),
            ),
            ('withdraw left', _records.Command('withdraw endpoint left')),
            (
                'expect idle left after 3s',
                _records.ExpectIdle('left', 3.0),
            ),
            (
                'expect answered 95% of urgent  # most',
                _records.ExpectAnswered('urgent', 0.95),
            ),
        ):
            self.assertEqual(statement, _parse_last(text))

    def test_definitions(self):
        endpoint = scenarios.parse_scenario(_FLEET).lines[1].statement
        expected = _records.DefineEndpoint('left', 0, 3, 0.005, 4, True)
        self.assertEqual(expected, endpoint)

    def test_errors_have_line_and_column(self):
        for text, column, words in (
            ('kill', 5, 'a name'),
            ('kill right', 6, 'entry-1, left, platform or swatches'),
            ('send 5 low of studio', 8, 'urgent, middle or least'),
            ('send 5 least of nobody', 17, 'studio'),
            ('wait 5', 6, 'a duration'),
            ('explode left', 1, '"kill"'),
        ):
            error = self.assertRaises(errors.GrammarError, _parse_last, text)
            self.assertEqual((6, column), (error.line, error.column))
            self.assertIn(words, error.message)

    def test_option_of_another_statement_is_rejected(self):
        error = self.assertRaises(
            errors.GrammarError, _parse_last, 'entry e-2\nservice s tokens 3'
        )
        self.assertEqual(7, error.line)

    def test_scenario_files_parse(self):
        paths = sorted((_ROOT / 'scenarios').glob('*.scn'))
        self.assertNotEqual([], paths)
        for path in paths:
            scenarios.parse_scenario(path.read_text(), path.stem)

    def test_documented_examples_parse(self):
        page = (_ROOT / 'docs' / 'SCENARIOS.md').read_text()
        blocks = re.findall(r'```scenario\n(.*?)```', page, re.S)
        self.assertNotEqual([], blocks)
        for block in blocks:
            scenarios.parse_scenario(block)
