"""Typed queries, as the parser makes them."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Comparison:
    """A column compared with a value by ``= != < <= > >=``."""

    column: str
    operator: str
    value: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class Range:
    """A column between two values, both included."""

    column: str
    low: typing.Any
    high: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """A column that equals one of several values."""

    column: str
    values: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class Match:
    """A text column that fits a pattern with ``*`` and ``?``."""

    column: str
    pattern: str


@dataclasses.dataclass(frozen=True, slots=True)
class Negation:
    """A condition that does not hold."""

    condition: 'Condition'


@dataclasses.dataclass(frozen=True, slots=True)
class Conjunction:
    """Conditions that all hold."""

    conditions: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class Disjunction:
    """Conditions of which at least one holds."""

    conditions: tuple


Condition = (
    Comparison
    | Range
    | Membership
    | Match
    | Negation
    | Conjunction
    | Disjunction
)


@dataclasses.dataclass(frozen=True, slots=True)
class Aggregate:
    """A function over the rows of a group.

    Attributes
    ----------
    function : str
        ``count``, ``sum``, ``min``, ``max``, ``mean`` or ``p`` with a
        percentage, such as ``p95``.
    column : str or None
        None for ``count``.
    """

    function: str
    column: str | None = None

    @property
    def label(self):
        """Name of the result's column, such as ``p95(wait_s)``."""
        return f'{self.function}({self.column or ""})'


@dataclasses.dataclass(frozen=True, slots=True)
class Ordering:
    """A column of the result to sort by."""

    column: str
    descending: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """A question to one table of every instance.

    Attributes
    ----------
    table : str
    columns : tuple of str
        Columns to show where nothing is aggregated.
    aggregates : tuple of Aggregate
    groups : tuple of str
        Columns that group the rows of an aggregation.
    where : Condition or None
    since_s : float or None
        Largest age of a row, seconds.
    order : tuple of Ordering
    limit : int or None
    """

    table: str
    columns: tuple = ()
    aggregates: tuple = ()
    groups: tuple = ()
    where: Condition | None = None
    since_s: float | None = None
    order: tuple = ()
    limit: int | None = None

    @property
    def labels(self):
        """Names of the result's columns."""
        if not self.aggregates:
            return self.columns
        return self.groups + tuple(a.label for a in self.aggregates)
