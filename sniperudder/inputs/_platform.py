"""Results of calls to the platform."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect.

    Attributes
    ----------
    rows : tuple of Row
        Existing rows among its reads, as they are after its writes.
    era : int
        Number that rises each time the platform is restored from a copy.
    """

    rows: tuple = ()
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Conflicted:
    """A condition did not hold and nothing was written.

    Attributes
    ----------
    rows : tuple of Row
        Existing rows among its conditions and reads.
    era : int
        Number that rises each time the platform is restored from a copy.
    """

    rows: tuple = ()
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The transaction got no answer; it may have taken effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """The transaction did not reach the platform; it had no effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class TransactReturned:
    """Result of ``Transact``.

    Attributes
    ----------
    purpose : object
        Copied from the ``Transact``.
    outcome : Committed, Conflicted, Unknown or NotSent
    sent_at : float
        When the call was made, seconds.
    """

    purpose: typing.Any
    outcome: Committed | Conflicted | Unknown | NotSent
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ScanReturned:
    """Result of ``Scan``; ``rows`` is None if there was no answer."""

    purpose: typing.Any
    rows: tuple | None
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """One instance in the platform's list.

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
    """Result of ``ListInstances``; None if there was no answer."""

    instances: tuple | None
