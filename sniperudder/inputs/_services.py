"""Answers of plain services."""

import dataclasses

from sniperudder.inputs import _transports


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceReturned:
    """A call of a service ended.

    Attributes
    ----------
    order : str
    status : int
        HTTP status; 0 where no whole answer came.
    body : str
    delivery : Delivery or None
        None where a whole answer came.
    address : str
    """

    order: str
    status: int = 0
    body: str = ''
    delivery: _transports.Delivery | None = None
    address: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceTold:
    """A service was asked what became of a key.

    Attributes
    ----------
    order : str
    answered : bool
        Whether a whole answer came.
    found : bool
        Whether the service has run the key.
    status : int
        HTTP status of the stored answer.
    body : str
    started : bool
        Whether the service has begun to run the key; such a call is not
        found until it has ended.
    question : int
        As in the ``AskService`` that it answers.
    """

    order: str
    answered: bool
    found: bool = False
    status: int = 0
    body: str = ''
    started: bool = False
    question: int = 0
