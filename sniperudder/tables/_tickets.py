"""Tickets: what a home knows of the requests that want its slots."""

import dataclasses

from sniperudder.tables import _ranks


@dataclasses.dataclass(slots=True)
class Ticket:
    """A request that waits for a slot or holds one.

    Attributes
    ----------
    request : str
    attempt : int
    entry : str
        Instance that holds the caller.
    organisation : str
    rank : Rank
    model : str
    work : float
        Expected work, tokens.
    fingerprint : str
    latest : float
        When it is denied unless granted, seconds.
    yields : int
        How often the request gave way.
    chain : tuple of Stage
        Empty while it waits.
    asked_at, granted_at, seen_at : float
        When it was asked for, granted, and last held by its entry,
        seconds.
    charged : float
        Work charged to the organisation, tokens.
    speed : float
        Tokens a second that its chain gives alone.
    """

    request: str
    attempt: int
    entry: str
    organisation: str
    rank: _ranks.Rank
    model: str
    work: float
    fingerprint: str
    latest: float
    yields: int = 0
    chain: tuple = ()
    asked_at: float = 0.0
    granted_at: float = 0.0
    seen_at: float = 0.0
    charged: float = 0.0
    speed: float = 0.0


@dataclasses.dataclass(slots=True)
class GrantRate:
    """How much work was granted lately.

    Attributes
    ----------
    work : float
        Work of the grants, tokens, older ones counted less.
    at : float
        When ``work`` was last updated, seconds.
    since : float
        When the rank last had an empty queue, seconds.
    """

    work: float = 0.0
    at: float = 0.0
    since: float = 0.0
