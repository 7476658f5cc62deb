"""Delivery status of calls that got no answer."""

import enum


class Delivery(enum.Enum):
    """Delivery status of a call that got no answer.

    ``NOT_SENT`` means that no byte can have been sent, or that the other
    side stated that it did not start. All other cases are ``LOST``.
    """

    NOT_SENT = 'not sent'
    LOST = 'lost'
