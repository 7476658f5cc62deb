"""Operators' commands that are to change the configuration."""

import dataclasses
import enum
import typing


class CommandState(enum.Enum):
    """State of a command at this instance.

    Attributes
    ----------
    READY
        Its next transaction is sent when it is due.
    WAITING
        A transaction for it has not been answered.
    DONE
        Its outcome is final.
    """

    READY = 'ready'
    WAITING = 'waiting'
    DONE = 'done'


@dataclasses.dataclass(slots=True)
class Command:
    """A command given at this instance.

    Attributes
    ----------
    name : str
        Identifier, chosen by its operator.
    operator : str
    intent : object
        See ``sniperudder.intents``.
    base_version : int
        Version of the configuration on which the command is based.
    force : bool
        Whether it overrides changes of the same subject made after
        ``base_version``, and the check that a withdrawal leaves the
        model a complete chain.
    issued_at : str
        Wall-clock time, for the audit trail.
    started_at : float
        When this instance received the command, seconds.
    requests : list of str
        Identifiers of the operators' requests to be answered.
    state : CommandState
    in_doubt : bool
        Whether a transaction for it got no answer and may have taken
        effect.
    next_at : float
        When the next step is due, seconds.
    outcome : object or None
        See ``sniperudder.outcomes``; None until one is known.
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
