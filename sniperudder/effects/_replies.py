"""Answers to callers and log events."""

import dataclasses

from sniperudder.outcomes import Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class EmitToken:
    """Send the caller the next token of its answer."""

    request: str
    position: int
    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendOutcome:
    """Send the caller the outcome; exactly one for each request."""

    request: str
    outcome: Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """Write a decision to the log.

    Attributes
    ----------
    event : str
        Kind of event, in the form ``subject:verb``.
    subject : str
        Name of the record that the event concerns.
    detail : str
    """

    event: str
    subject: str
    detail: str = ''
