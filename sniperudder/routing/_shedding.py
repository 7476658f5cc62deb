"""Load shedding of the least urgent streams in an overloaded fleet.

When more streams are admitted than engines and links can carry, the gaps
between the events of all streams grow, so that all are late and callers
abandon many of them; the work is then wasted. Refusing a stream at once
costs little, since its caller can retry later. All instances measure the
gaps of their streams, exchange the results, and shed the same share of each
rank, starting with the least urgent one.
"""

import collections

# Share of the longest gap of a timely stream above which an event counts
# as slow: shedding has to start before streams are late.
_SLOW_SHARE = 0.6

# Shares of slow events above which the level rises, and below which it
# falls. A dead stage makes one event of each of its streams slow, which
# stays below both.
_RISE_SHARE = 0.3
_FALL_SHARE = 0.15

# Change of the shedding level per second: a whole rank is shed within one
# second of overload, and admitted again within two, since a stream lasts about
# two.
_RISE_PER_S = 1.0
_FALL_PER_S = 0.5

# Fewest events from which the state of the whole fleet is derived.
_MIN_EVENTS = 20

# Largest share of a rank that is shed, so that no rank starves.
_MAX_SHED_SHARE = 0.75

# Length of the window in which events are counted, seconds.
_WINDOW_S = 1.0


class GapCounter:
    """Counts events of streams, and slow ones, in a sliding window.

    An event is slow if the gap before it was long; see `record_event`.
    """

    __slots__ = ('_buckets',)

    _BUCKET_S = 0.25

    def __init__(self):
        # Number of the bucket, events, slow events; oldest first.
        self._buckets = collections.deque()

    def record_event(self, gap_s, gap_target_s, now):
        """Count an event by the gap before it.

        Parameters
        ----------
        gap_s : float
            Time since the previous event of the stream, seconds.
        gap_target_s : float
            Longest gap between events of a timely stream, seconds; 0 if
            the route has no such target.
        now : float
            Loop time, seconds.
        """
        number = int(now / self._BUCKET_S)
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append([number, 0, 0])
            self._trim(now)
        self._buckets[-1][1] += 1
        if 0 < gap_target_s * _SLOW_SHARE < gap_s:
            self._buckets[-1][2] += 1

    def count(self, now):
        """Return the numbers of events and of slow events."""
        self._trim(now)
        events = sum(bucket[1] for bucket in self._buckets)
        return events, sum(bucket[2] for bucket in self._buckets)

    def _trim(self, now):
        oldest = int((now - _WINDOW_S) / self._BUCKET_S)
        while self._buckets and self._buckets[0][0] < oldest:
            self._buckets.popleft()


def update_shedding_level(level, events, slow_events, elapsed_s, ranks):
    """Return the shedding level after some time.

    Parameters
    ----------
    level : float
        From 0, at which nothing is shed, to the number of ranks.
    events, slow_events : int
        Events of all instances in the last second, and slow ones of them.
    elapsed_s : float
        Time since the last update, seconds.
    ranks : int
        Number of ranks in use.

    Returns
    -------
    float

    Examples
    --------
    >>> update_shedding_level(0.0, 100, 50, 0.25, 3)
    0.25
    >>> update_shedding_level(0.25, 100, 0, 0.25, 3)
    0.125
    """
    share = slow_events / events if events >= _MIN_EVENTS else 0.0
    if share > _RISE_SHARE:
        level += _RISE_PER_S * elapsed_s
    elif share < _FALL_SHARE:
        level -= _FALL_PER_S * elapsed_s
    return min(max(level, 0.0), float(ranks))


def get_shed_share(level, rank, ranks):
    """Return the share of a rank's requests to refuse.

    Parameters
    ----------
    level : float
        See `update_shedding_level`.
    rank : int
        Priority rank; 0 is the most urgent.
    ranks : sequence of int
        All ranks in use.

    Returns
    -------
    float

    Examples
    --------
    >>> [get_shed_share(1.5, rank, [0, 1, 2]) for rank in (0, 1, 2)]
    [0.0, 0.5, 0.75]
    """
    less_urgent = sum(other > rank for other in set(ranks))
    return min(max(level - less_urgent, 0.0), _MAX_SHED_SHARE)
