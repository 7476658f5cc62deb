"""Budget of retries that all instances share.

When endpoints fail, every instance retries, which takes capacity from
first attempts and makes more requests fail. Each instance spends only its
own part of the budget: the ratio applied to the requests that it received
itself, and an equal part of the slack. The sum therefore stays within the
budget even when instances cannot reach each other.
"""

import collections
import itertools

# Fraction of the budget that is used. The budget also applies to windows that
# begin later than this one, and these may contain fewer of its requests.
_SAFETY_FACTOR = 0.8

# Number of instances among which the slack is divided: the known instances and
# a margin of half for those not discovered yet, but at least 1.5 times the
# number of instances that the users run.
_MIN_INSTANCES = 12.0
_INSTANCE_MARGIN_FACTOR = 1.5


def get_slack_share(slack, instances):
    """Return the part of the slack that one instance may spend.

    Parameters
    ----------
    slack : float
        Number of retries beyond the ratio in a window, over all instances.
    instances : int or None
        Number of known instances; None while the platform's list of them has
        not been read.

    Returns
    -------
    float

    Examples
    --------
    >>> [get_slack_share(600.0, instances) for instances in (8, 100, None)]
    [50.0, 4.0, 0.0]
    """
    if instances is None:
        # There may be any number of instances that all start now.
        return 0.0
    return slack / max(_MIN_INSTANCES, _INSTANCE_MARGIN_FACTOR * instances)


class RetryBudget:
    """Requests and retries to one service in a sliding window.

    Parameters
    ----------
    ratio : float
        Retries per request.
    window_s : float
        Length of the window, seconds.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.2, window_s=10.0)
    >>> [budget.spend(now, 1.5) for now in (0.0, 1.0, 11.0)]
    [True, False, True]
    """

    __slots__ = ('_ratio', '_requests', '_retries', '_window_s')

    def __init__(self, ratio, window_s):
        self._ratio = ratio
        self._window_s = window_s
        self._requests = collections.deque()
        self._retries = collections.deque()

    def set_limits(self, ratio, window_s):
        """Change the ratio and the window; past requests still count."""
        self._ratio = ratio
        self._window_s = window_s

    def record_request(self, now):
        """Count a request."""
        self._requests.append(now)
        self._trim(now)

    def get_request_rate(self, now, window_s):
        """Return the requests per second in the last seconds.

        Parameters
        ----------
        now : float
            Loop time, seconds.
        window_s : float
            At most the window of the budget.
        """
        recent = itertools.takewhile(
            lambda at: at > now - window_s, reversed(self._requests)
        )
        return sum(1 for _ in recent) / window_s

    def spend(self, now, slack):
        """Take one retry from the budget if it is not exhausted.

        Parameters
        ----------
        now : float
            Loop time, seconds.
        slack : float
            Number of retries beyond the ratio that this instance may make
            in a window.

        Returns
        -------
        bool
            Whether the retry is allowed.
        """
        if not self.has_left(now, slack):
            return False
        self._retries.append(now)
        return True

    def give_back(self):
        """Return the last retry, which was not sent."""
        if self._retries:
            self._retries.pop()

    def has_left(self, now, slack):
        """Return whether `spend` would allow a retry."""
        self._trim(now)
        allowed = self._ratio * len(self._requests) + slack
        return len(self._retries) + 1 <= allowed * _SAFETY_FACTOR

    def _trim(self, now):
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window_s:
                times.popleft()
