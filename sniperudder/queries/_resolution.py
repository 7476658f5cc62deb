"""Resolution of a parsed query against the columns of its table."""

import dataclasses
import re
import typing

from sniperudder import errors
from sniperudder.queries import _columns
from sniperudder.queries import _records
from sniperudder.queries import _syntax_errors

_SECONDS_PER_UNIT = {
    'ms': 0.001,
    's': 1.0,
    'm': 60.0,
    'h': 3600.0,
    'd': 86400.0,
}
_PERCENTILE_PATTERN = re.compile(r'p(\d{1,2}(\.\d+)?|100)')
_NUMERIC_FUNCTIONS = ('sum', 'min', 'max', 'mean')
_AGE_COLUMN = 'age_s'


@dataclasses.dataclass(frozen=True, slots=True)
class UnresolvedAggregate:
    """An aggregate whose function and column are still tokens."""

    function: typing.Any
    column: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class Clause:
    """A clause of a query, as parsed."""

    kind: str
    content: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class UnresolvedQuery:
    """A query whose names and values are still tokens."""

    table: typing.Any
    items: tuple
    clauses: tuple
    all_columns: bool = False


def resolve_query(unresolved):
    """Check the names and values of a parsed query and convert them.

    Raises
    ------
    GrammarError
        At the first name or value that is invalid.
    """
    if unresolved.table not in _columns.TABLES:
        raise _create_unexpected_token_error(unresolved.table, _columns.TABLES)
    columns = _columns.get_columns(unresolved.table)
    clauses = _collect_clauses(unresolved)
    items = [_resolve_item(item, columns) for item in unresolved.items]
    aggregates = tuple(a for a in items if not isinstance(a, str))
    plain_columns = tuple(name for name in items if isinstance(name, str))
    groups = tuple(
        _resolve_name(name, columns) for name in clauses.get('by', ())
    )
    _check_groups(unresolved, plain_columns, aggregates, groups)
    shown_columns = tuple(
        c.name
        for c in columns.values()
        if c.shown_by_default or unresolved.all_columns
    )
    query = _records.Query(
        table=str(unresolved.table),
        columns=() if aggregates else plain_columns or shown_columns,
        aggregates=aggregates,
        groups=groups,
        where=_resolve_optional(clauses.get('where'), columns),
        since_s=_resolve_since(
            unresolved.table, clauses.get('since'), columns
        ),
        limit=_resolve_limit(clauses.get('limit')),
    )
    order = tuple(
        _resolve_ordering(ordering, columns, query.labels)
        for ordering in clauses.get('order', ())
    )
    return dataclasses.replace(query, order=order)


def _create_unexpected_token_error(token, choices):
    return errors.GrammarError(
        f'found "{token}",'
        f' expected {_syntax_errors.join_alternatives(choices)}',
        token.line,
        token.column,
    )


def _collect_clauses(unresolved):
    clauses = {}
    for clause in unresolved.clauses:
        if clause.kind in clauses:
            raise errors.GrammarError(
                f'the clause "{clause.kind}" stands twice',
                unresolved.table.line,
                unresolved.table.column,
            )
        clauses[clause.kind] = clause.content
    return clauses


def _check_groups(unresolved, plain_columns, aggregates, groups):
    if groups and not aggregates:
        raise _create_unexpected_token_error(
            unresolved.table, ['an aggregate such as count() to group']
        )
    ungrouped = [
        item
        for item in unresolved.items
        if isinstance(item, str) and aggregates and item not in groups
    ]
    if ungrouped:
        raise _create_unexpected_token_error(
            ungrouped[0], ['a column that "by" names']
        )


def _resolve_name(token, columns):
    if token not in columns:
        raise _create_unexpected_token_error(token, columns)
    return str(token)


def _resolve_item(item, columns):
    if not isinstance(item, UnresolvedAggregate):
        return _resolve_name(item, columns)
    function = item.function.lower()
    if function == 'count':
        if item.column is not None:
            raise _create_unexpected_token_error(item.column, ['")"'])
        return _records.Aggregate('count')
    if (
        function not in _NUMERIC_FUNCTIONS
        and not _PERCENTILE_PATTERN.fullmatch(function)
    ):
        raise _create_unexpected_token_error(
            item.function, ['count', *_NUMERIC_FUNCTIONS, 'p95']
        )
    numeric = [
        c.name for c in columns.values() if c.kind in _columns.NUMERIC_KINDS
    ]
    if item.column is None:
        raise _create_unexpected_token_error(
            item.function, [f'{function}({numeric[0]})']
        )
    if item.column not in numeric:
        raise _create_unexpected_token_error(item.column, numeric)
    return _records.Aggregate(str(function), str(item.column))


def _resolve_ordering(ordering, columns, labels):
    item, direction = ordering
    token = item.function if isinstance(item, UnresolvedAggregate) else item
    resolved = _resolve_item(item, columns)
    label = resolved if isinstance(resolved, str) else resolved.label
    if label not in labels:
        raise _create_unexpected_token_error(token, labels)
    return _records.Ordering(label, direction == 'desc')


def _resolve_since(table, token, columns):
    if token is None:
        return None
    if _AGE_COLUMN not in columns:
        raise errors.GrammarError(
            f'{table} have no age for "since"', token.line, token.column
        )
    return _parse_duration(token)


def _resolve_limit(token):
    if token is None:
        return None
    if int(token) < 1:
        raise _create_unexpected_token_error(token, ['a whole number above 0'])
    return int(token)


def _resolve_optional(condition, columns):
    return condition and _resolve_condition(condition, columns)


def _resolve_condition(condition, columns):
    return _RESOLVERS[type(condition)](condition, columns)


def _resolve_compound(condition, columns):
    return type(condition)(
        tuple(_resolve_condition(c, columns) for c in condition.conditions)
    )


def _resolve_negation(condition, columns):
    return _records.Negation(_resolve_condition(condition.condition, columns))


def _resolve_comparison(condition, columns):
    name = _resolve_name(condition.column, columns)
    value = _parse_value(condition.value, columns[name])
    return _records.Comparison(name, condition.operator, value)


def _resolve_range(condition, columns):
    name = _resolve_name(condition.column, columns)
    low = _parse_value(condition.low, columns[name])
    high = _parse_value(condition.high, columns[name])
    return _records.Range(name, low, high)


def _resolve_membership(condition, columns):
    name = _resolve_name(condition.column, columns)
    values = tuple(
        _parse_value(token, columns[name]) for token in condition.values
    )
    return _records.Membership(name, values)


def _resolve_match(condition, columns):
    name = _resolve_name(condition.column, columns)
    if columns[name].kind not in (
        _columns.ColumnKind.TEXT,
        _columns.ColumnKind.CHOICE,
    ):
        text_columns = [
            c.name
            for c in columns.values()
            if c.kind is _columns.ColumnKind.TEXT
        ]
        raise _create_unexpected_token_error(condition.column, text_columns)
    return _records.Match(name, str(condition.pattern))


_RESOLVERS = {
    _records.Conjunction: _resolve_compound,
    _records.Disjunction: _resolve_compound,
    _records.Negation: _resolve_negation,
    _records.Comparison: _resolve_comparison,
    _records.Range: _resolve_range,
    _records.Membership: _resolve_membership,
    _records.Match: _resolve_match,
}


def _parse_duration(token):
    number, unit = re.fullmatch(r'([\d.]+)([a-z]+)', token).groups()
    return float(number) * _SECONDS_PER_UNIT[unit]


def _parse_value(token, column):
    """Convert a token to the type of a column."""
    return _VALUE_PARSERS[column.kind](token, column)


def _parse_text(token, column):
    if token.type == 'STRING':
        return str(token[1:-1])
    return str(token)


def _parse_choice(token, column):
    value = _parse_text(token, column)
    if value not in column.choices:
        raise _create_unexpected_token_error(token, column.choices)
    return value


def _parse_number(token, column):
    if token.type in ('INTEGER', 'DECIMAL'):
        return float(token)
    if token.type == 'PERCENT':
        return float(token[:-1]) / 100
    raise _create_unexpected_token_error(token, ['a number'])


def _parse_integer(token, column):
    if token.type != 'INTEGER':
        raise _create_unexpected_token_error(token, ['a whole number'])
    return int(token)


def _parse_seconds(token, column):
    if token.type == 'DURATION':
        return _parse_duration(token)
    if token.type in ('INTEGER', 'DECIMAL'):
        return float(token)
    raise _create_unexpected_token_error(token, ['a duration such as 5m'])


def _parse_flag(token, column):
    if token.lower() not in ('true', 'false'):
        raise _create_unexpected_token_error(token, ['true', 'false'])
    return token.lower() == 'true'


_VALUE_PARSERS = {
    _columns.ColumnKind.TEXT: _parse_text,
    _columns.ColumnKind.CHOICE: _parse_choice,
    _columns.ColumnKind.NUMBER: _parse_number,
    _columns.ColumnKind.INTEGER: _parse_integer,
    _columns.ColumnKind.SECONDS: _parse_seconds,
    _columns.ColumnKind.FLAG: _parse_flag,
}
