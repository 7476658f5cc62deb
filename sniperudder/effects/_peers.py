"""Heartbeats to other entry instances."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Send a heartbeat.

    Answered by ``HeartbeatReturned`` or ``HeartbeatLost``.

    Attributes
    ----------
    peer : str
    address : str
    beat : sniperudder.inputs.Heartbeat
    """

    peer: str
    address: str
    beat: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHeartbeat:
    """Answer the heartbeat of the current input.

    Attributes
    ----------
    peer : str
    beat : sniperudder.inputs.Heartbeat
    """

    peer: str
    beat: typing.Any
