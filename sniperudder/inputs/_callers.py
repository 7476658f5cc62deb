"""Inputs from callers."""

import dataclasses

from sniperudder.tables import Rank


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller requested an answer of a model.

    Attributes
    ----------
    request : str
        Identifier, unique in the fleet.
    organisation : str
    rank : Rank
    model, prompt : str
    max_tokens : int
    deadline_s : float or None
        Time allowed from arrival, seconds; the rank's default if None.
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
    """A caller requested a call to a plain service.

    Attributes
    ----------
    order : str
        Identifier, unique in the fleet.
    organisation : str
    rank : Rank
    service : str
    key : str
        The caller's idempotency key, or a generated one.
    body : str
    deadline_s : float or None
        Time allowed from arrival, seconds; the rank's default if None.
    """

    order: str
    organisation: str
    rank: Rank
    service: str
    key: str
    body: str
    deadline_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller of a request or order disconnected."""

    request: str
