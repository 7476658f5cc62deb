"""Rate limit on failed authentication by source address."""

import collections
import threading

_WINDOW_S = 60.0
_MAX_FAILURES = 10
_MAX_ADDRESSES = 4096


class FailedKeyLimiter:
    """Counts failed keys by source address over the last minute.

    After ten failures an address is refused before its key is checked.
    The address with the oldest last failure is evicted above 4096
    addresses, which bounds the memory.

    Parameters
    ----------
    read_clock : callable
        Returns seconds.
    """

    __slots__ = ('_read_clock', '_failures', '_lock')

    def __init__(self, read_clock):
        self._read_clock = read_clock
        self._failures = collections.OrderedDict()
        self._lock = threading.Lock()

    def get_wait(self, address):
        """Return how long an address is still refused, seconds."""
        with self._lock:
            times = self._failures.get(address, ())
            if len(times) < _MAX_FAILURES:
                return 0.0
            return max(0.0, times[0] + _WINDOW_S - self._read_clock())

    def record_failure(self, address):
        """Count one failed key."""
        with self._lock:
            times = self._failures.setdefault(
                address, collections.deque(maxlen=_MAX_FAILURES)
            )
            times.append(self._read_clock())
            self._failures.move_to_end(address)
            if len(self._failures) > _MAX_ADDRESSES:
                self._failures.popitem(last=False)
