"""Typed commands, as the parser makes them."""

import dataclasses

from sniperudder.intents import Intent


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitIntent:
    """Carry out an intent.

    Attributes
    ----------
    intent : Intent
    force : bool
        Whether to do so against objections that may be forced.
    """

    intent: Intent
    force: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PlanIntent:
    """Tell what an intent would do, without doing it."""

    intent: Intent


@dataclasses.dataclass(frozen=True, slots=True)
class VerifyCommand:
    """Tell where a command is in force."""

    command_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class WatchCommand:
    """Tell where a command is in force, once it is everywhere."""

    command_id: str


Command = SubmitIntent | PlanIntent | VerifyCommand | WatchCommand
