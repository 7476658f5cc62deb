"""Limit for the time that the input of one peer holds the event loop.

A connection whose input is at hand is read without a pause until its turn is
over. Other tasks get theirs then. Long work on one input is cut likewise.
"""

import asyncio
import time

__all__ = ['begin_turn', 'read_clock', 'run_in_turns']

# Length of a turn, seconds. An instance has a few hundred connections, and
# most of them have little to read.
_TURN_S = 0.005

read_clock = time.monotonic


def begin_turn():
    """Return the time at which a turn that begins now is over, seconds."""
    return read_clock() + _TURN_S


async def run_in_turns(steps):
    """Run an iterator to its end and give way to other tasks in between.

    Parameters
    ----------
    steps : iterator
        Does a small part of the work for each item; the items are ignored.
    """
    turn_ends_at = begin_turn()
    for _ in steps:
        if read_clock() >= turn_ends_at:
            await asyncio.sleep(0)
            turn_ends_at = begin_turn()
