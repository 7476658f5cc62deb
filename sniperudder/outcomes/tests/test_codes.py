import pathlib

import testtools

from sniperudder import outcomes

_ROOT = pathlib.Path(__file__).parents[3]


class TestCodes(testtools.TestCase):
    def test_every_code_has_exactly_one_row(self):
        codes = [entry.code for entry in outcomes.list_codes()]
        self.assertEqual(sorted(outcomes.Code), codes)

    def test_first_digit_determines_execution_class(self):
        classes = {
            1: outcomes.Execution.NOT_RUN,
            2: outcomes.Execution.NOT_RUN,
            3: outcomes.Execution.RAN,
            4: outcomes.Execution.IN_DOUBT,
        }
        for entry in outcomes.list_codes():
            self.assertIs(classes[entry.code // 100], entry.execution)

    def test_documentation_page_is_up_to_date(self):
        # `make docs` regenerates the page.
        page = (_ROOT / 'docs' / 'CODES.md').read_text(encoding='utf-8')
        self.assertEqual(outcomes.render_codes(), page)
