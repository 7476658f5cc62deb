"""The boot-time clock of the machine and the Lamport clock of the logs."""

from sniperudder.clocks._lamport import LamportClock
from sniperudder.clocks._machine import read_clock

__all__ = [
    'LamportClock',
    'read_clock',
]
