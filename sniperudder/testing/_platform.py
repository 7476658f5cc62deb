"""In-memory fake of the table service and the list of instances."""

import bisect

from sniperudder.effects import Row
from sniperudder.inputs import Committed
from sniperudder.inputs import Conflicted
from sniperudder.inputs import ListedInstance


class FakePlatform:
    """Keeps rows with their history, so that scans can be stale.

    Attributes
    ----------
    up : bool
        Whether it is available.
    era : int
        Rises with each restoration.
    lose_request, lose_answer : float
        Probability that a request or its answer is lost.
    delay_s : float
        Maximum one-way delay, seconds; delays are drawn uniformly.
    scan_lag_s, list_lag_s : float
        Age of the data that scans and the list of instances return,
        seconds.
    unlisted : set of str
        Running instances that the list omits.
    """

    def __init__(self):
        self.up = True
        self.era = 1
        self.lose_request = 0.0
        self.lose_answer = 0.0
        self.delay_s = 0.005
        self.scan_lag_s = 0.0
        self.list_lag_s = 0.0
        self.unlisted = set()
        self._states = {}
        self._lifetimes = {}

    def transact(self, call, now):
        """Run a transaction.

        Returns
        -------
        Committed or Conflicted
        """
        keys = [*call.reads, *(condition.key for condition in call.conditions)]
        if not all(self._is_met(condition) for condition in call.conditions):
            return Conflicted(self._read_rows(keys), self.era)
        for write in call.writes:
            self._write(write, now)
        return Committed(self._read_rows(call.reads), self.era)

    def restore(self, copied_at):
        """Return to the rows of an earlier time, in a new era."""
        for key, states in list(self._states.items()):
            kept = [state for state in states if state[0] <= copied_at]
            if kept:
                self._states[key] = kept
            else:
                del self._states[key]
        self.era += 1

    def read(self, key):
        """Return the current state of a row, or None."""
        states = self._states.get(key)
        return states[-1][1] if states else None

    def _is_met(self, condition):
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
        """Return rows in key order, as of ``scan_lag_s`` ago."""
        as_of = now - self.scan_lag_s
        rows = []
        for key in sorted(self._states):
            if key <= call.after or not key.startswith(call.prefix):
                continue
            row = self._read_at(key, as_of)
            if row is not None:
                rows.append(row)
        return tuple(rows[: call.limit])

    def _read_at(self, key, time):
        states = self._states[key]
        index = bisect.bisect_right([s[0] for s in states], time)
        return states[index - 1][1] if index else None

    def record_start(self, name, address, data_centre, now):
        """Record the start of an instance."""
        listed = ListedInstance(name, address, data_centre)
        self._lifetimes[name, now] = [listed, now, float('inf')]

    def record_end(self, name, now):
        """Record the end of an instance."""
        for lifetime in self._lifetimes.values():
            if lifetime[0].name == name and lifetime[2] == float('inf'):
                lifetime[2] = now

    def list_instances(self, now):
        """Return the instances that ran ``list_lag_s`` ago."""
        as_of = now - self.list_lag_s
        return tuple(
            listed
            for listed, start, end in self._lifetimes.values()
            if start <= as_of < end and listed.name not in self.unlisted
        )
