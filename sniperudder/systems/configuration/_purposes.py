"""Purposes of platform calls, which route results to their handlers."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class PollHead:
    """Read the version of the configuration's head."""


@dataclasses.dataclass(frozen=True, slots=True)
class FetchChanges:
    """Read committed changes that are missing here."""


@dataclasses.dataclass(frozen=True, slots=True)
class CommitCommand:
    """Commit a command as the next version of the head.

    Attributes
    ----------
    command : str
        Identifier.
    version : int
        Version that the command gets if the commit succeeds.
    """

    command: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Store that a command was not committed.

    Attributes
    ----------
    command : str
        Identifier.
    outcome : LostTo or NotDone
    """

    command: str
    outcome: object


@dataclasses.dataclass(frozen=True, slots=True)
class FetchSnapshot:
    """Read the stored snapshot."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteSnapshot:
    """Store a snapshot."""


@dataclasses.dataclass(frozen=True, slots=True)
class RestoreChange:
    """Write a change again that the platform has lost.

    Attributes
    ----------
    version : int
    """

    version: int
