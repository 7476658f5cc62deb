"""Compilation of conditions to predicates over rows."""

import fnmatch
import operator
import re

from sniperudder.queries import _columns
from sniperudder.queries import _records

_OPERATORS = {
    '=': operator.eq,
    '!=': operator.ne,
    '<': operator.lt,
    '<=': operator.le,
    '>': operator.gt,
    '>=': operator.ge,
}


def create_sort_key(column):
    """Return a function that maps values of a column to sort keys.

    Values of a ``CHOICE`` column sort in the order of its choices. None
    sorts after every value.
    """
    if column is not None and column.choices:
        positions = {value: i for i, value in enumerate(column.choices)}
        return lambda value: (value is None, positions.get(value, 0))
    return lambda value: (value is None, 0 if value is None else value)


def create_filter(query):
    """Return a predicate that selects the rows matched by a query.

    Notes
    -----
    Column names are resolved once at compilation, so evaluating a row
    costs one test per comparison. A comparison with a missing value is
    false.
    """
    columns = _columns.TABLES[query.table]
    index_by_name = {column.name: i for i, column in enumerate(columns)}
    columns_by_name = {column.name: column for column in columns}
    predicates = []
    if query.where is not None:
        predicates.append(
            _compile_condition(query.where, index_by_name, columns_by_name)
        )
    if query.since_s is not None:
        age_index = index_by_name['age_s']
        predicates.append(lambda row: row[age_index] <= query.since_s)
    return lambda row: all(predicate(row) for predicate in predicates)


def _compile_condition(condition, index_by_name, columns_by_name):
    match condition:
        case _records.Conjunction(conditions):
            predicates = [
                _compile_condition(c, index_by_name, columns_by_name)
                for c in conditions
            ]
            return lambda row: all(predicate(row) for predicate in predicates)
        case _records.Disjunction(conditions):
            predicates = [
                _compile_condition(c, index_by_name, columns_by_name)
                for c in conditions
            ]
            return lambda row: any(predicate(row) for predicate in predicates)
        case _records.Negation(inner):
            predicate = _compile_condition(
                inner, index_by_name, columns_by_name
            )
            return lambda row: not predicate(row)
    index = index_by_name[condition.column]
    predicate = _compile_value_predicate(
        condition, columns_by_name[condition.column]
    )
    return lambda row: row[index] is not None and predicate(row[index])


def _compile_value_predicate(condition, column):
    """Return a predicate over one value, which must not be None."""
    sort_key = create_sort_key(column)
    match condition:
        case _records.Comparison(_, symbol, value):
            compare, bound = _OPERATORS[symbol], sort_key(value)
            return lambda item: compare(sort_key(item), bound)
        case _records.Range(_, low, high):
            first, last = sort_key(low), sort_key(high)
            return lambda item: first <= sort_key(item) <= last
        case _records.Membership(_, values):
            members = frozenset(values)
            return lambda item: item in members
        case _records.Match(_, pattern):
            matches = re.compile(fnmatch.translate(pattern)).match
            return lambda item: matches(item) is not None
