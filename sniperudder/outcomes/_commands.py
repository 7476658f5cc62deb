"""Tagged outcomes of an operator's command."""

import dataclasses

from sniperudder.outcomes import _codes


@dataclasses.dataclass(frozen=True, slots=True)
class CommittedAt:
    """The command is in the configuration from this version on."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class LostTo:
    """Another command changed the same subject first.

    Attributes
    ----------
    version : int
    command : str
    operator : str
        Place, identifier and author of the winner.
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
        One sentence for people.
    """

    code: _codes.Code
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownSoFar:
    """The platform has not told yet; ask again with the identifier.

    Attributes
    ----------
    detail : str
        How far the command got from here.
    """

    detail: str = ''


CommandOutcome = CommittedAt | LostTo | NotDone | UnknownSoFar
