"""Rate-limited structured log of decisions."""

import time

import eliot

# A line takes about 10 us of CPU time, so this limits logging to 1 % of a
# core.
_MAX_LINES_PER_S = 1000


class Journal:
    """Writes structured log lines and counts those over the rate limit.

    Parameters
    ----------
    max_per_s : int
        Maximum number of lines per second.
    read_clock : callable
        Returns monotonic time, seconds.
    """

    __slots__ = (
        '_dropped',
        '_max_per_s',
        '_read_clock',
        '_second',
        '_written',
    )

    def __init__(self, max_per_s=_MAX_LINES_PER_S, read_clock=time.monotonic):
        self._max_per_s = max_per_s
        self._read_clock = read_clock
        self._second = 0
        self._written = 0
        self._dropped = 0

    def write(self, event, subject='', **fields):
        """Write a line unless the limit of this second is reached.

        Parameters
        ----------
        event : str
            ``object:event``, see docs/LOGS.md.
        subject : str
            Id of the request, endpoint or other object concerned.
        **fields
            Inputs of the decision, their age or version, and its outcome.
        """
        second = int(self._read_clock())
        if second != self._second:
            dropped, self._dropped = self._dropped, 0
            self._second, self._written = second, 0
            if dropped:
                eliot.log_message(message_type='log:dropped', lines=dropped)
        if self._written >= self._max_per_s:
            self._dropped += 1
            return
        self._written += 1
        eliot.log_message(message_type=event, subject=subject, **fields)
