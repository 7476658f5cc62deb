"""Calls to plain services, most of which may not be repeated."""

import dataclasses
import enum

from sniperudder.tables import _ranks


class OrderState(enum.Enum):
    """Where an order is in its life at this instance."""

    QUEUED = 'queued'
    CLAIMING = 'claiming'
    WAITING = 'waiting'
    CALLING = 'calling'
    ASKING = 'asking'
    STORING = 'storing'
    MARKING = 'marking'
    LISTENING = 'listening'
    RELEASING = 'releasing'


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
    holds : bool
        Whether the claim's row is known to be this order's.
    takes_over : bool
        Whether the claim replaces the claim of another order, which
        may have been run.
    claimed_at : float or None
        When the claim with this nonce was first requested, seconds.
    may_be_claimed : bool
        Whether a request for the claim may have taken effect.
    claim_lost : bool
        Whether such a request brought no answer.
    base_version : int
        Version of the row that the claim replaces; 0 for none.
    row_version : int
        Version of the claim's row as last seen.
    row_doubtful : bool
        Whether the row, as last seen, was in doubt.
    seen_at : float
        When that version was first seen, seconds.
    asked_at : float
        When the service was last asked for the key, seconds.
    open_calls : int
        Calls made that may have been run.
    unreported : int
        Calls made whose client has not reported yet.
    tries : int
        Calls made so far.
    address : str
        Worker of the last call.
    failures : int
        Failures in a row of the present step.
    pending : int
        Serial number of the answer that is awaited; 0 for none.
    overdue : bool
        Whether that answer has been given a last delay.
    serial : int
        Last serial number given out.
    result : str or None
    status : int
        HTTP status of the service's answer.
    result_at : float
        When the result was known, seconds.
    repeated : bool
        Whether the result is that of another order with the same key.
    answered : bool
        Whether the caller has its outcome already.
    left : bool
        Whether the caller has gone.
    ends_at : float
        When work in the background is given up, seconds.
    next_at : float
        When the next step is due, or an awaited answer is overdue,
        seconds.
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
    state: OrderState = OrderState.QUEUED
    holds: bool = False
    takes_over: bool = False
    claimed_at: float | None = None
    may_be_claimed: bool = False
    claim_lost: bool = False
    base_version: int = 0
    row_version: int = 0
    row_doubtful: bool = False
    seen_at: float = 0.0
    asked_at: float = float('-inf')
    open_calls: int = 0
    unreported: int = 0
    tries: int = 0
    address: str = ''
    failures: int = 0
    pending: int = 0
    overdue: bool = False
    serial: int = 0
    result: str | None = None
    status: int = 0
    result_at: float = 0.0
    repeated: bool = False
    answered: bool = False
    left: bool = False
    ends_at: float = float('inf')
    next_at: float = float('inf')
