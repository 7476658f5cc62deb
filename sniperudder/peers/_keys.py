"""The key that instances share."""

import hmac

from sniperudder.peers.gen.wire import ttypes


def check_key(expected, given):
    """Raise unless a peer presented the key; any will do if none is set.

    Raises
    ------
    sniperudder.peers.gen.wire.ttypes.Rejected
    """
    if not expected:
        return
    if not hmac.compare_digest(expected.encode(), (given or '').encode()):
        raise ttypes.Rejected('wrong peer key')
