"""Log lines of decisions, bounded in number."""

import time

import eliot

# Lines in a second that a process writes at most: a line takes about
# 10 us of processor time, so this bounds the log at 1 % of a core.
_MAX_LINES_PER_S = 1000


class Journal:
    """Writes structured lines, and counts those beyond the bound.

    Parameters
    ----------
    max_per_s : int
    read_clock : callable
        Monotonic time, seconds.
    """

    __slots__ = ('_dropped', '_max_per_s', '_read_clock', '_second', '_used')

    def __init__(self, max_per_s=_MAX_LINES_PER_S, read_clock=time.monotonic):
        self._max_per_s = max_per_s
        self._read_clock = read_clock
        self._second = 0
        self._used = 0
        self._dropped = 0

    def write(self, event, subject='', **fields):
        """Write one line, unless this second's are used up.

        Parameters
        ----------
        event : str
            ``subject:verb``, see docs/LOGS.md.
        subject : str
            Request id, endpoint id, or what else it is about.
        **fields
            Inputs of the decision, their age or version, the outcome.
        """
        second = int(self._read_clock())
        if second != self._second:
            dropped, self._dropped = self._dropped, 0
            self._second, self._used = second, 0
            if dropped:
                eliot.log_message(message_type='log:dropped', lines=dropped)
        if self._used >= self._max_per_s:
            self._dropped += 1
            return
        self._used += 1
        eliot.log_message(message_type=event, subject=subject, **fields)
