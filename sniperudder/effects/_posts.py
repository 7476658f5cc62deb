"""Messages about slots to other entries."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Post:
    """Send a message; ``PostLost`` tells where it did not arrive.

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
