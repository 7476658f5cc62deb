"""Runs scenarios: ``python -m scenarios.run FILE...``."""

import pathlib
import signal
import sys
import tempfile

import defopt

from scenarios import _parser
from scenarios import _runner
from sniperudder import errors
from sniperudder import logs as logs_module

_BROKEN = 1
_MISTAKE = 2


def run(*file: str, logs: str = '', timeline: bool = False):
    """Run scenarios one after another.

    Exits with 0 if every promise held, 1 if one was broken, 2 if a file
    has a mistake.

    Parameters
    ----------
    file : str
        Scenario files.
    logs : str
        Folder that keeps settings and logs; a temporary one if absent.
    timeline : bool
        Print the time line of the entry instances at the end.
    """
    try:
        scenarios = [_read(path) for path in file]
    except errors.SyntaxProblem as problem:
        print(problem, file=sys.stderr)
        return _MISTAKE
    with tempfile.TemporaryDirectory() as temporary:
        held = [
            _run(scenario, pathlib.Path(logs or temporary), timeline)
            for scenario in scenarios
        ]
    return 0 if all(held) else _BROKEN


def _read(path):
    try:
        text = pathlib.Path(path).read_text()
        return _parser.parse_scenario(text, pathlib.Path(path).stem)
    except errors.SyntaxProblem as problem:
        raise errors.SyntaxProblem(
            f'{path}: {problem.problem}', problem.line, problem.column
        ) from None


def _run(scenario, root, timeline):
    folder = root / scenario.name
    folder.mkdir(parents=True, exist_ok=True)
    print(f'scenario {scenario.name}', flush=True)
    runner = _runner.Runner(scenario, folder, _tell)
    held = runner.run()
    if timeline:
        paths = [str(path) for path in runner.list_logs()]
        merged = logs_module.read_timeline(paths, '')
        print(logs_module.render_text(merged))
    print(runner.render_report())
    print(f'{scenario.name}: {"held" if held else "BROKEN"}')
    return held


def _tell(line):
    print(line, flush=True)


if __name__ == '__main__':
    # Unwinds, so that the processes started here are ended.
    signal.signal(signal.SIGTERM, lambda *args: sys.exit(_BROKEN))
    sys.exit(defopt.run(run, short={}, no_negated_flags=True))
