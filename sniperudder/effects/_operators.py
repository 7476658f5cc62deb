"""Answers to operators."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class CommandDone:
    """Answer the operator with the outcome of a command.

    ``UnknownSoFar`` may be followed by a second, final outcome.

    Attributes
    ----------
    command : str
    outcome : CommittedAt, LostTo, NotDone or UnknownSoFar
        From ``sniperudder.outcomes``.
    request : str
        Copied from the ``CommandArrived``.
    """

    command: str
    outcome: typing.Any
    request: str = ''
