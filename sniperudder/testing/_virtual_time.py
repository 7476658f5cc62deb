"""Virtual clock with an event queue."""

import heapq
import itertools


class VirtualTime:
    """Runs callables at virtual times, first in first out at equal times.

    Attributes
    ----------
    now : float
        Seconds.

    Examples
    --------
    >>> clock = VirtualTime()
    >>> clock.call_at(2.0, print, 'second')
    >>> clock.call_at(1.0, print, 'first')
    >>> clock.run_until(3.0)
    first
    second
    """

    __slots__ = ('now', '_events', '_count')

    def __init__(self):
        self.now = 0.0
        self._events = []
        self._count = itertools.count()

    def call_at(self, time, function, *args):
        """Call ``function(*args)`` at a time, seconds."""
        time = max(time, self.now)
        heapq.heappush(self._events, (time, next(self._count), function, args))

    def call_in(self, delay_s, function, *args):
        """Call ``function(*args)`` after a delay, seconds."""
        self.call_at(self.now + delay_s, function, *args)

    def run_until(self, time):
        """Run all events up to a time, seconds, and advance to it."""
        while self._events and self._events[0][0] <= time:
            self.now, _, function, args = heapq.heappop(self._events)
            function(*args)
        self.now = max(self.now, time)
