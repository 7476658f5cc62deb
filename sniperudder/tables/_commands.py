"""Commands of operators on their way into the configuration."""

import dataclasses
import enum
import typing


class CommandState(enum.Enum):
    """Where a command is in its life at this instance."""

    READY = 'ready'
    WAITING = 'waiting'
    DONE = 'done'


@dataclasses.dataclass(slots=True)
class Command:
    """A command given at this instance.

    Attributes
    ----------
    name : str
        Identifier that its operator chose.
    operator : str
    intent : object
        See ``sniperudder.intents``.
    base_version : int
        Version that the operator saw.
    force : bool
        Whether it overrides what others changed since then.
    issued_at : str
        Wall-clock time, for the audit trail.
    started_at : float
        Seconds.
    requests : list of str
        Who awaits the outcome.
    state : CommandState
    in_doubt : bool
        Whether a transaction with it brought no answer.
    next_at : float
        When the next step is due, seconds.
    outcome : object or None
        See ``sniperudder.outcomes``; set once it is known.
    """

    name: str
    operator: str
    intent: typing.Any
    base_version: int
    force: bool
    issued_at: str
    started_at: float
    requests: list = dataclasses.field(default_factory=list)
    state: CommandState = CommandState.READY
    in_doubt: bool = False
    next_at: float = float('-inf')
    outcome: typing.Any = None
