"""How far a message got."""

import enum


class Delivery(enum.Enum):
    """What is known about a call that brought no answer.

    ``NOT_SENT`` is only said when no byte can have left, or when the
    other side said that it did not start. ``LOST`` is all else.
    """

    NOT_SENT = 'not sent'
    LOST = 'lost'
