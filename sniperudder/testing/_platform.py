"""A table service and instance list in memory."""

import bisect

from sniperudder.effects import Row
from sniperudder.inputs import Committed
from sniperudder.inputs import Conflicted
from sniperudder.inputs import ListedInstance


class FakePlatform:
    """Keeps rows with all their earlier states.

    Attributes
    ----------
    up : bool
        Whether it answers at all.
    lose_request, lose_answer : float
        Probability that a call gets lost on its way there or back.
    delay_s : float
        Longest delay of each way; the delay is drawn uniformly.
    scan_lag_s, list_lag_s : float
        Age of what scans and the list of instances show.
    unlisted : set of str
        Instances that the list leaves out although they run.
    """

    def __init__(self):
        self.up = True
        self.lose_request = 0.0
        self.lose_answer = 0.0
        self.delay_s = 0.005
        self.scan_lag_s = 0.0
        self.list_lag_s = 0.0
        self.unlisted = set()
        self._states = {}
        self._lives = {}

    def transact(self, call, now):
        """Run a transaction.

        Returns
        -------
        Committed or Conflicted
        """
        keys = [*call.reads, *(cond.key for cond in call.conditions)]
        if not all(self._holds(cond) for cond in call.conditions):
            return Conflicted(self._read_rows(keys))
        for write in call.writes:
            self._write(write, now)
        return Committed(self._read_rows(call.reads))

    def read(self, key):
        """Return a row as it stands, or None."""
        states = self._states.get(key)
        return states[-1][1] if states else None

    def _holds(self, condition):
        row = self.read(condition.key)
        return (row.version if row else 0) == condition.version

    def _read_rows(self, keys):
        rows = (self.read(key) for key in dict.fromkeys(keys))
        return tuple(row for row in rows if row is not None)

    def _write(self, write, now):
        states = self._states.setdefault(write.key, [])
        version = states[-1][2] + 1 if states else 1
        row = None
        if write.value is not None:
            row = Row(write.key, write.value, version)
        states.append((now, row, version))

    def scan(self, call, now):
        """Read rows in key order, as they stood some time ago."""
        seen_at = now - self.scan_lag_s
        rows = []
        for key in sorted(self._states):
            if key <= call.after or not key.startswith(call.prefix):
                continue
            row = self._read_at(key, seen_at)
            if row is not None:
                rows.append(row)
        return tuple(rows[: call.limit])

    def _read_at(self, key, time):
        states = self._states[key]
        index = bisect.bisect_right([s[0] for s in states], time)
        return states[index - 1][1] if index else None

    def note_start(self, name, address, data_centre, now):
        """Take in that an instance was started."""
        entry = ListedInstance(name, address, data_centre)
        self._lives[name, now] = [entry, now, float('inf')]

    def note_end(self, name, now):
        """Take in that an instance has ended."""
        for life in self._lives.values():
            if life[0].name == name and life[2] == float('inf'):
                life[2] = now

    def list_instances(self, now):
        """Return the instances that ran some time ago."""
        seen_at = now - self.list_lag_s
        return tuple(
            entry
            for entry, start, end in self._lives.values()
            if start <= seen_at < end and entry.name not in self.unlisted
        )
