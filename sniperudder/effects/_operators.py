"""Answers to operators."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class CommandDone:
    """Tell the operator what became of a command.

    ``UnknownSoFar`` may be followed by a second, final one.

    Attributes
    ----------
    command : str
    outcome : CommittedAt, LostTo, NotDone or UnknownSoFar
        From ``sniperudder.outcomes``.
    request : str
        As given with ``CommandArrived``.
    """

    command: str
    outcome: typing.Any
    request: str = ''
