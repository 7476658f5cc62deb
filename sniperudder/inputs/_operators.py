"""Wishes of the operator of this process and commands of operators."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """This instance shall stop once its work is done."""


@dataclasses.dataclass(frozen=True, slots=True)
class CommandArrived:
    """An operator gives a command; answered by ``CommandDone``.

    Attributes
    ----------
    command : str
        Identifier; the same one asks for the same command again.
    operator : str
    intent : object
        See ``sniperudder.intents``.
    at_version : int or None
        Version that the operator saw; None takes the one in force.
    force : bool
        Whether it is committed also against a competing change and
        where it leaves a model without endpoints.
    issued_at : str
        Wall-clock time, for the audit trail.
    request : str
        Comes back with each ``CommandDone``.
    """

    command: str
    operator: str
    intent: typing.Any
    at_version: int | None = None
    force: bool = False
    issued_at: str = ''
    request: str = ''
