"""What a call of the platform was made for."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PollHead:
    """Read the current version."""


@dataclasses.dataclass(frozen=True, slots=True)
class FetchChanges:
    """Read changes that are missing."""


@dataclasses.dataclass(frozen=True, slots=True)
class CommitCommand:
    """Move the head with a command.

    Attributes
    ----------
    command : str
    version : int
        Version that the command gets.
    """

    command: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Keep that a command was not committed.

    Attributes
    ----------
    command : str
    outcome : LostTo or NotDone
    """

    command: str
    outcome: object


@dataclasses.dataclass(frozen=True, slots=True)
class FetchSnapshot:
    """Read the kept snapshot."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeepSnapshot:
    """Keep a snapshot."""
