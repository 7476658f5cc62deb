"""Messages that request, grant, release and report slots."""

import dataclasses

from sniperudder.outcomes import Code
from sniperudder.tables import Rank


@dataclasses.dataclass(frozen=True, slots=True)
class AskSlot:
    """Request a slot from the home; idempotent by request and attempt.

    Attributes
    ----------
    request : str
    attempt : int
        Number of the attempt that the slot is for.
    organisation : str
    rank : Rank
    model : str
    work : float
        Expected work, tokens.
    fingerprint : str
        Digest of organisation and content.
    max_wait_s : float
        Longest wait for the slot after the message was sent, seconds.
    again : bool
        Whether an earlier attempt has run, or may have run; the request
        then goes to the front of its organisation's queue.
    yields : int
        How often the request was preempted by more urgent work.
    crashes : tuple of str
        Possible engine crashes during which the content of the request
        was in flight.
    settle_s : float
        Time for which an engine may still be running such a step, so
        that no load report can disprove its crash, seconds.
    """

    request: str
    attempt: int
    organisation: str
    rank: Rank
    model: str
    work: float
    fingerprint: str
    max_wait_s: float
    again: bool = False
    yields: int = 0
    crashes: tuple = ()
    settle_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class GrantSlot:
    """Grant a slot on a chain of endpoints.

    Attributes
    ----------
    request : str
    attempt : int
    chain : tuple of Stage
    version : str
        Version of the model.
    boots : tuple of str
        Identifier of the process run of each endpoint of the chain, as
        known to the home; an empty string where it has no load report.
    """

    request: str
    attempt: int
    chain: tuple
    version: str
    boots: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class DenySlot:
    """Deny a slot, at once or after a wait in the queue.

    Attributes
    ----------
    request : str
    attempt : int
    code : Code
        A code of class *not run*.
    retry_after_s : float or None
    """

    request: str
    attempt: int
    code: Code
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RevokeSlot:
    """Preempt a slot for more urgent work."""

    request: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Observations of an endpoint during one attempt.

    Attributes
    ----------
    endpoint : str
    step_s : float
        Smoothed duration of a step, seconds; 0 if none was run.
    failed : bool
        Whether a call to it returned no result.
    crashed : bool
        Whether its connection broke while a step was in flight; the
        engine need not have crashed.
    boot : str
        Identifier of the engine process run, as known to the sender.
    """

    endpoint: str
    step_s: float = 0.0
    failed: bool = False
    crashed: bool = False
    boot: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ForgotSlots:
    """Report waiting requests unknown to the home; ask for them again."""

    requests: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseSlot:
    """Release a slot, or cancel the request for one.

    Attributes
    ----------
    request : str
    attempt : int
    used : float
        Work used in the attempt, tokens.
    samples : tuple of Sample
    """

    request: str
    attempt: int
    used: float = 0.0
    samples: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """A slot that the sender holds."""

    request: str
    attempt: int
    organisation: str
    rank: Rank
    model: str
    chain: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class HoldSlots:
    """All slots of a home's models that the sender holds or waits for.

    A new home learns from it which slots are in use, and a home that
    missed a release learns which slots are free.

    Attributes
    ----------
    holdings : tuple of Holding
    asked : tuple of str
        Names of the requests that wait for a slot.
    """

    holdings: tuple = ()
    asked: tuple = ()
