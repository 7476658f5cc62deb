"""The way of a message to an entry, which may be this one."""

from sniperudder import effects

_RECEIVERS = {}


def register_receiver(kind, receiver):
    """Let ``receiver(T, sender, message, now)`` take a class of message."""
    _RECEIVERS[kind] = receiver


def post_message(T, entry, message, now):
    """Return the effects that bring a message to an entry.

    One to this instance is taken in at once.

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
    return [effects.Post(entry, peer.address, message)]


def receive_message(T, sender, message, now):
    """Give a message to its receiver."""
    return _RECEIVERS[type(message)](T, sender, message, now)


def take_post(T, inp, now):
    """Take in a message of another entry; handles ``PostArrived``."""
    return receive_message(T, inp.sender, inp.message, now)
