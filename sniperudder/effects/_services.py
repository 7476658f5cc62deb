"""Calls to plain services, and lookups of keys."""

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
        Time on the instance's clock, seconds, after which the client
        must not send the call (it then reports ``NOT_SENT``) and the
        service must not start it. The client passes it on as wall-clock
        time. It is a point in time instead of a duration because the
        process may be suspended before the call is sent.
    """

    order: str
    address: str
    key: str
    body: str
    start_by: float


@dataclasses.dataclass(frozen=True, slots=True)
class LookUpKey:
    """Look up the result of a key; answered by ``KeyLookupReturned``.

    Attributes
    ----------
    order : str
        Name of the order.
    address : str
        ``host:port`` of the worker.
    key : str
        Idempotency key, scoped to the organisation.
    lookup_number : int
        Number that is returned with the answer, to identify late ones.
    """

    order: str
    address: str
    key: str
    lookup_number: int = 0
