"""Report printed at the end of a scenario."""

import collections

from scenarios import _callers
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
_VIOLATION_KINDS = ('lost', 'doubled', 'crossed', 'not run', 'expected')


def render_report(work_items, violations):
    """Render the outcomes and the number of violations by kind.

    Parameters
    ----------
    work_items : list of WorkItem
    violations : list of Violation

    Returns
    -------
    str
    """
    groups = collections.defaultdict(list)
    for item in work_items:
        kind = f'orders at {item.service}' if item.service else item.rank
        groups[kind].append(item)
    rows = [_summarise_group(kind, group) for kind, group in groups.items()]
    table = queries.render_table(queries.Result(_COLUMNS, rows))
    violation_counts = collections.Counter(v.kind for v in violations)
    counts = ', '.join(
        f'{kind} {violation_counts[kind]}' for kind in _VIOLATION_KINDS
    )
    error_counts = collections.Counter(
        w.error_detail for w in work_items if w.error_detail
    )
    lines = [f'{count} x {text}' for text, count in error_counts.items()]
    return '\n'.join([table, *lines, f'broken promises: {counts}'])


def _summarise_group(kind, work_items):
    outcomes = collections.Counter(item.outcome for item in work_items)
    answered = sorted(
        item.elapsed_s
        for item in work_items
        if item.outcome is _callers.Outcome.ANSWERED
    )
    return (
        kind,
        len(work_items),
        len(answered),
        _list_codes(work_items, _callers.Outcome.REFUSED),
        _list_codes(work_items, _callers.Outcome.FAILED),
        outcomes[_callers.Outcome.IN_DOUBT],
        outcomes[_callers.Outcome.UNREACHED],
        outcomes[None],
        _find_quantile(answered, 0.5),
        _find_quantile(answered, 0.99),
    )


def _list_codes(work_items, outcome):
    codes = collections.Counter(
        w.code for w in work_items if w.outcome is outcome
    )
    return ' '.join(f'{c}:{n}' for c, n in sorted(codes.items())) or '-'


def _find_quantile(ordered, share):
    if not ordered:
        return None
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]
