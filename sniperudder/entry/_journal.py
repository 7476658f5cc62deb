"""Rate-limited structured log of decisions."""

import collections
import time

import eliot

# A line takes about 10 us of CPU time, so this limits logging to 1 % of a
# core.
_MAX_LINES_PER_S = 1000

# Events that callers can cause at any rate, and the number of lines per second
# that each of them takes at most. The metrics count all.
_CALLER_EVENTS = frozenset({'connection:closed', 'request:unread'})
_MAX_CALLER_LINES_PER_S = 50


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
        '_caller_lines',
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
        # Lines of this second by event that callers cause.
        self._caller_lines = collections.Counter()
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
            self._caller_lines.clear()
            if dropped:
                eliot.log_message(message_type='log:dropped', lines=dropped)
        if event in _CALLER_EVENTS:
            self._caller_lines[event] += 1
        if (
            self._written >= self._max_per_s
            or self._caller_lines[event] > _MAX_CALLER_LINES_PER_S
        ):
            self._dropped += 1
            return
        self._written += 1
        eliot.log_message(message_type=event, subject=subject, **fields)
