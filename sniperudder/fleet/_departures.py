"""Runs of endpoints that have left, in case that an old row lists them."""

# Time for which a run that has left is remembered, seconds: longer than the
# age of the copies from which the platform restores its store.
_REMEMBERED_S = 120.0

# Number of runs that are remembered; those that left first are dropped first.
_MAX_RUNS = 20_000


class DepartureTable:
    """Runs that have left, and those among them that a copy may list.

    A run is the id and the start time of an endpoint, see `Endpoint`. Times
    are those of `sniperudder.clocks.read_clock`, seconds.

    Parameters
    ----------
    expiry_s : float
        Time after which the platform removes the entry of an endpoint that
        does not write it. A run that is still listed then is live.

    Examples
    --------
    >>> departures = DepartureTable(5.0)
    >>> departures.record_removed(('gpu-1', 1), 10.0)
    >>> departures.has_left(('gpu-1', 1), 11.0)
    False
    >>> departures.begin_restoration(12.0)
    >>> departures.has_left(('gpu-1', 1), 13.0)
    True
    >>> departures.has_left(('gpu-1', 1), 18.0)
    False
    """

    __slots__ = ('_doubted_until', '_expiry_s', '_leaving', '_removed')

    def __init__(self, expiry_s):
        self._expiry_s = expiry_s
        # Times of leaving by run.
        self._leaving = {}
        self._removed = {}
        # Time until which an entry of a removed run is taken for an old one;
        # None unless the store has been restored.
        self._doubted_until = None

    def record_leaving(self, run_id, now):
        """Record that an endpoint announced that it leaves."""
        _record(self._leaving, run_id, now)

    def record_removed(self, run_id, now):
        """Record that the entry of a run was removed."""
        _record(self._removed, run_id, now)

    def record_written(self, run_id):
        """Record that a run has written its entry, and so is live.

        Returns
        -------
        bool
            Whether its entry had been removed.
        """
        return self._removed.pop(run_id, None) is not None

    def begin_restoration(self, now):
        """Doubt the entries of runs that left before the store was lost."""
        self._doubted_until = now + self._expiry_s
        for runs in (self._leaving, self._removed):
            for run_id, left_at in list(runs.items()):
                if left_at < now - _REMEMBERED_S:
                    del runs[run_id]

    def has_left(self, run_id, now):
        """Return whether an entry that says otherwise is an old one.

        An endpoint that has announced its departure does not come back. One
        whose entry was removed may have been silent only.
        """
        if self._doubted_until is None:
            return False
        if run_id in self._leaving:
            return True
        return now < self._doubted_until and run_id in self._removed


def _record(runs, run_id, now):
    runs.pop(run_id, None)
    runs[run_id] = now
    if len(runs) > _MAX_RUNS:
        del runs[next(iter(runs))]
