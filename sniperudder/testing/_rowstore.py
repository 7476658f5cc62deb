"""In-memory fake of the table service, without latency or network."""

from sniperudder import effects
from sniperudder import inputs


class RowStore:
    """Versioned rows; transactions are serialisable.

    Attributes
    ----------
    rows : dict of str to Row
    era : int
        Rises with each restoration.
    counts : dict of str to int
        Numbers of transactions with writes, of rows written, of
        transactions without writes, of rows returned, and of conflicts.
    """

    __slots__ = ('counts', 'era', 'rows')

    def __init__(self):
        self.rows = {}
        self.era = 1
        self.counts = {
            'write_transactions': 0,
            'rows_written': 0,
            'read_transactions': 0,
            'rows_given': 0,
            'conflicts': 0,
        }

    def transact(self, call):
        """Run a transaction and return its outcome."""
        kind = 'write_transactions' if call.writes else 'read_transactions'
        self.counts[kind] += 1
        for condition in call.conditions:
            row = self.rows.get(condition.key)
            version = 0 if row is None else row.version
            if version != condition.version:
                self.counts['conflicts'] += 1
                rows = self._return_rows(_list_keys(call))
                return inputs.Conflicted(rows, self.era)
        for write in call.writes:
            self._write(write)
        return inputs.Committed(self._return_rows(call.reads), self.era)

    def restore(self, rows):
        """Return to earlier rows, in a new era."""
        self.rows = dict(rows)
        self.era += 1

    def _write(self, write):
        self.counts['rows_written'] += 1
        if write.value is None:
            self.rows.pop(write.key, None)
            return
        row = self.rows.get(write.key)
        version = 1 if row is None else row.version + 1
        self.rows[write.key] = effects.Row(write.key, write.value, version)

    def _return_rows(self, keys):
        rows = tuple(self.rows[key] for key in keys if key in self.rows)
        self.counts['rows_given'] += len(rows)
        return rows


def _list_keys(call):
    keys = [condition.key for condition in call.conditions]
    return keys + [key for key in call.reads if key not in keys]
