"""A Lamport clock, which orders the events of several processes."""

import threading


class LamportClock:
    """A thread-safe Lamport clock.

    If event a may have caused event b, the value of a is lower than that
    of b.

    Parameters
    ----------
    read_minimum : callable, optional
        Returns a lower bound for the value of the next event. With a
        wall clock as the bound, concurrent events sort approximately
        by time, and the values of a restarted process do not fall
        behind those from before the restart.

    Examples
    --------
    >>> clock = LamportClock()
    >>> clock.advance()
    1
    >>> clock.observe(7)
    >>> clock.advance()
    8
    """

    __slots__ = ('_lock', '_read_minimum', '_value')

    def __init__(self, read_minimum=None):
        self._read_minimum = read_minimum
        self._lock = threading.Lock()
        self._value = 0

    def read(self):
        """Return the value of the latest event."""
        return self._value

    def advance(self):
        """Advance the clock for a new local event and return its value."""
        minimum = self._read_minimum() if self._read_minimum else 0
        with self._lock:
            self._value = max(self._value + 1, minimum)
            return self._value

    def observe(self, value):
        """Merge the clock value received with a message."""
        with self._lock:
            self._value = max(self._value, value)
