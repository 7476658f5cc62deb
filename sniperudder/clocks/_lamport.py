"""A Lamport clock, which orders events of several processes."""

import threading


class LamportClock:
    """A logical clock; safe to use from several threads.

    An event that may have caused another one has the lower value.

    Examples
    --------
    >>> clock = LamportClock()
    >>> clock.advance()
    1
    >>> clock.observe(7)
    >>> clock.advance()
    8
    """

    __slots__ = ('_lock', '_value')

    def __init__(self):
        self._lock = threading.Lock()
        self._value = 0

    def read(self):
        """Return the value of the latest event."""
        return self._value

    def advance(self):
        """Return the value of a new event of this process."""
        with self._lock:
            self._value += 1
            return self._value

    def observe(self, value):
        """Take note of the value that a message brought."""
        with self._lock:
            self._value = max(self._value, value)
