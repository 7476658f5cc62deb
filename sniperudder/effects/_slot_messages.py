"""Messages about slots to other entry instances."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class SendSlotMessage:
    """Send a message; ``SlotMessageLost`` follows if it may not have arrived.

    Attributes
    ----------
    peer : str
    address : str
        ``host:port`` of its peer interface.
    message : record of sniperudder.messages
    """

    peer: str
    address: str
    message: typing.Any
