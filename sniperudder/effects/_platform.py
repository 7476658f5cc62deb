"""Calls to the platform's table service and instance list."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row as it stands in the table service.

    Attributes
    ----------
    key : str
    value : str
    version : int
        Grows with each write of the row, from 1.
    """

    key: str
    value: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """A row must stand at a version; 0 means that it is absent."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A row gets a value; None deletes it."""

    key: str
    value: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Transact:
    """One serialisable transaction; answered by ``TransactReturned``.

    Attributes
    ----------
    purpose : object
        Typed record that comes back with the answer.
    conditions : tuple of Condition
        All must hold, else nothing is written.
    writes : tuple of Write
    reads : tuple of str
        Keys whose rows are returned, as they stand after the writes.
    """

    purpose: typing.Any
    conditions: tuple = ()
    writes: tuple = ()
    reads: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Scan:
    """Read rows in key order; may lag; answered by ``ScanReturned``.

    Attributes
    ----------
    purpose : object
    prefix : str
    after : str
        Rows with keys above this one.
    limit : int
        Largest number of rows.
    """

    purpose: typing.Any
    prefix: str
    after: str
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class ListInstances:
    """Read the platform's list; answered by ``InstancesListed``."""
