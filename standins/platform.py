"""Stand-in for the platform.

Serves the table service, the object store and the list of instances.
"""

import bisect
import json
import threading
import time

import defopt

from standins import serving

__all__ = ['Platform', 'main']

_HISTORY_S = 120.0


class Platform(serving.Standin):
    """In-memory services of the platform.

    Parameters
    ----------
    scan_lag_s : float
        Age of the data that scans return, seconds.
    list_lag_s : float
        Age of the list of instances, seconds.
    writes_per_s, reads_per_s : float
        Rows that the table service writes and returns per second at
        most; calls above the rate wait. 0 means no limit.
    crash : callable, optional
    """

    def __init__(
        self,
        scan_lag_s=0.0,
        list_lag_s=0.0,
        writes_per_s=0.0,
        reads_per_s=0.0,
        crash=None,
    ):
        super().__init__(crash)
        self._writes = _RateLimit(writes_per_s)
        self._reads = _RateLimit(reads_per_s)
        self._scan_lag_s = scan_lag_s
        self._list_lag_s = list_lag_s
        self._lock = threading.Lock()
        self._rows = _History()
        self._instances = _History()
        self._objects = {}
        self._log = []
        self._era = 1

    def answer(self, call):
        """See base class."""
        answer = self._answer(call)
        answer.headers['X-Platform-Era'] = str(self._era)
        return answer

    def _answer(self, call):
        if call.path == '/transactions':
            return self._transact(call)
        if call.path == '/restore':
            return self._restore(json.loads(call.body)['age_s'])
        if call.path == '/rows':
            return self._scan(call.query)
        if call.path.startswith('/objects/'):
            return self._answer_object(call)
        if call.path == '/instances' or call.path.startswith('/instances/'):
            return self._answer_instances(call)
        if call.path == '/log':
            return serving.answer_json(self._log)
        return serving.answer_not_run(404, 'no such path')

    def _transact(self, call):
        body = _read_transaction(call.body)
        name = call.headers.get('x-call-id', '')
        conditions = [(c['key'], c['version']) for c in body['conditions']]
        writes = [(w['key'], w['value']) for w in body['writes']]
        keys = list(body['reads'])
        self.gate.pause(self._writes.reserve(len(writes)))
        self.gate.pause(self._reads.reserve(len(conditions) + len(keys)))
        with self._lock:
            committed = all(
                self._rows.version(key) == version
                for key, version in conditions
            )
            if committed:
                for key, value in writes:
                    self._rows.write(key, value)
            else:
                keys += [key for key, _ in conditions]
            self._log.append(
                {
                    'call': name,
                    'committed': committed,
                    'writes': body['writes'] if committed else [],
                }
            )
            rows = [self._rows.read(key) for key in dict.fromkeys(keys)]
        return serving.answer_json(
            {
                'committed': committed,
                'rows': [row for row in rows if row],
            }
        )

    def _restore(self, age_s):
        """Return to the rows of some seconds ago, in a new era."""
        with self._lock:
            self._rows.restore(time.monotonic() - age_s)
            self._era += 1
        return serving.answer_json({'era': self._era})

    def _scan(self, query):
        prefix, after = query.get('prefix', ''), query.get('after', '')
        limit = int(query['limit'])
        lag = max(self._scan_lag_s, self.gate.faults.lag_s)
        with self._lock:
            rows = self._rows.scan(prefix, after, limit, lag)
        self.gate.pause(self._reads.reserve(len(rows)))
        return serving.answer_json({'rows': rows})

    def _answer_object(self, call):
        name = call.path.removeprefix('/objects/')
        with self._lock:
            if call.method == 'PUT':
                self._objects[name] = call.body
                return serving.answer_json({'stored': len(call.body)})
            data = self._objects.get(name)
        if data is None:
            return serving.answer_not_run(404, 'no such object')
        return serving.Answer(200, data)

    def _answer_instances(self, call):
        name = call.path.removeprefix('/instances').removeprefix('/')
        with self._lock:
            if call.method == 'PUT':
                entry_fields = json.loads(call.body)
                entry = {
                    'name': name,
                    'address': entry_fields['address'],
                    'data_centre': entry_fields['data_centre'],
                    'leaving': bool(entry_fields.get('leaving', False)),
                }
                self._instances.write(name, json.dumps(entry))
                return serving.answer_json({})
            if call.method == 'DELETE':
                self._instances.write(name, None)
                return serving.answer_json({})
            lag = max(self._list_lag_s, self.gate.faults.lag_s)
            rows = self._instances.scan('', '', len(self._instances), lag)
        listed = [json.loads(row['value']) for row in rows]
        return serving.answer_json({'instances': listed})


def _read_transaction(body):
    """Return a transaction; check all of it before any write."""
    value = json.loads(body)
    kinds = {type(c['version']) for c in value['conditions']} - {int}
    kinds |= {type(w['value']) for w in value['writes']} - {str, type(None)}
    kinds |= {type(c['key']) for c in value['conditions']} - {str}
    kinds |= {type(w['key']) for w in value['writes']} - {str}
    kinds |= {type(key) for key in value['reads']} - {str}
    if kinds:
        raise TypeError('a field of the transaction has the wrong type')
    return value


class _RateLimit:
    """Limits the rate of rows by spacing calls evenly."""

    def __init__(self, rows_per_s):
        self._rows_per_s = rows_per_s
        self._lock = threading.Lock()
        self._free_at = 0.0

    def reserve(self, rows):
        """Reserve time for rows; return the wait before it, seconds."""
        if not self._rows_per_s:
            return 0.0
        with self._lock:
            now = time.monotonic()
            start = max(now, self._free_at)
            self._free_at = start + rows / self._rows_per_s
            return start - now


class _History:
    """Versioned rows with their recent states."""

    def __init__(self):
        self._states = {}
        self._keys = []

    def __len__(self):
        return len(self._keys)

    def version(self, key):
        """Return the version of a row; 0 where it is absent."""
        row = self.read(key)
        return row['version'] if row else 0

    def read(self, key):
        """Return the current state of a row, or None."""
        states = self._states.get(key)
        return _make_row(key, states[-1]) if states else None

    def write(self, key, value):
        """Set the value of a row; None deletes it.

        Versions continue when a deleted key is written again.
        """
        states = self._states.get(key)
        if states is None:
            bisect.insort(self._keys, key)
            states = self._states[key] = []
        now = time.monotonic()
        version = states[-1][1] + 1 if states else 1
        states.append((now, version, value))
        while len(states) > 1 and states[1][0] < now - _HISTORY_S:
            del states[0]

    def restore(self, copied_at):
        """Lose all states since a time; their versions are used again."""
        for key, states in list(self._states.items()):
            kept = [state for state in states if state[0] <= copied_at]
            if kept:
                self._states[key] = kept
            else:
                del self._states[key]
                self._keys.remove(key)

    def scan(self, prefix, after, limit, lag_s):
        """Return the rows as of ``lag_s`` seconds ago."""
        until = time.monotonic() - lag_s
        rows = []
        start = bisect.bisect_left(self._keys, prefix)
        if after:
            start = max(start, bisect.bisect_right(self._keys, after))
        for key in self._keys[start:]:
            if len(rows) == limit or not key.startswith(prefix):
                break
            states = [s for s in self._states[key] if s[0] <= until]
            row = _make_row(key, states[-1]) if states else None
            if row:
                rows.append(row)
        return rows


def _make_row(key, state):
    _, version, value = state
    if value is None:
        return None
    return {'key': key, 'value': value, 'version': version}


def main(
    *,
    port: int = 0,
    scan_lag_s: float = 0.0,
    list_lag_s: float = 0.0,
    writes_per_s: float = 0.0,
    reads_per_s: float = 0.0,
):
    """Run the stand-in for the platform.

    Parameters
    ----------
    port : int
        Port on 127.0.0.1; 0 selects a free one.
    scan_lag_s : float
        Age of the data that scans return, seconds.
    list_lag_s : float
        Age of the list of instances, seconds.
    writes_per_s : float
        Maximum rows written per second; 0 means no limit.
    reads_per_s : float
        Maximum rows read per second; 0 means no limit.
    """
    platform = Platform(scan_lag_s, list_lag_s, writes_per_s, reads_per_s)
    serving.run_server(platform, port)


if __name__ == '__main__':
    defopt.run(main)
