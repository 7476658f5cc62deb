"""Messages about slots from other entry instances."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class SlotMessageArrived:
    """Another entry instance sent a message.

    Attributes
    ----------
    sender : str
    message : record of sniperudder.messages
    """

    sender: str
    message: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class SlotMessageLost:
    """A message to a peer may not have arrived."""

    peer: str
    message: typing.Any
