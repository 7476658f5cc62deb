"""Clocks: the machine's own and the logical one of the log."""

from sniperudder.clocks._lamport import LamportClock
from sniperudder.clocks._machine import read_clock

__all__ = [
    'LamportClock',
    'read_clock',
]
