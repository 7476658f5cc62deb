"""Calls to plain services."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CallService:
    """Call a service once; answered by ``ServiceReturned``.

    Attributes
    ----------
    order : str
        Name of the order.
    address : str
        ``host:port`` of the worker.
    key : str
        Idempotency key, scoped to the organisation.
    body : str
    deadline_s : float
        Time after which the service must not start the call, seconds.
    """

    order: str
    address: str
    key: str
    body: str
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AskService:
    """Ask a service what became of a key; answered by ``ServiceTold``."""

    order: str
    address: str
    key: str
