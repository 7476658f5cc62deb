"""Calls to plain services, most of which may not be repeated."""

import dataclasses
import enum

from sniperudder.tables import _ranks


class OrderState(enum.Enum):
    """Where an order is in its life at this instance."""

    CLAIMING = 'claiming'
    READING = 'reading'
    CALLING = 'calling'
    ASKING = 'asking'
    STORING = 'storing'
    WAITING = 'waiting'
    RELEASING = 'releasing'
    DONE = 'done'


@dataclasses.dataclass(slots=True)
class Order:
    """A call to a plain service on behalf of a caller.

    Attributes
    ----------
    name : str
        Identifier of the request, unique in the fleet.
    organisation : str
    rank : Rank
    service : str
    key : str
        Idempotency key, scoped to organisation and service.
    body : str
    digest : str
        Digest of the body.
    nonce : str
        Marks this instance's claim.
    arrived_at, deadline : float
        Seconds on the instance's clock.
    state : OrderState
    claimed_at : float or None
        When the claim that this order holds was requested, seconds.
    row_version : int
        Version of the claim's row as last seen.
    tries : int
        Calls made so far.
    result : str or None
    status : int
        HTTP status of the service's answer.
    answered : bool
        Whether the caller has its outcome already.
    next_at : float
        When the next step is due, seconds; infinity while waiting for
        an answer.
    """

    name: str
    organisation: str
    rank: _ranks.Rank
    service: str
    key: str
    body: str
    digest: str
    nonce: str
    arrived_at: float
    deadline: float
    state: OrderState = OrderState.CLAIMING
    claimed_at: float | None = None
    row_version: int = 0
    tries: int = 0
    result: str | None = None
    status: int = 0
    answered: bool = False
    next_at: float = float('inf')
