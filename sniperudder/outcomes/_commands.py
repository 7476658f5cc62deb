"""Outcome types of operator commands."""

import dataclasses

from sniperudder.outcomes import _codes


@dataclasses.dataclass(frozen=True, slots=True)
class CommittedAt:
    """The command was committed in this configuration version."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class LostTo:
    """A conflicting command on the same subject was committed first.

    Attributes
    ----------
    version : int
        Configuration version of the winning command.
    command : str
        Identifier of the winning command.
    operator : str
        Operator who gave the winning command.
    """

    version: int
    command: str
    operator: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotDone:
    """The command was not committed and will not be.

    Attributes
    ----------
    code : Code
        A code of class *not run*.
    detail : str
        Human-readable reason, one sentence.
    """

    code: _codes.Code
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownSoFar:
    """It is not yet known whether the command was committed.

    The operator can ask again with the identifier of the command.

    Attributes
    ----------
    detail : str
        How far this instance got with the command.
    """

    detail: str = ''


CommandOutcome = CommittedAt | LostTo | NotDone | UnknownSoFar
