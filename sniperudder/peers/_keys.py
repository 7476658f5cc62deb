"""Verification of the key shared by all instances."""

import hmac

from sniperudder.peers.gen.wire import ttypes


def check_key(expected, given):
    """Check the key of a peer; an empty expected key accepts all keys.

    Raises
    ------
    sniperudder.peers.gen.wire.ttypes.Rejected
    """
    if not expected:
        return
    if not hmac.compare_digest(expected.encode(), (given or '').encode()):
        raise ttypes.Rejected('wrong peer key')
