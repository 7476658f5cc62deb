"""Purposes of the orders' calls to the platform."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimOrder:
    """Claim the row of an order.

    Attributes
    ----------
    order : str
    serial : int
        Number of the awaited answer, so that late ones are told apart.
    """

    order: str
    serial: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadOrder:
    """Read the row that another order has claimed."""

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
    """Release a claim whose order was certainly not run."""

    order: str
    serial: int
