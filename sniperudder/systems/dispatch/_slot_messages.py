"""Delivery of messages to entries, this instance included."""

from sniperudder import effects

_RECEIVERS = {}


def register_receiver(message_type, receiver):
    """Register the receiver of a class of messages.

    It is called as ``receiver(T, sender, message, now)`` and returns a
    list of effects.
    """
    _RECEIVERS[message_type] = receiver


def send_slot_message(T, entry, message, now):
    """Return the effects that deliver a message to an entry.

    A message to this instance is handled immediately; one to an unknown
    entry is dropped.

    Parameters
    ----------
    T : Tables
    entry : str
    message : record of sniperudder.messages
    now : float
        Seconds.
    """
    if entry == T.me:
        return receive_message(T, T.me, message, now)
    peer = T.instances.get(entry)
    if peer is None:
        return []
    return [effects.SendSlotMessage(entry, peer.address, message)]


def receive_message(T, sender, message, now):
    """Call the receiver of a message."""
    return _RECEIVERS[type(message)](T, sender, message, now)


def handle_slot_message(T, inp, now):
    """Deliver a message from another entry; handles ``SlotMessageArrived``."""
    return receive_message(T, inp.sender, inp.message, now)
