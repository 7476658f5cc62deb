"""Requests for tokens and their progress along chains."""

import dataclasses
import enum

from sniperudder.tables import _ranks


class RequestState(enum.Enum):
    """State of a request."""

    WAITING = 'waiting'
    RUNNING = 'running'
    DONE = 'done'


@dataclasses.dataclass(frozen=True, slots=True)
class Stage:
    """One stage of a chain.

    Attributes
    ----------
    endpoint : str
    first_layer, end_layer : int
        The stage runs the layers ``[first_layer, end_layer)``.
    """

    endpoint: str
    first_layer: int
    end_layer: int


@dataclasses.dataclass(frozen=True, slots=True)
class AbandonedStep:
    """A step in flight whose attempt has ended.

    Attributes
    ----------
    fingerprint : str
        Digest of organisation and content.
    boot : str
        Boot identifier of the engine process that it was sent to.
    part_keys : frozenset of str
        Keys of parts of the prompt.
    """

    fingerprint: str
    boot: str
    part_keys: frozenset = frozenset()


@dataclasses.dataclass(slots=True)
class Request:
    """A request for a streamed answer of a model.

    Attributes
    ----------
    name : str
        Identifier, unique in the fleet.
    organisation : str
    rank : Rank
    model : str
    prompt : str
    max_tokens : int
    arrived_at, deadline : float
        Seconds on the instance's clock.
    fingerprint : str
        Digest of organisation and content.
    part_keys : frozenset of str
        Keys of parts of the prompt.
    state : RequestState
    attempt : int
        Number of the current attempt, from 1; 0 before the first.
    chain : tuple of Stage
        Stages of the current attempt.
    version : str
        Version of the model that the attempt uses.
    stage : int
        Index of the stage whose step is awaited.
    tokens : list of str
        Tokens given to the caller; the length is the position of the
        awaited token.
    may_have_run : bool
        Whether an endpoint ran, or may have run, a step of it.
    slot_retry_at : float
        When a slot is next requested, seconds; 0 if one has been
        requested or is held.
    home : str
        Instance that allocates the slot: it was asked for one or granted
        one.
    slot_requested_at : float
        When the slot was last requested, seconds.
    samples : dict of str to Sample
        Observations of each endpoint during the current attempt.
    attempt_started_at : float or None
        When the latest attempt began, seconds.
    first_position : int
        Position of the first token of the current attempt.
    resent : bool
        Whether the awaited step was sent again to an endpoint that
        deduplicates.
    boots : dict of str to str
        Boot identifier of each endpoint when the current attempt began.
    in_flight : bool
        Whether a step has been sent and its answer is awaited.
    yields : int
        Number of times that it was preempted by more urgent work.
    failures : int
        Number of attempts that ended because an endpoint failed.
    """

    name: str
    organisation: str
    rank: _ranks.Rank
    model: str
    prompt: str
    max_tokens: int
    arrived_at: float
    deadline: float
    fingerprint: str = ''
    part_keys: frozenset = frozenset()
    state: RequestState = RequestState.WAITING
    attempt: int = 0
    chain: tuple = ()
    version: str = ''
    stage: int = 0
    tokens: list = dataclasses.field(default_factory=list)
    may_have_run: bool = False
    slot_retry_at: float = 0.0
    home: str = ''
    slot_requested_at: float = 0.0
    samples: dict = dataclasses.field(default_factory=dict)
    attempt_started_at: float | None = None
    first_position: int = 0
    boots: dict = dataclasses.field(default_factory=dict)
    resent: bool = False
    in_flight: bool = False
    yields: int = 0
    failures: int = 0
