"""How fast endpoints run, as the streams through them show."""

import collections
import statistics

# Time over which samples count, seconds: a few samples of each stream.
_WINDOW_S = 2.0

# Time for which an endpoint that is no longer used counts as slow,
# seconds; after it, it is tried again.
_HOLD_S = 6.0

# Age up to which the usual pace is not computed anew, seconds: half of
# what a sample spans.
_USUAL_S = 0.2

# Samples of all streams that a comparison needs.
_MIN_STREAM_SAMPLES = 6

# Samples of streams through an endpoint that a judgement needs.
_MIN_SAMPLES = 2

# Slowness below which a difference is taken for noise, and the largest one
# that counts, so that a slow endpoint stays usable.
_LEAST_SLOWNESS = 1.8
_MOST_SLOWNESS = 8.0


class SpeedTable:
    """Compares the pace of streams with that of all streams together.

    A stream that is slower than the others has one slow stage or several;
    which of them is told by the other streams through the same stages: an
    endpoint is as slow as the fastest stream through it allows.

    Examples
    --------
    >>> table = SpeedTable()
    >>> for second in range(4):
    ...     table.record({'a': 0.5, 'b': 0.5}, 1.0, second / 4)
    ...     table.record({'a': 0.5, 'c': 0.5}, 3.0, second / 4)
    ...     table.record({'d': 1.0}, 1.0, second / 4)
    >>> [table.get_slowness(run, 1.0) for run in ('a', 'b', 'c')]
    [1.0, 1.0, 5.0]
    """

    __slots__ = ('_ratios', '_samples', '_usual', '_usual_at')

    def __init__(self):
        self._ratios = collections.deque()
        self._samples = {}
        self._usual = 1.0
        self._usual_at = None

    def record(self, shares, ratio, now):
        """Take in a sample of a stream.

        Parameters
        ----------
        shares : dict
            Share of the expected time that each stage takes, by the run of
            its endpoint; their sum is 1.
        ratio : float
            Time that passed, relative to the expected one.
        now : float
            Seconds.
        """
        self._ratios.append((now, ratio))
        _trim(self._ratios, now - _WINDOW_S)
        if len(self._ratios) < _MIN_STREAM_SAMPLES:
            return
        usual = self._get_usual(now)
        excess = ratio / usual - 1.0
        for run, share in shares.items():
            samples = self._samples.setdefault(run, collections.deque())
            samples.append((now, 1.0 + excess / share))
            _trim(samples, now - _WINDOW_S)

    def _get_usual(self, now):
        """Return the ratio of a stream that passes no slow stage.

        The fastest quarter passes none, as long as a few endpoints are
        slow and not most of them.
        """
        known_at = self._usual_at
        if known_at is None or now - known_at >= _USUAL_S:
            ratios = [found for _, found in self._ratios]
            self._usual, _, _ = statistics.quantiles(ratios, n=4)
            self._usual_at = now
        return self._usual

    def get_slowness(self, run, now):
        """Return how much slower than expected an endpoint runs.

        Returns
        -------
        float
            1 where nothing tells that it is slow.
        """
        samples = self._samples.get(run)
        if not samples or len(samples) < _MIN_SAMPLES:
            return 1.0
        if now - samples[-1][0] > _HOLD_S:
            return 1.0
        slowness = min(found for _, found in samples)
        if slowness < _LEAST_SLOWNESS:
            return 1.0
        return min(slowness, _MOST_SLOWNESS)

    def forget(self, runs):
        """Drop the samples of runs that ended.

        Parameters
        ----------
        runs : collection
            Those that are still there.
        """
        for run in list(self._samples):
            if run not in runs:
                del self._samples[run]


def _trim(samples, oldest):
    while samples and samples[0][0] < oldest:
        samples.popleft()
