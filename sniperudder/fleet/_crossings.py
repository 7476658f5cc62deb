"""What passes between data centres."""

import collections

# Length of the window over which a rate is taken, seconds: about the life
# of a stream, whose tokens pass over all of it.
_WINDOW_S = 2.0


class CrossingCounter:
    """Counts the tokens that this instance sends between data centres.

    Examples
    --------
    >>> crossings = CrossingCounter()
    >>> crossings.record(('como', 'milano'), 1000.0, 0.0)
    >>> crossings.get_rate(('como', 'milano'), 1.0)
    500.0
    >>> crossings.get_rate(('como', 'milano'), 3.0)
    0.0
    """

    __slots__ = ('_passed', '_sums')

    def __init__(self):
        self._passed = collections.deque()
        self._sums = collections.Counter()

    def record(self, pair, tokens, now):
        """Count the tokens of a request.

        Parameters
        ----------
        pair : (str, str)
            Names of the data centres, in order.
        tokens : float
        now : float
            Seconds.
        """
        self._passed.append((now, pair, tokens))
        self._sums[pair] += tokens
        self._trim(now)

    def get_rate(self, pair, now):
        """Return the tokens a second between two data centres."""
        self._trim(now)
        return self._sums.get(pair, 0.0) / _WINDOW_S

    def list_rates(self, now):
        """Return the tokens a second by pair."""
        self._trim(now)
        return {
            pair: tokens / _WINDOW_S
            for pair, tokens in self._sums.items()
            if tokens > 0
        }

    def _trim(self, now):
        while self._passed and self._passed[0][0] <= now - _WINDOW_S:
            _, pair, tokens = self._passed.popleft()
            self._sums[pair] -= tokens
            if self._sums[pair] <= 0:
                del self._sums[pair]


def list_crossings(parts):
    """Return the pairs of data centres that a chain passes between.

    Parameters
    ----------
    parts : sequence of Part

    Returns
    -------
    list of (str, str)
        A pair stands as often as it is passed; names are in order.
    """
    centres = [part.endpoint.data_centre for part in parts]
    return [
        tuple(sorted(pair))
        for pair in zip(centres, centres[1:])
        if pair[0] != pair[1]
    ]
