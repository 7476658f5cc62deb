"""Traffic between data centres.

A crossing is a hop between two consecutive stages of a chain that are in
different data centres.
"""

import collections

# Length of the window over which rates are averaged, seconds: about the
# duration of a stream, over which its tokens are spread.
_WINDOW_S = 2.0


class CrossingCounter:
    """Counts the tokens that this instance's requests send over crossings.

    Examples
    --------
    >>> crossings = CrossingCounter()
    >>> crossings.record(('como', 'milano'), 1000.0, 0.0)
    >>> crossings.get_rate(('como', 'milano'), 1.0)
    500.0
    >>> crossings.get_rate(('como', 'milano'), 3.0)
    0.0
    """

    __slots__ = ('_entries', '_totals')

    def __init__(self):
        self._entries = collections.deque()
        self._totals = collections.Counter()

    def record(self, pair, tokens, now):
        """Count the tokens of a request for one crossing.

        Parameters
        ----------
        pair : (str, str)
            Names of the data centres, sorted.
        tokens : float
        now : float
            Loop time, seconds.
        """
        self._entries.append((now, pair, tokens))
        self._totals[pair] += tokens
        self._trim(now)

    def get_rate(self, pair, now):
        """Return the tokens per second between two data centres."""
        self._trim(now)
        return self._totals.get(pair, 0.0) / _WINDOW_S

    def list_rates(self, now):
        """Return the tokens per second by pair of data centres."""
        self._trim(now)
        return {
            pair: tokens / _WINDOW_S
            for pair, tokens in self._totals.items()
            if tokens > 0
        }

    def _trim(self, now):
        while self._entries and self._entries[0][0] <= now - _WINDOW_S:
            _, pair, tokens = self._entries.popleft()
            self._totals[pair] -= tokens
            if self._totals[pair] <= 0:
                del self._totals[pair]


def list_crossings(stages):
    """Return the pairs of data centres between which a chain passes.

    Parameters
    ----------
    stages : sequence of Stage

    Returns
    -------
    list of (str, str)
        One pair for each crossing; the names in a pair are sorted.
    """
    data_centres = [stage.endpoint.data_centre for stage in stages]
    return [
        tuple(sorted(pair))
        for pair in zip(data_centres, data_centres[1:])
        if pair[0] != pair[1]
    ]
