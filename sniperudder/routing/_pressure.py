"""Refusing the least urgent streams while all streams are slowed down.

Pattern: more streams are admitted than engines and pipes carry. Each of
them then pauses for too long, so that all of them come late and many are
left by their callers; the work is done and nobody is served. A stream
that was told at once to come back costs little. All instances measure
the pauses of their streams, tell each other, and shed the same share of
each rank, the least urgent first.
"""

import collections

# Share of a timely stream's longest pause above which an event counts as
# slow: the sign must come before streams are late.
_SLOW_SHARE = 0.6

# Shares of slow events above which more is shed, and below which less. A
# dead stage slows one event a stream, which stays below both.
_RISE_SHARE = 0.3
_FALL_SHARE = 0.15

# Steps of the level a second: all of one rank is shed within a second of
# pressure, and admitted again over two, as streams last about two.
_RISE_PER_S = 1.0
_FALL_PER_S = 0.5

# Fewest events that say something of the whole fleet.
_MIN_EVENTS = 20

# Largest share of a rank that is shed: no rank starves.
_MAX_SHED = 0.75

# Length of the window in which events are counted, seconds.
_WINDOW_S = 1.0


class PauseCounter:
    """Counts events of streams, and slow ones, in a sliding window."""

    __slots__ = ('_buckets',)

    _BUCKET_S = 0.25

    def __init__(self):
        # Number of a bucket, events, slow events; oldest first.
        self._buckets = collections.deque()

    def record_event(self, pause_s, goal_s, now):
        """Count an event by the pause before it.

        Parameters
        ----------
        pause_s : float
            Seconds.
        goal_s : float
            Longest pause of a timely stream, seconds; 0 where none is
            set.
        now : float
            Seconds.
        """
        number = int(now / self._BUCKET_S)
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append([number, 0, 0])
            self._trim(now)
        self._buckets[-1][1] += 1
        if 0 < goal_s * _SLOW_SHARE < pause_s:
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


def update_level(level, events, slow, elapsed_s, ranks):
    """Return the level of shedding after some time.

    Parameters
    ----------
    level : float
        From 0 (nothing is shed) to the number of ranks.
    events, slow : int
        Events of all instances in the last second, and slow ones.
    elapsed_s : float
        Seconds since the last update.
    ranks : int

    Returns
    -------
    float

    Examples
    --------
    >>> update_level(0.0, 100, 50, 0.25, 3)
    0.25
    >>> update_level(0.25, 100, 0, 0.25, 3)
    0.125
    """
    share = slow / events if events >= _MIN_EVENTS else 0.0
    if share > _RISE_SHARE:
        level += _RISE_PER_S * elapsed_s
    elif share < _FALL_SHARE:
        level -= _FALL_PER_S * elapsed_s
    return min(max(level, 0.0), float(ranks))


def get_shed_share(level, rank, ranks):
    """Return the share of a rank's requests that is refused.

    Parameters
    ----------
    level : float
    rank : int
        0 is the most urgent.
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
    return min(max(level - less_urgent, 0.0), _MAX_SHED)
