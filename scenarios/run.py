"""Command line of the scenarios: ``python -m scenarios.run FILE...``."""

import pathlib
import signal
import sys
import tempfile

import defopt

from scenarios import _parser
from scenarios import _runner
from sniperudder import errors
from sniperudder import logs as logs_module

_VIOLATION_STATUS = 1
_SYNTAX_ERROR_STATUS = 2


def run(*file: str, logs: str = '', timeline: bool = False):
    """Run scenarios one after another.

    Exits with 0 if all guarantees and expectations held, 1 if one was
    violated, 2 if a file has a syntax error.

    Parameters
    ----------
    file : str
        Scenario files.
    logs : str
        Directory for settings and logs; a temporary one if absent.
    timeline : bool
        Print the merged logs of the entry instances at the end.
    """
    try:
        scenarios = [_read_scenario(path) for path in file]
    except errors.GrammarError as error:
        print(error, file=sys.stderr)
        return _SYNTAX_ERROR_STATUS
    with tempfile.TemporaryDirectory() as temporary:
        passed = [
            _run_scenario(scenario, pathlib.Path(logs or temporary), timeline)
            for scenario in scenarios
        ]
    return 0 if all(passed) else _VIOLATION_STATUS


def _read_scenario(path):
    try:
        text = pathlib.Path(path).read_text()
        return _parser.parse_scenario(text, pathlib.Path(path).stem)
    except errors.GrammarError as error:
        raise errors.GrammarError(
            f'{path}: {error.message}', error.line, error.column
        ) from None


def _run_scenario(scenario, root, timeline):
    folder = root / scenario.name
    folder.mkdir(parents=True, exist_ok=True)
    print(f'scenario {scenario.name}', flush=True)
    runner = _runner.Runner(scenario, folder, _write_line)
    passed = runner.run()
    if timeline:
        paths = [str(path) for path in runner.list_logs()]
        merged = logs_module.read_timeline(paths, '')
        print(logs_module.render_text(merged))
    print(runner.render_report())
    print(f'{scenario.name}: {"held" if passed else "BROKEN"}')
    return passed


def _write_line(line):
    print(line, flush=True)


if __name__ == '__main__':
    # Exits through the finally blocks, which stop the child processes.
    signal.signal(signal.SIGTERM, lambda *args: sys.exit(_VIOLATION_STATUS))
    sys.exit(defopt.run(run, short={}, no_negated_flags=True))
