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
        Time left until ``start_by`` when the effect was made, seconds.
    start_by : float
        Time on the instance's clock after which the client must not
        send the call (it then reports ``NOT_SENT``) and the service
        must not start it; the client passes it on as wall-clock time.
    """

    order: str
    address: str
    key: str
    body: str
    deadline_s: float
    start_by: float = float('inf')


@dataclasses.dataclass(frozen=True, slots=True)
class AskService:
    """Ask a service what became of a key; answered by ``ServiceTold``."""

    order: str
    address: str
    key: str
