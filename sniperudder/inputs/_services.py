"""Results of calls to plain services."""

import dataclasses

from sniperudder.inputs import _transports


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceReturned:
    """A call of a service ended.

    Attributes
    ----------
    order : str
    status : int
        HTTP status; 0 if no whole answer was received.
    body : str
    delivery : Delivery or None
        None if a whole answer was received.
    address : str
        ``host:port`` of the worker.
    """

    order: str
    status: int = 0
    body: str = ''
    delivery: _transports.Delivery | None = None
    address: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class KeyLookupReturned:
    """Result of ``LookUpKey``, the lookup of an idempotency key.

    Attributes
    ----------
    order : str
    answered : bool
        Whether a whole answer was received.
    found : bool
        Whether the service has finished the call with this key.
    status : int
        HTTP status of the stored answer.
    body : str
        Body of the stored answer.
    started : bool
        Whether the service has started the call with this key; until
        the call ends, ``found`` is false.
    lookup_number : int
        Copied from the ``LookUpKey``.
    """

    order: str
    answered: bool
    found: bool = False
    status: int = 0
    body: str = ''
    started: bool = False
    lookup_number: int = 0
