"""Rejection of requests beyond the rate limits of all endpoints.

While every endpoint that may receive a request has a rate limit, their sum is
the capacity of the service. Without a choice, whoever comes first takes it,
and urgent requests are rejected as often as others. Each instance therefore
rejects the least urgent part of the requests that exceed its own share.
"""

import collections

from sniperudder import fleet
from sniperudder.routing import _restrictions

# Smallest share of a rank's requests that is admitted, so that no rank
# starves, as long as the capacity allows it.
_MIN_SHARE = 0.25

# Window in which the requests of each rank are counted, seconds.
_WINDOW_S = 4.0


class RankCounter:
    """Counts the requests of each rank in a sliding window.

    Examples
    --------
    >>> counter = RankCounter()
    >>> for at in (0.0, 0.5, 1.0, 9.0):
    ...     counter.record_request(0, at)
    >>> counter.get_rates(9.0)
    {0: 0.25}
    """

    __slots__ = ('_times',)

    def __init__(self):
        self._times = {}

    def record_request(self, rank, now):
        """Count a request of a rank at a time, seconds."""
        self._times.setdefault(rank, collections.deque()).append(now)
        self._trim(now)

    def get_rates(self, now):
        """Return the requests per second by rank."""
        self._trim(now)
        return {
            rank: len(times) / _WINDOW_S
            for rank, times in self._times.items()
            if times
        }

    def _trim(self, now):
        for times in self._times.values():
            while times and times[0] <= now - _WINDOW_S:
                times.popleft()


def get_limited_capacity(T, endpoints, now):
    """Return this instance's share of the rate limits of all endpoints.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    endpoints : iterable of sniperudder.fleet.Endpoint
        Those that may receive a request.
    now : float
        Time of `sniperudder.clocks.read_clock`, seconds.

    Returns
    -------
    float or None
        Requests per second; None if an endpoint without a limit is open, or
        none at all.
    """
    open_runs = [
        (endpoint.id, endpoint.born_ms)
        for endpoint in endpoints
        if _restrictions.is_open(T, endpoint, now)
    ]
    if not open_runs:
        return None
    if any(T.notices.get(run_id).rate_limit is None for run_id in open_runs):
        return None
    empty = fleet.Quota(0.0, 0.0, now)
    return sum(
        T.quotas.quotas.get(run_id, empty).per_s for run_id in open_runs
    )


def compute_admitted_shares(rates, capacity_per_s):
    """Return the share of each rank's requests that fits in a capacity.

    Parameters
    ----------
    rates : dict of int to float
        Requests per second by rank; 0 is the most urgent.
    capacity_per_s : float
        Requests per second.

    Returns
    -------
    dict of int to float

    Examples
    --------
    >>> compute_admitted_shares({0: 4.0, 1: 4.0, 2: 4.0}, 7.0)
    {0: 1.0, 1: 0.5, 2: 0.25}
    >>> compute_admitted_shares({0: 4.0, 1: 4.0}, 9.0)
    {0: 1.0, 1: 1.0}
    """
    total = sum(rates.values())
    if total <= capacity_per_s:
        return dict.fromkeys(rates, 1.0)
    smallest = min(_MIN_SHARE, capacity_per_s / total)
    left_per_s = capacity_per_s - smallest * total
    shares = {}
    for rank in sorted(rates):
        wanted_per_s = (1.0 - smallest) * rates[rank]
        added_per_s = min(wanted_per_s, left_per_s)
        left_per_s -= added_per_s
        shares[rank] = smallest + added_per_s / rates[rank]
    return shares
