"""The budget of repeated sends that all instances share.

Pattern: failing endpoints make every instance send again, which takes
room from first sends and makes more requests fail. Each instance spends
only its own part: the ratio of the requests that it has seen itself, and
an equal part of the slack, so the sum stays within the budget also when
instances cannot reach each other.
"""

import collections

# Part of the promised budget that is spent: requests counted here may
# still be missing in a window that began later.
_SPENT_SHARE = 0.8


class RepeatBudget:
    """Sends and repeated sends to one service in a sliding window.

    Parameters
    ----------
    ratio : float
        Repeated sends per request.
    window_s : float
        Seconds.

    Examples
    --------
    >>> budget = RepeatBudget(ratio=0.2, window_s=10.0)
    >>> [budget.spend(now, 1.5) for now in (0.0, 1.0, 11.0)]
    [True, False, True]
    """

    __slots__ = ('_first', '_ratio', '_repeated', '_window_s')

    def __init__(self, ratio, window_s):
        self._ratio = ratio
        self._window_s = window_s
        self._first = collections.deque()
        self._repeated = collections.deque()

    def set_bounds(self, ratio, window_s):
        """Go on with another ratio and window."""
        self._ratio = ratio
        self._window_s = window_s

    def record_request(self, now):
        """Count a request."""
        self._first.append(now)
        self._trim(now)

    def spend(self, now, slack):
        """Take one repeated send from the budget, if it holds one.

        Parameters
        ----------
        now : float
            Seconds.
        slack : float
            This instance's part of what is allowed beyond the ratio.

        Returns
        -------
        bool
        """
        self._trim(now)
        allowed = self._ratio * len(self._first) + slack
        if len(self._repeated) + 1 > allowed * _SPENT_SHARE:
            return False
        self._repeated.append(now)
        return True

    def _trim(self, now):
        for times in (self._first, self._repeated):
            while times and times[0] <= now - self._window_s:
                times.popleft()
