"""End-to-end tests of scenarios with real processes."""

import pathlib
import tempfile

import testtools

import scenarios

_FILE = pathlib.Path(__file__).parents[1] / 'thin.scn'
_FAILING = """\
model demo layers 2
endpoint whole layers 0..2
entry entry-1
organisation studio
start
send 2 urgent of studio tokens 4
expect done within 20s
command "withdraw endpoint whole"
"""


class RunTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = pathlib.Path(temporary.name)
        self.lines = []

    def _run_text(self, text):
        scenario = scenarios.parse_scenario(text)
        return scenarios.run_scenario(scenario, self.folder, self.lines.append)

    def test_minimal_scenario_passes(self):
        passed = self._run_text(_FILE.read_text())
        self.assertTrue(passed, '\n'.join(self.lines))

    def test_refused_command_fails_the_scenario(self):
        self.assertFalse(self._run_text(_FAILING))
        output = '\n'.join(self.lines)
        self.assertIn('line 8', output)
        self.assertIn('409', output)
