"""The platform's store: rows under versions, and a feed of changes."""

import asyncio
import base64
import dataclasses
import json
import urllib.parse

from standins.fleet import _messages
from standins.fleet import _servers


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCopy:
    """State of a store to which it can be restored.

    Attributes
    ----------
    rows : dict of (str, str) to (bytes, int)
    version : int
    """

    rows: dict
    version: int


class StoreStandin(_servers.Server):
    """The platform's store: rows under versions, and a feed of changes.

    Attributes
    ----------
    rows : dict of (str, str) to (bytes, int)
        Value and version by table and key.
    version : int
    era : int or None
        Number of the store's life, which each response states; None for a
        store that does not state it.
    forgotten_version : int
        Version of the last change that was forgotten.
    failure_status : int or None
        HTTP status of all responses; None for normal operation.
    calls : list of str
        Paths of the calls so far.
    silent : bool
        Whether calls are accepted but never receive a response.
    delay_s : float
        Time until the response to a call, seconds.
    on_call : callable or None
        Called with the path of each call before it is carried out.
    """

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.version = 1
        self.era = 1
        self.forgotten_version = 0
        self.failure_status = None
        self.silent = False
        self.delay_s = 0.0
        self.calls = []
        self.on_call = None
        self._changes = []
        self._changed = asyncio.Event()

    def put(self, table, key, value):
        """Set a row, or remove it where the value is None."""
        self.version += 1
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = value, self.version
        self._changes.append((self.version, table, key, value))
        self.wake()

    def put_json(self, table, key, value):
        """Set a row to a value as JSON."""
        self.put(table, key, json.dumps(value).encode())

    def forget_history(self):
        """Drop all changes so far; waiting calls get 410."""
        # A transaction on some other table, after the calls began to wait.
        self.version += 1
        self.forgotten_version = self.version
        self._changes.clear()
        self.wake()

    def copy(self):
        """Return a copy of the present state."""
        return StoreCopy(dict(self.rows), self.version)

    def restore(self, copy):
        """Lose all changes since a copy and begin a new era.

        Versions above that of the copy are given out again. Reads of changes
        after a version that the store does not have get 410.
        """
        self.rows = dict(copy.rows)
        self.version = self.forgotten_version = copy.version
        self.era += 1
        self._changes.clear()
        self.wake()

    async def respond(self, request, body, http, writer):
        """See base class."""
        path, _, query = request.target.decode().partition('?')
        self.calls.append(path)
        parameters = dict(urllib.parse.parse_qsl(query))
        if self.silent:
            await asyncio.Event().wait()
        await asyncio.sleep(self.delay_s)
        if self.on_call is not None:
            self.on_call(path)
        if self.failure_status is not None:
            status, value = self.failure_status, {}
        elif path == '/rows-get':
            status, value = 200, self._get(parameters)
        elif path == '/rows-feed':
            status, value = await self._follow(parameters)
        else:
            status, value = self._transact(json.loads(body))
        value = {'row_version': self.version, 'now_ms': 0, **value}
        headers = []
        if self.era is not None:
            headers.append(('Store-Era', str(self.era)))
        _messages.write_response(
            http, writer, status, json.dumps(value).encode(), headers
        )

    def _get(self, parameters):
        rows = [
            _make_row(table, key, value, version)
            for (table, key), (value, version) in sorted(self.rows.items())
            if table == parameters['table']
            and key >= parameters.get('from', '')
        ]
        return {'rows': rows, 'more_pages': False}

    async def _follow(self, parameters):
        after = int(parameters['after'])
        end = (
            asyncio.get_running_loop().time()
            + int(parameters['wait_ms']) / 1000
        )
        while True:
            if self.failure_status is not None:
                return self.failure_status, {}
            if not self.forgotten_version <= after <= self.version:
                return 410, {}
            rows = [
                _make_row(table, key, value, version)
                for version, table, key, value in self._changes
                if version > after and table == parameters['table']
            ]
            left = end - asyncio.get_running_loop().time()
            if rows or left <= 0:
                return 200, {'rows': rows}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def wake(self):
        """Have waiting calls look again."""
        self._changed.set()
        self._changed = asyncio.Event()

    def _transact(self, call):
        conditions = [
            (row['table'], row['key'], row['row_version'])
            for row in call['expected_rev']
        ]
        found = {
            (table, key): self.rows[table, key]
            for table, key, _ in conditions
            if (table, key) in self.rows
        }
        if any(
            found.get((table, key), (b'', 0))[1] != version
            for table, key, version in conditions
        ):
            rows = [_make_row(*name, *row) for name, row in found.items()]
            return 412, {'rows': rows}
        for row in call['set_keys']:
            value = base64.b64decode(row['value'])
            self.put(row['table'], row['key'], value)
        for row in call['remove']:
            self.put(row['table'], row['key'], None)
        return 200, {}


def _make_row(table, key, value, version):
    row = {'table': table, 'part': '', 'key': key, 'row_version': version}
    if value is None:
        return {**row, 'tombstone': True}
    return {**row, 'value': base64.b64encode(value).decode()}
