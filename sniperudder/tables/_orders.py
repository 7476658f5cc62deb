"""Orders: calls to plain services, most of which must not be repeated."""

import dataclasses
import enum

from sniperudder.tables import _ranks


class OrderState(enum.Enum):
    """State of an order at this instance.

    Attributes
    ----------
    QUEUED
        Waiting for capacity of its service.
    CLAIMING
        Writing the claim of the idempotency key to the row.
    WAITING
        Polling the row, which another order has claimed.
    CALLING
        Calling the service.
    ASKING
        Looking up the key at the service.
    STORING
        Writing the result to the row.
    MARKING
        Writing to the row that the order is in doubt.
    LISTENING
        Waiting for the client's late report of a call.
    RELEASING
        Writing to the row that the claim is released.
    """

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
        Distinguishes this instance's claim from others of the same key.
    arrived_at, deadline : float
        Seconds on the instance's clock.
    state : OrderState
    owns_claim : bool
        Whether this order is known to own the claim.
    takes_over : bool
        Whether the claim replaces the claim of another order, which
        may have been run.
    claimed_at : float or None
        When the claim with this nonce was first requested, seconds.
    claim_possible : bool
        Whether a request for the claim may have taken effect.
    claim_lost : bool
        Whether a request for the claim got no answer.
    base_version : int
        Version of the row that the claim replaces; 0 for none.
    row_version : int
        Version of the claim's row when last read.
    row_in_doubt : bool
        Whether the row, when last read, was marked as in doubt.
    seen_at : float
        When ``row_version`` was first read, seconds.
    lookup_sent_at : float
        When the key was last looked up at the service, seconds.
    open_calls : int
        Number of calls that may have been run.
    unreported_calls : int
        Number of calls whose client has not yet reported an end.
    tries : int
        Number of calls made so far.
    address : str
        Worker of the last call.
    failures : int
        Consecutive failures of the current step.
    pending : int
        Serial number of the answer that is awaited; 0 for none.
    wait_extended : bool
        Whether the wait for that answer has been extended for the last
        time.
    serial : int
        Last serial number assigned.
    result : str or None
    status : int
        HTTP status of the service's answer.
    result_at : float
        When the result became known, seconds.
    repeated : bool
        Whether the result is that of another order with the same key.
    answered : bool
        Whether the outcome has been given to the caller.
    left : bool
        Whether the caller has disconnected.
    background_deadline : float
        When work in the background is abandoned, seconds.
    next_action_at : float
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
    owns_claim: bool = False
    takes_over: bool = False
    claimed_at: float | None = None
    claim_possible: bool = False
    claim_lost: bool = False
    base_version: int = 0
    row_version: int = 0
    row_in_doubt: bool = False
    seen_at: float = 0.0
    lookup_sent_at: float = float('-inf')
    open_calls: int = 0
    unreported_calls: int = 0
    tries: int = 0
    address: str = ''
    failures: int = 0
    pending: int = 0
    wait_extended: bool = False
    serial: int = 0
    result: str | None = None
    status: int = 0
    result_at: float = 0.0
    repeated: bool = False
    answered: bool = False
    left: bool = False
    background_deadline: float = float('inf')
    next_action_at: float = float('inf')


@dataclasses.dataclass(slots=True)
class WrittenOrder:
    """A row of an order that this instance wrote.

    Attributes
    ----------
    value : str
        Encoded content of the row.
    written_at : float
        When it was written, seconds.
    check_at : float or None
        When to check that the platform still has it, seconds; None if it
        need not be checked.
    """

    value: str
    written_at: float
    check_at: float | None = None
