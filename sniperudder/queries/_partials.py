"""Queries evaluated in parts: one at each instance, then combined."""

import dataclasses
import heapq
import json

from sniperudder.queries import _accumulators
from sniperudder.queries import _columns
from sniperudder.queries import _conditions
from sniperudder.queries import _rows

_MAX_ROWS = 1000
_MAX_GROUPS = 10000


@dataclasses.dataclass(slots=True)
class Partial:
    """What one instance answers to a query.

    Attributes
    ----------
    instance : str
    rows : list of tuple
        Rows of the result, or for each group its key followed by the
        exported states of its aggregates.
    cut : bool
        Whether rows or groups were left out because of their number.
    """

    instance: str
    rows: list
    cut: bool = False


@dataclasses.dataclass(slots=True)
class Result:
    """What the fleet answers to a query.

    Attributes
    ----------
    columns : tuple of str
    rows : list of tuple
    missing : tuple of str
        Instances that did not answer.
    detail : str
        What a reader must know besides.
    """

    columns: tuple
    rows: list
    missing: tuple = ()
    detail: str = ''


def evaluate_partial(T, query, now):
    """Return this instance's part of the answer to a query.

    Parameters
    ----------
    T : Tables
    query : Query
    now : float
        Seconds on the instance's clock.

    Returns
    -------
    Partial

    Notes
    -----
    Each row of the table is made and tested once. Without aggregates,
    at most `limit` rows are kept, O(n log limit). With aggregates, the
    size is that of the groups, not of the rows.

    Examples
    --------
    >>> from sniperudder import queries, tables
    >>> T = tables.create_tables('entry-1', 'milan')
    >>> query = queries.parse_query('show config')
    >>> evaluate_partial(T, query, 0.0).rows
    []
    """
    keep = _conditions.create_filter(query)
    rows = filter(keep, _rows.list_rows(T, query.table, now))
    if query.aggregates:
        return _group_rows(T.me, query, rows)
    places = _find_places(query.table, query.columns)
    picked = (tuple(row[i] for i in places) for row in rows)
    return _create_partial(T.me, query, picked)


def _find_places(table, names):
    columns = [column.name for column in _columns.TABLES[table]]
    return [columns.index(name) for name in names]


def _create_partial(instance, query, rows):
    limit = min(query.limit or _MAX_ROWS, _MAX_ROWS)
    first = _take_first(query, rows, limit + 1)
    asked = query.limit is not None and query.limit <= _MAX_ROWS
    cut = len(first) > limit and not asked
    return Partial(instance, first[:limit], cut)


def _take_first(query, rows, count):
    """Return the first `count` rows in the order of the query."""
    if not query.order:
        return [row for row, _ in zip(rows, range(count))]
    return heapq.nsmallest(count, rows, key=_create_row_key(query))


def _create_row_key(query):
    columns = _columns.get_columns(query.table)
    parts = [
        (
            query.labels.index(ordering.column),
            _conditions.create_sort_key(columns.get(ordering.column)),
            ordering.descending,
        )
        for ordering in query.order
    ]

    def compute_key(row):
        return [
            _Descending(key(row[i])) if descending else key(row[i])
            for i, key, descending in parts
        ]

    return compute_key


class _Descending:
    """A sort key that compares the other way round."""

    __slots__ = ('key',)

    def __init__(self, key):
        self.key = key

    def __lt__(self, other):
        return other.key < self.key

    def __eq__(self, other):
        return other.key == self.key


def _group_rows(instance, query, rows):
    group_places = _find_places(query.table, query.groups)
    value_places = [
        _find_places(query.table, [a.column])[0] if a.column else 0
        for a in query.aggregates
    ]
    groups = {}
    for row in rows:
        key = tuple(row[i] for i in group_places)
        accumulators = groups.get(key)
        if accumulators is None:
            accumulators = groups[key] = _create_accumulators(query)
        for accumulator, place in zip(accumulators, value_places):
            accumulator.add(row[place])
    cut = len(groups) > _MAX_GROUPS
    exported = [
        key + tuple(accumulator.export() for accumulator in accumulators)
        for key, accumulators in list(groups.items())[:_MAX_GROUPS]
    ]
    return Partial(instance, exported, cut)


def _create_accumulators(query):
    return [
        _accumulators.create_accumulator(a.function) for a in query.aggregates
    ]


def combine_partials(query, partials, missing=()):
    """Return the fleet's answer to a query.

    Parameters
    ----------
    query : Query
    partials : iterable of Partial
    missing : iterable of str
        Instances that did not answer.

    Returns
    -------
    Result

    Notes
    -----
    Linear in the rows or groups of all parts, and a sort of what is
    shown.
    """
    partials = list(partials)
    if query.aggregates:
        rows = _merge_groups(query, partials)
    else:
        rows = [row for partial in partials for row in partial.rows]
    if query.order:
        rows = sorted(rows, key=_create_row_key(query))
    if query.limit is not None:
        rows = rows[: query.limit]
    missing = tuple(sorted(missing))
    cut = sorted(partial.instance for partial in partials if partial.cut)
    detail = _describe_gaps(missing, cut)
    return Result(query.labels, rows, missing, detail)


def _merge_groups(query, partials):
    size = len(query.groups)
    groups = {}
    for partial in partials:
        for row in partial.rows:
            key = row[:size]
            if key not in groups:
                groups[key] = _create_accumulators(query)
            for accumulator, state in zip(groups[key], row[size:]):
                if state is not None:
                    accumulator.merge(state)
    if not query.groups and not groups:
        groups[()] = _create_accumulators(query)
    return [
        key + tuple(accumulator.compute() for accumulator in accumulators)
        for key, accumulators in groups.items()
    ]


def _describe_gaps(missing, cut):
    parts = []
    if missing:
        parts.append(f'no answer from {", ".join(missing)}')
    if cut:
        parts.append(
            f'more rows than can be carried at {", ".join(cut)}: '
            'narrow the query or group it'
        )
    return '; '.join(parts)


def encode_partial(partial):
    """Return a partial as JSON text, for a message to another instance.

    Examples
    --------
    >>> encode_partial(Partial('entry-1', [('up', 3)]))
    '["entry-1",[["up",3]],false]'
    """
    return json.dumps(
        [partial.instance, partial.rows, partial.cut],
        separators=(',', ':'),
        allow_nan=False,
    )


def decode_partial(text):
    """Return the partial that a JSON text stands for.

    Raises
    ------
    ValueError
        If the text is not a partial.

    Examples
    --------
    >>> decode_partial('["entry-1",[["up",3]],false]').rows
    [('up', 3)]
    """
    match json.loads(text):
        case [str() as instance, list() as rows, bool() as cut]:
            return Partial(instance, [tuple(row) for row in rows], cut)
    raise ValueError('not a partial answer')
