"""A Lamport clock, which orders events of several processes."""

import threading


class LamportClock:
    """A logical clock; safe to use from several threads.

    An event that may have caused another one has the lower value.

    Parameters
    ----------
    read_least : callable, optional
        Returns the least value of the next event. With a wall clock
        here, events that did not cause each other come out near the
        order of their times, and a process that starts again does not
        fall behind its earlier events.

    Examples
    --------
    >>> clock = LamportClock()
    >>> clock.advance()
    1
    >>> clock.observe(7)
    >>> clock.advance()
    8
    """

    __slots__ = ('_lock', '_read_least', '_value')

    def __init__(self, read_least=None):
        self._read_least = read_least
        self._lock = threading.Lock()
        self._value = 0

    def read(self):
        """Return the value of the latest event."""
        return self._value

    def advance(self):
        """Return the value of a new event of this process."""
        least = self._read_least() if self._read_least else 0
        with self._lock:
            self._value = max(self._value + 1, least)
            return self._value

    def observe(self, value):
        """Take note of the value that a message brought."""
        with self._lock:
            self._value = max(self._value, value)
