"""Limit for the time that the input of one peer holds the event loop.

A connection whose input is at hand is read without a pause until its turn is
over. Other tasks get theirs then.
"""

import time

__all__ = ['begin_turn', 'read_clock']

# Length of a turn, seconds. An instance has a few hundred connections, and
# most of them have little to read.
_TURN_S = 0.005

read_clock = time.monotonic


def begin_turn():
    """Return the time at which a turn that begins now is over, seconds."""
    return read_clock() + _TURN_S
