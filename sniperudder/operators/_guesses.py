"""A limit on wrong keys from one address."""

import collections
import threading

_WINDOW_S = 60.0
_MAX_GUESSES = 10
_MAX_ADDRESSES = 4096


class GuessLimit:
    """Counts wrong keys by source address over the last minute.

    Once ten wrong keys came from an address, it is refused before its
    key is looked at. The oldest address gives way when too many are
    known, so that memory stays bounded.

    Parameters
    ----------
    read_clock : callable
        Returns seconds.
    """

    __slots__ = ('_read_clock', '_guesses', '_lock')

    def __init__(self, read_clock):
        self._read_clock = read_clock
        self._guesses = collections.OrderedDict()
        self._lock = threading.Lock()

    def measure_wait(self, address):
        """Return for how long an address is refused, seconds."""
        with self._lock:
            times = self._guesses.get(address, ())
            if len(times) < _MAX_GUESSES:
                return 0.0
            return max(0.0, times[0] + _WINDOW_S - self._read_clock())

    def record_guess(self, address):
        """Count one wrong key."""
        with self._lock:
            times = self._guesses.setdefault(
                address, collections.deque(maxlen=_MAX_GUESSES)
            )
            times.append(self._read_clock())
            self._guesses.move_to_end(address)
            if len(self._guesses) > _MAX_ADDRESSES:
                self._guesses.popitem(last=False)
