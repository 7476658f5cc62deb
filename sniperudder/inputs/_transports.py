"""Delivery status of calls that got no answer."""

import enum


class Delivery(enum.Enum):
    """Delivery status of a call that got no answer.

    Attributes
    ----------
    NOT_SENT
        The other side certainly did not start the call: no byte can have
        been sent, or the other side stated that it did not start.
    LOST
        All other cases.
    """

    NOT_SENT = 'not sent'
    LOST = 'lost'
