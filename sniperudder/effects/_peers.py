"""Heartbeats to other entry instances."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class SendBeat:
    """Send a heartbeat; answered by ``BeatReturned`` or ``BeatLost``.

    Attributes
    ----------
    peer : str
    address : str
    beat : sniperudder.inputs.Beat
    """

    peer: str
    address: str
    beat: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerBeat:
    """Answer the heartbeat of the current input.

    Attributes
    ----------
    peer : str
    beat : sniperudder.inputs.Beat
    """

    peer: str
    beat: typing.Any
