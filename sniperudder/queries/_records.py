"""Typed queries, as returned by the parser."""

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
    """A column within a closed interval."""

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
    """A text column matched by a pattern with ``*`` and ``?``."""

    column: str
    pattern: str


@dataclasses.dataclass(frozen=True, slots=True)
class Negation:
    """The negation of a condition."""

    condition: 'Condition'


@dataclasses.dataclass(frozen=True, slots=True)
class Conjunction:
    """The logical "and" of conditions."""

    conditions: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class Disjunction:
    """The logical "or" of conditions."""

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
    """An aggregate function over the rows of a group.

    Attributes
    ----------
    function : str
        ``count``, ``sum``, ``min``, ``max``, ``mean``, or ``p``
        followed by a percentile, such as ``p95``.
    column : str or None
        None for ``count``.
    """

    function: str
    column: str | None = None

    @property
    def label(self):
        """Name of the result column, such as ``p95(wait_s)``."""
        return f'{self.function}({self.column or ""})'


@dataclasses.dataclass(frozen=True, slots=True)
class Ordering:
    """A sort criterion: a column of the result and a direction."""

    column: str
    descending: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """A query over one table of every instance.

    Attributes
    ----------
    table : str
    columns : tuple of str
        Columns of the result of a query without aggregates.
    aggregates : tuple of Aggregate
    groups : tuple of str
        Columns by which an aggregation groups the rows.
    where : Condition or None
    since_s : float or None
        Maximum age of a row, seconds.
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
        """Names of the result columns."""
        if not self.aggregates:
            return self.columns
        return self.groups + tuple(a.label for a in self.aggregates)
