"""Messages about slots."""

import dataclasses

from sniperudder.outcomes import Code
from sniperudder.tables import Rank


@dataclasses.dataclass(frozen=True, slots=True)
class AskSlot:
    """Ask the home for a slot; idempotent by request and attempt.

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
        Longest wait for the slot from now on, seconds.
    again : bool
        Whether the request held a slot before; it goes first in the
        queue of its organisation.
    yields : int
        How often the request gave way before.
    crashes : tuple of str
        Crashes at which its content was in flight.
    settle_s : float
        Time for which no report can disprove them, seconds.
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
    """Grant a slot on a chain.

    Attributes
    ----------
    request : str
    attempt : int
    chain : tuple of Stage
    version : str
        Version of the model.
    boots : tuple of str
        Run of each endpoint of the chain, as the home knows it; empty
        texts where it had no load report.
    """

    request: str
    attempt: int
    chain: tuple
    version: str
    boots: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class DenySlot:
    """Deny a slot, now or after a wait.

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
    """Take a slot back for more urgent work."""

    request: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """What an entry saw of an endpoint during an attempt.

    Attributes
    ----------
    endpoint : str
    step_s : float
        Smoothed time of one step, seconds; 0 where none was run.
    failed : bool
        Whether a call of it brought no result.
    crashed : bool
        Whether its connection broke while a step was in flight.
    boot : str
        Run of the engine, as the entry knew it.
    """

    endpoint: str
    step_s: float = 0.0
    failed: bool = False
    crashed: bool = False
    boot: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ForgotSlots:
    """The home does not know some requests that wait; ask again."""

    requests: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseSlot:
    """Give a slot back, or take back the question for it.

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
    """A slot that an entry holds."""

    request: str
    attempt: int
    organisation: str
    rank: Rank
    model: str
    chain: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class HoldSlots:
    """All slots of a home's models that an entry holds or asks for.

    A home that has just taken over learns from it what is in use, and
    one that missed a release learns what is free.

    Attributes
    ----------
    holdings : tuple of Holding
    asked : tuple of str
        Requests that wait for a slot.
    """

    holdings: tuple = ()
    asked: tuple = ()
