"""Extrapolation of the loads that sums tell.

Sums are up to a second old. While demand rises, all instances see the load of
the same moment, and all choose the endpoints that were least loaded then.
"""

import collections

from sniperudder.digests import _records

# Span over which the change of loads is measured, seconds: about two sums.
_SPAN_S = 0.5

# Time ahead of a sum for which loads are extrapolated, seconds: its usual age
# when a decision is made.
_HORIZON_S = 0.6


class LoadTrend:
    """Extrapolates loads from the sums of the last half second.

    Only rising loads are extrapolated: one that falls may rise again before
    the next sum.

    Examples
    --------
    >>> trend = LoadTrend()
    >>> trend.record({'gpu-1': _records.Load(10, 1000.0)}, 0.0)
    >>> trend.record({'gpu-1': _records.Load(20, 3000.0)}, 0.5)
    >>> trend.get_load('gpu-1')
    Load(requests=32, token_layers=5400.0)
    >>> trend.get_load('gpu-2')
    Load(requests=0, token_layers=0.0)
    """

    __slots__ = ('_ahead', '_samples')

    def __init__(self):
        # Time and loads of recent sums, oldest first.
        self._samples = collections.deque()
        self._ahead = {}

    def clear(self):
        """Forget all sums."""
        self._samples.clear()
        self._ahead = {}

    def record(self, loads, now):
        """Add a sum.

        Parameters
        ----------
        loads : dict of str to Load
            By endpoint id.
        now : float
            Seconds.
        """
        while len(self._samples) > 1 and (
            self._samples[1][0] <= now - _SPAN_S
        ):
            self._samples.popleft()
        self._samples.append((now, loads))
        then, before = self._samples[0]
        if now <= then:
            self._ahead = loads
            return
        factor = _HORIZON_S / (now - then)
        nothing = _records.Load(0, 0.0)
        self._ahead = {
            name: _extrapolate(before.get(name, nothing), load, factor)
            for name, load in loads.items()
        }

    def get_load(self, endpoint):
        """Return the load that an endpoint probably has now."""
        return self._ahead.get(endpoint, _records.Load(0, 0.0))


def _extrapolate(before, load, factor):
    added_requests = max(load.requests - before.requests, 0)
    added_token_layers = max(load.token_layers - before.token_layers, 0.0)
    return _records.Load(
        load.requests + round(added_requests * factor),
        load.token_layers + added_token_layers * factor,
    )
