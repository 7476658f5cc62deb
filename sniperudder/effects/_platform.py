"""Calls to the platform's table service and instance list."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of the table service.

    Attributes
    ----------
    key : str
    value : str
    version : int
        Number that grows with each write of the row, from 1.
    """

    key: str
    value: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """Require that a row has a version; 0 requires that it is absent."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Set the value of a row; None deletes the row."""

    key: str
    value: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Transact:
    """One serialisable transaction; answered by ``TransactReturned``.

    Attributes
    ----------
    purpose : object
        Typed record that is returned with the result.
    conditions : tuple of Condition
        All must hold, otherwise nothing is written.
    writes : tuple of Write
    reads : tuple of str
        Keys of the rows to return, as they are after the writes.
    """

    purpose: typing.Any
    conditions: tuple = ()
    writes: tuple = ()
    reads: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Scan:
    """Read rows in order of keys; answered by ``ScanReturned``.

    The result may lag behind committed writes.

    Attributes
    ----------
    purpose : object
        Typed record that is returned with the result.
    prefix : str
        Prefix of the keys.
    after : str
        Exclusive lower bound of the keys.
    limit : int
        Largest number of rows.
    """

    purpose: typing.Any
    prefix: str
    after: str
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class ListInstances:
    """Read the list of instances; answered by ``InstancesListed``."""
