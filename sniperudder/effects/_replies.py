"""Answers to callers and notes to the log."""

import dataclasses

from sniperudder.outcomes import Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class EmitToken:
    """Give the caller the next token of its answer."""

    request: str
    position: int
    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """Give the caller the outcome; exactly one for each request."""

    request: str
    outcome: Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """Write a decision to the log.

    Attributes
    ----------
    event : str
        Kind of event, in the form ``subject:verb``.
    subject : str
        Name of the record that it concerns.
    detail : str
    """

    event: str
    subject: str
    detail: str = ''
