"""Distributed evaluation of queries: partial results and their merge."""

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
    """The partial result of a query at one instance.

    Attributes
    ----------
    instance : str
    rows : list of tuple
        Result rows; for a query with aggregates, one row per group: the
        group key followed by the exported states of its accumulators.
    truncated : bool
        Whether the rows or groups were truncated to the size limit.
    """

    instance: str
    rows: list
    truncated: bool = False


@dataclasses.dataclass(slots=True)
class Result:
    """The combined result of a query over the fleet.

    Attributes
    ----------
    columns : tuple of str
    rows : list of tuple
    missing : tuple of str
        Instances that did not answer.
    detail : str
        Notes for the reader, such as missing instances or truncated rows.
    """

    columns: tuple
    rows: list
    missing: tuple = ()
    detail: str = ''


def evaluate_partial(T, query, now):
    """Evaluate a query over the tables of this instance.

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
    Each row of the table is generated and tested once. Without
    aggregates, at most `limit` rows are kept, in O(n log limit) time. With
    aggregates, memory grows with the number of groups, not of rows.

    Examples
    --------
    >>> from sniperudder import queries, tables
    >>> T = tables.create_tables('entry-1', 'milan')
    >>> query = queries.parse_query('show config')
    >>> evaluate_partial(T, query, 0.0).rows
    []
    """
    matches = _conditions.create_filter(query)
    rows = filter(matches, _rows.list_rows(T, query.table, now))
    if query.aggregates:
        return _group_rows(T.me, query, rows)
    indices = _find_indices(query.table, query.columns)
    projected = (tuple(row[i] for i in indices) for row in rows)
    return _create_partial(T.me, query, projected)


def _find_indices(table, names):
    columns = [column.name for column in _columns.TABLES[table]]
    return [columns.index(name) for name in names]


def _create_partial(instance, query, rows):
    limit = min(query.limit or _MAX_ROWS, _MAX_ROWS)
    selected = _select_first(query, rows, limit + 1)
    limited_by_query = query.limit is not None and query.limit <= _MAX_ROWS
    truncated = len(selected) > limit and not limited_by_query
    return Partial(instance, selected[:limit], truncated)


def _select_first(query, rows, count):
    """Return the first `count` rows in the sort order of the query."""
    if not query.order:
        return [row for row, _ in zip(rows, range(count))]
    return heapq.nsmallest(count, rows, key=_create_row_key(query))


def _create_row_key(query):
    columns = _columns.get_columns(query.table)
    key_parts = [
        (
            query.labels.index(ordering.column),
            _conditions.create_sort_key(columns.get(ordering.column)),
            ordering.descending,
        )
        for ordering in query.order
    ]

    def compute_key(row):
        return [
            _DescendingKey(key(row[i])) if descending else key(row[i])
            for i, key, descending in key_parts
        ]

    return compute_key


class _DescendingKey:
    """A sort key with inverted comparison, for descending order."""

    __slots__ = ('key',)

    def __init__(self, key):
        self.key = key

    def __lt__(self, other):
        return other.key < self.key

    def __eq__(self, other):
        return other.key == self.key


def _group_rows(instance, query, rows):
    group_indices = _find_indices(query.table, query.groups)
    value_indices = [
        _find_indices(query.table, [a.column])[0] if a.column else 0
        for a in query.aggregates
    ]
    groups = {}
    for row in rows:
        key = tuple(row[i] for i in group_indices)
        accumulators = groups.get(key)
        if accumulators is None:
            accumulators = groups[key] = _create_accumulators(query)
        for accumulator, index in zip(accumulators, value_indices):
            accumulator.add(row[index])
    truncated = len(groups) > _MAX_GROUPS
    exported = [
        key + tuple(accumulator.export() for accumulator in accumulators)
        for key, accumulators in list(groups.items())[:_MAX_GROUPS]
    ]
    return Partial(instance, exported, truncated)


def _create_accumulators(query):
    return [
        _accumulators.create_accumulator(a.function) for a in query.aggregates
    ]


def combine_partials(query, partials, missing=()):
    """Combine the partial results of all instances.

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
    Linear in the total number of rows or groups of the partial results,
    plus the sort of the combined rows.
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
    truncated = sorted(
        partial.instance for partial in partials if partial.truncated
    )
    detail = _describe_omissions(missing, truncated)
    return Result(query.labels, rows, missing, detail)


def _merge_groups(query, partials):
    group_width = len(query.groups)
    groups = {}
    for partial in partials:
        for row in partial.rows:
            key = row[:group_width]
            if key not in groups:
                groups[key] = _create_accumulators(query)
            for accumulator, state in zip(groups[key], row[group_width:]):
                if state is not None:
                    accumulator.merge(state)
    if not query.groups and not groups:
        groups[()] = _create_accumulators(query)
    return [
        key + tuple(accumulator.compute() for accumulator in accumulators)
        for key, accumulators in groups.items()
    ]


def _describe_omissions(missing, truncated):
    notes = []
    if missing:
        notes.append(f'no answer from {", ".join(missing)}')
    if truncated:
        notes.append(
            f'more rows than can be carried at {", ".join(truncated)}: '
            'narrow the query or group it'
        )
    return '; '.join(notes)


def encode_partial(partial):
    """Encode a partial result as JSON, to be sent to another instance.

    Examples
    --------
    >>> encode_partial(Partial('entry-1', [('up', 3)]))
    '["entry-1",[["up",3]],false]'
    """
    return json.dumps(
        [partial.instance, partial.rows, partial.truncated],
        separators=(',', ':'),
        allow_nan=False,
    )


def decode_partial(text):
    """Decode a partial result from JSON.

    Raises
    ------
    ValueError
        If the text is not an encoded partial result.

    Examples
    --------
    >>> decode_partial('["entry-1",[["up",3]],false]').rows
    [('up', 3)]
    """
    match json.loads(text):
        case [str() as instance, list() as rows, bool() as truncated]:
            return Partial(instance, [tuple(row) for row in rows], truncated)
    raise ValueError(
        'malformed partial result: expected [instance, rows, cut]'
    )
