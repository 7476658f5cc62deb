"""Delivery of slot messages to instances, this one included."""

from sniperudder import effects

_RECEIVERS = {}


def register_receiver(message_type, receiver):
    """Register the receiver of a class of messages.

    It is called as ``receiver(T, sender, message, now)`` and returns a
    list of effects.
    """
    _RECEIVERS[message_type] = receiver


def send_slot_message(T, instance, message, now):
    """Return the effects that deliver a message to an instance.

    A message to this instance is handled immediately; one to an unknown
    instance is dropped.

    Parameters
    ----------
    T : Tables
    instance : str
    message : record of sniperudder.messages
    now : float
        Seconds.
    """
    if instance == T.me:
        return receive_message(T, T.me, message, now)
    peer = T.instances.get(instance)
    if peer is None:
        return []
    return [effects.SendSlotMessage(instance, peer.address, message)]


def receive_message(T, sender, message, now):
    """Call the receiver of a message."""
    return _RECEIVERS[type(message)](T, sender, message, now)


def handle_slot_message(T, inp, now):
    """Deliver a message of another instance.

    Handles ``SlotMessageArrived``.
    """
    return receive_message(T, inp.sender, inp.message, now)
