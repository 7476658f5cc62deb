"""Typed commands, as returned by the parser."""

import dataclasses

from sniperudder.intents import Intent


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitIntent:
    """Submit an intent.

    Attributes
    ----------
    intent : Intent
    force : bool
        Whether to override the objections that are forcible.
    """

    intent: Intent
    force: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PlanIntent:
    """Report the effects of an intent without submitting it (dry run)."""

    intent: Intent


@dataclasses.dataclass(frozen=True, slots=True)
class VerifyCommand:
    """Report the instances on which a command is in force."""

    command_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class WatchCommand:
    """Wait for a command to be in force on all instances, then report.

    The report is also made if the wait times out.
    """

    command_id: str


Command = SubmitIntent | PlanIntent | VerifyCommand | WatchCommand
