"""Tickets: a home's records of requests for its slots."""

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
        Instance to which the caller is connected.
    organisation : str
    rank : Rank
    model : str
    work : float
        Expected work, tokens.
    fingerprint : str
    grant_deadline : float
        Time after which it is denied if not yet granted, seconds.
    yields : int
        Number of times that the request was preempted.
    chain : tuple of Stage
        Empty while the request waits.
    requested_at, granted_at, last_listed_at : float
        When the slot was requested, granted, and last reported as held
        by its entry, seconds.
    charged_tokens : float
        Work charged to the organisation, tokens.
    speed : float
        Speed of its chain without other load, tokens per second.
    """

    request: str
    attempt: int
    entry: str
    organisation: str
    rank: _ranks.Rank
    model: str
    work: float
    fingerprint: str
    grant_deadline: float
    yields: int = 0
    chain: tuple = ()
    requested_at: float = 0.0
    granted_at: float = 0.0
    last_listed_at: float = 0.0
    charged_tokens: float = 0.0
    speed: float = 0.0


@dataclasses.dataclass(slots=True)
class GrantRate:
    """Recent rate of granted work of one rank.

    Attributes
    ----------
    work : float
        Decayed sum of the work of the grants, tokens.
    updated_at : float
        When ``work`` was last updated, seconds.
    since : float
        When the rank last had an empty queue, seconds.
    """

    work: float = 0.0
    updated_at: float = 0.0
    since: float = 0.0
