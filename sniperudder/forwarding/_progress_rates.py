"""For how long a peer has been slower than is usable."""

__all__ = ['ProgressMeter']


class ProgressMeter:
    """Measures the time for which the other side of a transfer lags behind.

    Time in which the other side is awaited adds to the lag, and bytes reduce
    it by the time that they take at the lowest usable rate, down to zero.

    Parameters
    ----------
    min_rate : float
        Lowest usable rate, bytes per second.

    Examples
    --------
    >>> meter = ProgressMeter(1_000)
    >>> meter.begin(0.0)
    >>> meter.record(2.0, 500)
    >>> meter.get_lag_s(2.0), meter.get_lag_s(3.0)
    (1.5, 1.5)
    """

    __slots__ = ('_awaited_since', '_lag_s', '_min_rate')

    def __init__(self, min_rate):
        self._min_rate = min_rate
        self._lag_s = 0.0
        self._awaited_since = None

    def reset(self):
        """Forget the lag; the other side is not awaited."""
        self._lag_s = 0.0
        self._awaited_since = None

    def begin(self, now):
        """Record that the other side is awaited from now on, seconds."""
        if self._awaited_since is None:
            self._awaited_since = now

    def record(self, now, size):
        """Record that a number of bytes came, and that it is not awaited."""
        lag_s = self.get_lag_s(now) - size / self._min_rate
        self._lag_s = max(0.0, lag_s)
        self._awaited_since = None

    def get_lag_s(self, now):
        """Return the lag, seconds."""
        if self._awaited_since is None:
            return self._lag_s
        return self._lag_s + now - self._awaited_since
