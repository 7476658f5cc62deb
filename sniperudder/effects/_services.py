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
    start_by : float
        Time on the instance's clock after which the client must not
        send the call (it then reports ``NOT_SENT``) and the service
        must not start it; the client passes it on as wall-clock time.
        A point in time and not a length, since the process may be
        frozen before the call is sent.
    """

    order: str
    address: str
    key: str
    body: str
    start_by: float


@dataclasses.dataclass(frozen=True, slots=True)
class AskService:
    """Ask a service what became of a key; answered by ``ServiceTold``.

    Attributes
    ----------
    order : str
    address : str
    key : str
    question : int
        Number that the answer bears, so that a late one is told apart.
    """

    order: str
    address: str
    key: str
    question: int = 0
