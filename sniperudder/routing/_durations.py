"""Durations of recent requests, to tell which ones end before a planned stop.

An instance that stops cuts the requests that outlast its grace period. One
that most likely would is better rejected when it arrives: another instance
serves it at once.
"""

import collections
import math

__all__ = ['DurationEstimator']

# Number of recent requests that are kept, and number without which there is no
# estimate.
_MAX_SAMPLES = 64
_MIN_SAMPLES = 8

# Number of keys that are kept, those without a recent request first left out.
_MAX_KEYS = 512

# Fraction of requests that end within the estimate. Rejecting a request that
# would have ended in time costs its caller a round trip, and cutting a request
# costs its answer.
_QUANTILE = 0.95


class DurationEstimator:
    """Estimates how long requests take from those that ended.

    Durations grow with the size of a request where it has one, and are taken
    per unit of size.

    Examples
    --------
    >>> estimator = DurationEstimator()
    >>> for seconds in range(1, 21):
    ...     estimator.record(('chat', 'route-1'), 10.0, seconds)
    >>> estimator.estimate_s(('chat', 'route-1'), 20.0)
    38.0
    >>> estimator.estimate_s(('chat', 'route-2'), 20.0)
    38.0
    >>> estimator.estimate_s(('shop', 'route-3'), 1.0) is None
    True
    """

    __slots__ = ('_samples',)

    def __init__(self):
        # By key, in the order of their last request.
        self._samples = collections.OrderedDict()

    def record(self, key, size, seconds):
        """Record the duration of a request.

        Parameters
        ----------
        key : tuple of str
            What the request has in common with others, the most general first.
        size : float
            Positive.
        seconds : float
        """
        for length in range(1, len(key) + 1):
            samples = self._samples.get(key[:length])
            if samples is None:
                samples = collections.deque(maxlen=_MAX_SAMPLES)
                self._samples[key[:length]] = samples
            samples.append(seconds / size)
            self._samples.move_to_end(key[:length])
        while len(self._samples) > _MAX_KEYS:
            self._samples.popitem(last=False)

    def estimate_s(self, key, size):
        """Return within which time a request most likely ends, seconds.

        Returns None if too little is known. O(n log n) in the number of
        samples.
        """
        for length in range(len(key), 0, -1):
            samples = self._samples.get(key[:length], ())
            if len(samples) >= _MIN_SAMPLES:
                rank = math.ceil(_QUANTILE * len(samples)) - 1
                return sorted(samples)[rank] * size
        return None
