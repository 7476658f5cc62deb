"""Purposes of the transactions that orders send to the platform."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimOrder:
    """Claim the row of an order.

    Attributes
    ----------
    order : str
    serial : int
        Serial number of the expected reply; late replies have another.
    """

    order: str
    serial: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadOrder:
    """Read a row that another order has claimed."""

    order: str
    serial: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreOrder:
    """Store the result of an order."""

    order: str
    serial: int


@dataclasses.dataclass(frozen=True, slots=True)
class MarkOrder:
    """Record that an order is in doubt."""

    order: str
    serial: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseOrder:
    """Release a claim whose order certainly has not run."""

    order: str
    serial: int


@dataclasses.dataclass(frozen=True, slots=True)
class CheckOrder:
    """Check or write again a row that the platform may have lost.

    Attributes
    ----------
    key : str
        Key of the row.
    is_write : bool
    """

    key: str
    is_write: bool = False
