"""The table at the end of a scenario."""

import collections

from scenarios import _work
from sniperudder import queries

_COLUMNS = (
    'work',
    'sent',
    'answered',
    'refused by code',
    'failed by code',
    'in doubt',
    'unreached',
    'no outcome',
    'p50_s',
    'p99_s',
)
_BROKEN = ('lost', 'doubled', 'crossed', 'not run', 'expected')


def render_report(works, violations):
    """Return the table of outcomes and of broken promises.

    Parameters
    ----------
    works : list of Work
    violations : list of Violation

    Returns
    -------
    str
    """
    groups = collections.defaultdict(list)
    for work in works:
        kind = f'orders at {work.service}' if work.service else work.rank
        groups[kind].append(work)
    rows = [_count_group(kind, group) for kind, group in groups.items()]
    table = queries.render_table(queries.Result(_COLUMNS, rows))
    broken = collections.Counter(v.kind for v in violations)
    counts = ', '.join(f'{kind} {broken[kind]}' for kind in _BROKEN)
    problems = collections.Counter(w.problem for w in works if w.problem)
    lines = [f'{count} x {text}' for text, count in problems.items()]
    return '\n'.join([table, *lines, f'broken promises: {counts}'])


def _count_group(kind, works):
    endings = collections.Counter(work.ending for work in works)
    answered = sorted(
        work.elapsed_s
        for work in works
        if work.ending is _work.Ending.ANSWERED
    )
    return (
        kind,
        len(works),
        len(answered),
        _list_codes(works, _work.Ending.REFUSED),
        _list_codes(works, _work.Ending.FAILED),
        endings[_work.Ending.IN_DOUBT],
        endings[_work.Ending.UNREACHED],
        endings[None],
        _pick(answered, 0.5),
        _pick(answered, 0.99),
    )


def _list_codes(works, ending):
    codes = collections.Counter(w.code for w in works if w.ending is ending)
    return ' '.join(f'{c}:{n}' for c, n in sorted(codes.items())) or '-'


def _pick(ordered, share):
    if not ordered:
        return None
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]
