"""A bounded part of the event loop for the input of all callers together."""

import asyncio
import collections

from sniperudder.forwarding import _turns

__all__ = ['TurnScheduler']

# Time in each turn of the loop for input that has just arrived, and for input
# that waits, seconds. The rest of the turn is for requests that are handled,
# endpoints, the store and other instances.
_ARRIVED_S = 0.002
_WAITING_S = 0.002

# Longest time for one peer at once, seconds.
_QUANTUM_S = 0.0005

# Time that a request takes to parse, from which on it is long, seconds.
_LONG_S = 0.005


class TurnScheduler:
    """Has work done at once if there is time, and else in later turns.

    Work has the attribute ``turn_time_s``, in which the time that it has taken
    is summed up, and the method ``do_until(ends_at)``, which does at least one
    step, goes on until a clock time, and returns whether there is more to do.

    Work that has taken little time goes before long work, which gets a part
    of each turn nevertheless. Within each class, all get the same time.
    """

    __slots__ = ('_arrived_s', '_is_ticking', '_long', '_short')

    def __init__(self):
        self._short = collections.deque()
        self._long = collections.deque()
        self._arrived_s = 0.0
        self._is_ticking = False

    def submit(self, work):
        """Do work now or later; it must not be submitted already.

        Parameters
        ----------
        work : object
            See the class.
        """
        if not self._is_ticking:
            self._is_ticking = True
            self._arrived_s = _ARRIVED_S
            asyncio.get_running_loop().call_soon(self._tick)
        if self._arrived_s > 0.0:
            self._arrived_s -= self._do(work)
        else:
            self._queue(work)

    def _tick(self):
        """Do what waits, once in each turn of the loop."""
        self._arrived_s = _ARRIVED_S
        waiting_s = _WAITING_S
        if self._long:
            waiting_s -= self._do(self._long.popleft())
        while waiting_s > 0.0 and (self._short or self._long):
            waiting_s -= self._do((self._short or self._long).popleft())
        self._is_ticking = bool(self._short or self._long)
        if self._is_ticking:
            asyncio.get_running_loop().call_soon(self._tick)

    def _do(self, work):
        """Do work for a while, and return the time that it took, seconds."""
        began_at = _turns.read_clock()
        has_more = work.do_until(began_at + _QUANTUM_S)
        elapsed_s = _turns.read_clock() - began_at
        work.turn_time_s += elapsed_s
        if has_more:
            self._queue(work)
        return elapsed_s

    def _queue(self, work):
        queue = self._long if work.turn_time_s > _LONG_S else self._short
        queue.append(work)
