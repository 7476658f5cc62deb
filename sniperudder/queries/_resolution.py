"""Checks a parsed query against the columns of its table."""

import dataclasses
import re
import typing

from sniperudder import errors
from sniperudder.queries import _columns
from sniperudder.queries import _problems
from sniperudder.queries import _records

_UNITS_S = {'ms': 0.001, 's': 1.0, 'm': 60.0, 'h': 3600.0, 'd': 86400.0}
_PERCENTILE = re.compile(r'p(\d{1,2}(\.\d+)?|100)')
_FUNCTIONS = ('sum', 'min', 'max', 'mean')
_AGE = 'age_s'


@dataclasses.dataclass(frozen=True, slots=True)
class DraftAggregate:
    """An aggregate whose names are still tokens."""

    function: typing.Any
    column: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class Clause:
    """A clause of a query, as parsed."""

    kind: str
    content: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class Draft:
    """A query whose names and values are still tokens."""

    table: typing.Any
    items: tuple
    clauses: tuple
    whole: bool = False


def resolve_query(draft):
    """Return the query of a draft, its names and values checked.

    Raises
    ------
    SyntaxProblem
        At the first name or value that does not fit.
    """
    if draft.table not in _columns.TABLES:
        raise _refuse(draft.table, _columns.TABLES)
    columns = _columns.get_columns(draft.table)
    clauses = _collect_clauses(draft)
    items = [_resolve_item(item, columns) for item in draft.items]
    aggregates = tuple(a for a in items if not isinstance(a, str))
    plain = tuple(name for name in items if isinstance(name, str))
    groups = tuple(
        _resolve_name(name, columns) for name in clauses.get('by', ())
    )
    _check_groups(draft, plain, aggregates, groups)
    shown = tuple(c.name for c in columns.values() if c.shown or draft.whole)
    query = _records.Query(
        table=str(draft.table),
        columns=() if aggregates else plain or shown,
        aggregates=aggregates,
        groups=groups,
        where=_resolve_optional(clauses.get('where'), columns),
        since_s=_resolve_since(draft.table, clauses.get('since'), columns),
        limit=_resolve_limit(clauses.get('limit')),
    )
    order = tuple(
        _resolve_ordering(ordering, columns, query.labels)
        for ordering in clauses.get('order', ())
    )
    return dataclasses.replace(query, order=order)


def _refuse(token, choices):
    return errors.SyntaxProblem(
        f'found "{token}", expected {_problems.describe_choice(choices)}',
        token.line,
        token.column,
    )


def _collect_clauses(draft):
    clauses = {}
    for clause in draft.clauses:
        if clause.kind in clauses:
            raise errors.SyntaxProblem(
                f'the clause "{clause.kind}" stands twice',
                draft.table.line,
                draft.table.column,
            )
        clauses[clause.kind] = clause.content
    return clauses


def _check_groups(draft, plain, aggregates, groups):
    if groups and not aggregates:
        raise _refuse(draft.table, ['an aggregate such as count() to group'])
    strangers = [
        item
        for item in draft.items
        if isinstance(item, str) and aggregates and item not in groups
    ]
    if strangers:
        raise _refuse(strangers[0], ['a column that "by" names'])


def _resolve_name(token, columns):
    if token not in columns:
        raise _refuse(token, columns)
    return str(token)


def _resolve_item(item, columns):
    if not isinstance(item, DraftAggregate):
        return _resolve_name(item, columns)
    function = item.function.lower()
    if function == 'count':
        if item.column is not None:
            raise _refuse(item.column, ['")"'])
        return _records.Aggregate('count')
    if function not in _FUNCTIONS and not _PERCENTILE.fullmatch(function):
        raise _refuse(item.function, ['count', *_FUNCTIONS, 'p95'])
    numeric = [c.name for c in columns.values() if c.kind in _columns.NUMERIC]
    if item.column is None:
        raise _refuse(item.function, [f'{function}({numeric[0]})'])
    if item.column not in numeric:
        raise _refuse(item.column, numeric)
    return _records.Aggregate(str(function), str(item.column))


def _resolve_ordering(ordering, columns, labels):
    item, direction = ordering
    token = item.function if isinstance(item, DraftAggregate) else item
    resolved = _resolve_item(item, columns)
    label = resolved if isinstance(resolved, str) else resolved.label
    if label not in labels:
        raise _refuse(token, labels)
    return _records.Ordering(label, direction == 'desc')


def _resolve_since(table, token, columns):
    if token is None:
        return None
    if _AGE not in columns:
        raise errors.SyntaxProblem(
            f'{table} have no age for "since"', token.line, token.column
        )
    return _read_duration(token)


def _resolve_limit(token):
    if token is None:
        return None
    if int(token) < 1:
        raise _refuse(token, ['a whole number above 0'])
    return int(token)


def _resolve_optional(condition, columns):
    return condition and _resolve_condition(condition, columns)


def _resolve_condition(condition, columns):
    return _RESOLVERS[type(condition)](condition, columns)


def _resolve_all(condition, columns):
    return type(condition)(
        tuple(_resolve_condition(c, columns) for c in condition.conditions)
    )


def _resolve_negation(condition, columns):
    return _records.Negation(_resolve_condition(condition.condition, columns))


def _resolve_comparison(condition, columns):
    name = _resolve_name(condition.column, columns)
    value = _read_value(condition.value, columns[name])
    return _records.Comparison(name, condition.operator, value)


def _resolve_range(condition, columns):
    name = _resolve_name(condition.column, columns)
    low = _read_value(condition.low, columns[name])
    high = _read_value(condition.high, columns[name])
    return _records.Range(name, low, high)


def _resolve_membership(condition, columns):
    name = _resolve_name(condition.column, columns)
    values = tuple(
        _read_value(token, columns[name]) for token in condition.values
    )
    return _records.Membership(name, values)


def _resolve_match(condition, columns):
    name = _resolve_name(condition.column, columns)
    if columns[name].kind not in (_columns.Kind.TEXT, _columns.Kind.CHOICE):
        texts = [
            c.name for c in columns.values() if c.kind is _columns.Kind.TEXT
        ]
        raise _refuse(condition.column, texts)
    return _records.Match(name, str(condition.pattern))


_RESOLVERS = {
    _records.Conjunction: _resolve_all,
    _records.Disjunction: _resolve_all,
    _records.Negation: _resolve_negation,
    _records.Comparison: _resolve_comparison,
    _records.Range: _resolve_range,
    _records.Membership: _resolve_membership,
    _records.Match: _resolve_match,
}


def _read_duration(token):
    number, unit = re.fullmatch(r'([\d.]+)([a-z]+)', token).groups()
    return float(number) * _UNITS_S[unit]


def _read_value(token, column):
    """Return a token's value in the type of a column."""
    return _READERS[column.kind](token, column)


def _read_text(token, column):
    if token.type == 'STRING':
        return str(token[1:-1])
    return str(token)


def _read_choice(token, column):
    value = _read_text(token, column)
    if value not in column.choices:
        raise _refuse(token, column.choices)
    return value


def _read_number(token, column):
    if token.type in ('INTEGER', 'DECIMAL'):
        return float(token)
    if token.type == 'PERCENT':
        return float(token[:-1]) / 100
    raise _refuse(token, ['a number'])


def _read_integer(token, column):
    if token.type != 'INTEGER':
        raise _refuse(token, ['a whole number'])
    return int(token)


def _read_seconds(token, column):
    if token.type == 'DURATION':
        return _read_duration(token)
    if token.type in ('INTEGER', 'DECIMAL'):
        return float(token)
    raise _refuse(token, ['a duration such as 5m'])


def _read_flag(token, column):
    if token.lower() not in ('true', 'false'):
        raise _refuse(token, ['true', 'false'])
    return token.lower() == 'true'


_READERS = {
    _columns.Kind.TEXT: _read_text,
    _columns.Kind.CHOICE: _read_choice,
    _columns.Kind.NUMBER: _read_number,
    _columns.Kind.INTEGER: _read_integer,
    _columns.Kind.SECONDS: _read_seconds,
    _columns.Kind.FLAG: _read_flag,
}
