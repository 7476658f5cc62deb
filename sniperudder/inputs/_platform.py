"""Answers of the platform."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect.

    Attributes
    ----------
    rows : tuple of Row
        The rows of its reads that exist, as they stand after it.
    """

    rows: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Conflicted:
    """A condition did not hold and nothing was written.

    Attributes
    ----------
    rows : tuple of Row
        The rows of its conditions and reads that exist.
    """

    rows: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """No answer came; the transaction may have taken effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """The platform was not reached; nothing took effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class TransactReturned:
    """Answer to ``Transact``.

    Attributes
    ----------
    purpose : object
        As given.
    outcome : Committed, Conflicted, Unknown or NotSent
    sent_at : float
        When the call was made, seconds.
    """

    purpose: typing.Any
    outcome: Committed | Conflicted | Unknown | NotSent
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ScanReturned:
    """Answer to ``Scan``; ``rows`` is None where none came."""

    purpose: typing.Any
    rows: tuple | None
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """One entry of the platform's list.

    Attributes
    ----------
    name : str
    address : str
        ``host:port`` of its peer interface.
    data_centre : str
    leaving : bool
    """

    name: str
    address: str
    data_centre: str
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesListed:
    """Answer to ``ListInstances``; None where none came."""

    instances: tuple | None
