"""Arrivals from callers."""

import dataclasses

from sniperudder.tables import Rank


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller asks a model for an answer.

    Attributes
    ----------
    request : str
        Identifier, unique in the fleet.
    organisation : str
    rank : Rank
    model, prompt : str
    max_tokens : int
    deadline_s : float or None
        Time allowed from now on, seconds; None takes the rank's.
    """

    request: str
    organisation: str
    rank: Rank
    model: str
    prompt: str
    max_tokens: int
    deadline_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class OrderArrived:
    """A caller calls a plain service.

    Attributes
    ----------
    order : str
        Identifier, unique in the fleet.
    organisation : str
    rank : Rank
    service : str
    key : str
        The caller's idempotency key, or one made for it.
    body : str
    deadline_s : float or None
    """

    order: str
    organisation: str
    rank: Rank
    service: str
    key: str
    body: str
    deadline_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller of a request or order has gone."""

    request: str
