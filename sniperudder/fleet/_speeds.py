"""Detection of slow endpoints from the speed of the streams through them."""

import collections
import dataclasses
import math
import statistics

from sniperudder import digests

# Length of the window of samples, seconds: a few samples of each stream.
_WINDOW_S = 2.0

# The same where samples of other instances count, too, which are many.
_SHARED_WINDOW_S = 0.8

# Time for which an endpoint counts as slow without new samples, seconds;
# after that, requests may be sent to it again.
_SLOW_EXPIRY_S = 6.0

# Interval at which the baseline is recomputed, seconds: half the time that
# a sample spans.
_BASELINE_INTERVAL_S = 0.2

# Samples of all streams that are needed for a comparison.
_MIN_STREAM_SAMPLES = 6

# Samples of streams through an endpoint that are needed to judge it.
_MIN_ENDPOINT_SAMPLES = 2

# The same if other instances have seen streams, too. More samples are then
# available, and a few slow ones can be noise.
_MIN_SHARED_SAMPLES = 4

# Slowness below which a difference is taken to be noise, and the largest
# one that is reported, so that slow endpoints remain usable.
_MIN_SLOWNESS = 1.8
_MAX_SLOWNESS = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class _ToldSpeed:
    """What other instances tell; see `sniperudder.digests.Speed`."""

    samples: int
    slowness: float
    # Loop time of this instance, seconds.
    sampled_at: float


class SpeedTable:
    """Estimates how slow endpoints are by comparing streams.

    A stream that is slower than the others passes one or more slow stages.
    Each of its samples could be the fault of any of its stages, but a stream
    at normal speed shows that all of its stages are fast. The slowness of an
    endpoint is therefore the smallest sample of the streams through it,
    including those of other instances.

    Examples
    --------
    >>> table = SpeedTable()
    >>> for second in range(4):
    ...     table.record({'a': 0.5, 'b': 0.5}, 1.0, second / 4)
    ...     table.record({'a': 0.5, 'c': 0.5}, 3.0, second / 4)
    ...     table.record({'d': 1.0}, 1.0, second / 4)
    >>> [table.get_slowness(run_id, 1.0) for run_id in ('a', 'b', 'c')]
    [1.0, 1.0, 5.0]
    """

    __slots__ = ('_baseline', '_baseline_at', '_ratios', '_samples', '_told')

    def __init__(self):
        # What other instances tell, by run.
        self._told = {}
        self._ratios = collections.deque()
        self._samples = {}
        self._baseline = 1.0
        self._baseline_at = None

    def record(self, shares, ratio, now):
        """Record a sample of a stream.

        Parameters
        ----------
        shares : dict
            Share of the expected time that each stage takes, by the run id
            of its endpoint; they sum to 1.
        ratio : float
            Measured time divided by the expected time.
        now : float
            Loop time, seconds.
        """
        self._ratios.append((now, ratio))
        _trim(self._ratios, now - _WINDOW_S)
        if len(self._ratios) < _MIN_STREAM_SAMPLES:
            return
        baseline = self._get_baseline(now)
        excess = ratio / baseline - 1.0
        for run_id, share in shares.items():
            samples = self._samples.setdefault(run_id, collections.deque())
            samples.append((now, 1.0 + excess / share))
            _trim(samples, now - _WINDOW_S)

    def _get_baseline(self, now):
        """Return the ratio of a stream without slow stages.

        This is the lower quartile: the fastest quarter of the streams
        passes no slow stage as long as only a few endpoints are slow.
        """
        computed_at = self._baseline_at
        if computed_at is None or now - computed_at >= _BASELINE_INTERVAL_S:
            ratios = [ratio for _, ratio in self._ratios]
            self._baseline, _, _ = statistics.quantiles(ratios, n=4)
            self._baseline_at = now
        return self._baseline

    def get_slowness(self, run_id, now):
        """Return an endpoint's time per step divided by the expected time.

        Returns
        -------
        float
            1 if the endpoint is not known to be slow.
        """
        told = self._told.get(run_id)
        if told is None:
            min_samples = _MIN_ENDPOINT_SAMPLES
            count, slowness, age_s = self._get_own(run_id, now, _WINDOW_S)
        else:
            min_samples = _MIN_SHARED_SAMPLES
            count, slowness, age_s = self._get_own(
                run_id, now, _SHARED_WINDOW_S
            )
            told_age_s = now - told.sampled_at
            if told_age_s < age_s - _SHARED_WINDOW_S:
                count, slowness = told.samples, told.slowness
            elif told_age_s <= age_s + _SHARED_WINDOW_S:
                count += told.samples
                slowness = min(slowness, told.slowness)
            age_s = min(age_s, told_age_s)
        if count < min_samples or age_s > _SLOW_EXPIRY_S:
            return 1.0
        if slowness < _MIN_SLOWNESS:
            return 1.0
        return min(slowness, _MAX_SLOWNESS)

    def _get_own(self, run_id, now, window_s):
        """Return the number of the last samples, the fastest, and their age.

        Parameters
        ----------
        window_s : float
            Time before the last sample within which samples count, seconds.
        """
        samples = self._samples.get(run_id)
        if not samples:
            return 0, _MAX_SLOWNESS, math.inf
        oldest = samples[-1][0] - window_s
        counted = [sample for at, sample in samples if at >= oldest]
        return len(counted), min(counted), now - samples[-1][0]

    def list_speeds(self, now):
        """Return what to tell other instances of the speed of endpoints.

        Returns
        -------
        dict of (str, int) to sniperudder.digests.Speed
            By run id.
        """
        speeds = {
            run_id: digests.Speed(
                *self._get_own(run_id, now, _SHARED_WINDOW_S)
            )
            for run_id in self._samples
        }
        recent = {
            run_id: speed
            for run_id, speed in speeds.items()
            if speed.age_s <= _SLOW_EXPIRY_S
        }
        return digests.merge_speeds([recent], [0.0])

    def set_told(self, speeds, now):
        """Store what other instances tell of the speed of endpoints.

        Parameters
        ----------
        speeds : dict of (str, int) to sniperudder.digests.Speed
        now : float
            Loop time, seconds.
        """
        self._told = {
            run_id: _ToldSpeed(told.samples, told.slowness, now - told.age_s)
            for run_id, told in speeds.items()
        }

    def keep_listed(self, run_ids):
        """Drop the samples of all runs except the listed ones.

        Parameters
        ----------
        run_ids : collection
            Ids of the runs that are still listed.
        """
        for run_id in list(self._samples):
            if run_id not in run_ids:
                del self._samples[run_id]


def _trim(samples, oldest):
    """Drop samples that were taken before a time."""
    while samples and samples[0][0] < oldest:
        samples.popleft()
