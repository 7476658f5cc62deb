"""Inputs from operators."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """This instance was told to stop once its work is done."""


@dataclasses.dataclass(frozen=True, slots=True)
class CommandArrived:
    """An operator gave a command; answered by ``CommandDone``.

    Attributes
    ----------
    command : str
        Identifier; giving the same one again repeats the command.
    operator : str
    intent : object
        See ``sniperudder.intents``.
    at_version : int or None
        Version of the configuration on which the command is based; the
        one in force if None.
    force : bool
        Whether it is committed even if a competing change was made
        since, or if it leaves a model without a complete chain.
    issued_at : str
        Wall-clock time, for the audit trail.
    request : str
        Identifier that is returned with each ``CommandDone``.
    """

    command: str
    operator: str
    intent: typing.Any
    at_version: int | None = None
    force: bool = False
    issued_at: str = ''
    request: str = ''
