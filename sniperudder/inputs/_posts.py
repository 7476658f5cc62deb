"""Messages about slots from other entries."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class PostArrived:
    """Another entry sent a message.

    Attributes
    ----------
    sender : str
    message : record of sniperudder.messages
    """

    sender: str
    message: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class PostLost:
    """A message may not have arrived."""

    peer: str
    message: typing.Any
