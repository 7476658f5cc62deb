import pathlib

import testtools

from sniperudder import outcomes

_ROOT = pathlib.Path(__file__).parents[3]


class TestCodes(testtools.TestCase):
    def test_every_code_has_one_row(self):
        codes = [entry.code for entry in outcomes.list_codes()]
        self.assertEqual(sorted(outcomes.Code), codes)

    def test_class_follows_the_hundreds(self):
        classes = {
            1: outcomes.Execution.NOT_RUN,
            2: outcomes.Execution.NOT_RUN,
            3: outcomes.Execution.RAN,
            4: outcomes.Execution.IN_DOUBT,
        }
        for entry in outcomes.list_codes():
            self.assertIs(classes[entry.code // 100], entry.execution)

    def test_page_agrees_with_the_code(self):
        # `make docs` renders the page anew.
        page = (_ROOT / 'docs' / 'CODES.md').read_text(encoding='utf-8')
        self.assertEqual(outcomes.render_codes(), page)
