"""Conditions compiled to functions over a row."""

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
    """Return a function that maps a value of a column to a sort key.

    None sorts after every value.
    """
    if column is not None and column.choices:
        places = {value: i for i, value in enumerate(column.choices)}
        return lambda value: (value is None, places.get(value, 0))
    return lambda value: (value is None, 0 if value is None else value)


def create_filter(query):
    """Return a function that tells whether a row belongs to a query.

    Notes
    -----
    Names are resolved once, so that a row costs one test for each
    comparison. A comparison with a missing value does not hold.
    """
    columns = _columns.TABLES[query.table]
    places = {column.name: i for i, column in enumerate(columns)}
    by_name = {column.name: column for column in columns}
    tests = []
    if query.where is not None:
        tests.append(_compile(query.where, places, by_name))
    if query.since_s is not None:
        age = places['age_s']
        tests.append(lambda row: row[age] <= query.since_s)
    return lambda row: all(test(row) for test in tests)


def _compile(condition, places, by_name):
    match condition:
        case _records.Conjunction(conditions):
            tests = [_compile(c, places, by_name) for c in conditions]
            return lambda row: all(test(row) for test in tests)
        case _records.Disjunction(conditions):
            tests = [_compile(c, places, by_name) for c in conditions]
            return lambda row: any(test(row) for test in tests)
        case _records.Negation(inner):
            test = _compile(inner, places, by_name)
            return lambda row: not test(row)
    place = places[condition.column]
    test = _compile_test(condition, by_name[condition.column])
    return lambda row: row[place] is not None and test(row[place])


def _compile_test(condition, column):
    """Return a function over one value that is not None."""
    key = create_sort_key(column)
    match condition:
        case _records.Comparison(_, symbol, value):
            compare, bound = _OPERATORS[symbol], key(value)
            return lambda item: compare(key(item), bound)
        case _records.Range(_, low, high):
            first, last = key(low), key(high)
            return lambda item: first <= key(item) <= last
        case _records.Membership(_, values):
            members = frozenset(values)
            return lambda item: item in members
        case _records.Match(_, pattern):
            fits = re.compile(fnmatch.translate(pattern)).match
            return lambda item: fits(item) is not None
