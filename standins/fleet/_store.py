"""The platform's store: rows under versions, and a feed of changes."""

import asyncio
import base64
import json
import urllib.parse

from standins.fleet import _messages
from standins.fleet import _servers


class StoreStandin(_servers.Server):
    """The platform's store: rows under versions, and a feed of changes.

    Attributes
    ----------
    rows : dict of (str, str) to (bytes, int)
        Value and version by table and key.
    version : int
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
    """

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.version = 1
        self.forgotten_version = 0
        self.failure_status = None
        self.silent = False
        self.delay_s = 0.0
        self.calls = []
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
        self._changed.set()
        self._changed = asyncio.Event()

    def put_json(self, table, key, value):
        """Set a row to a value as JSON."""
        self.put(table, key, json.dumps(value).encode())

    def forget_history(self):
        """Drop all changes so far; waiting calls get 410."""
        # A transaction on some other table, after the calls began to wait.
        self.version += 1
        self.forgotten_version = self.version
        self._changes.clear()
        self._changed.set()
        self._changed = asyncio.Event()

    async def respond(self, request, body, http, writer):
        """See base class."""
        path, _, query = request.target.decode().partition('?')
        self.calls.append(path)
        parameters = dict(urllib.parse.parse_qsl(query))
        if self.silent:
            await asyncio.Event().wait()
        await asyncio.sleep(self.delay_s)
        if self.failure_status is not None:
            status, value = self.failure_status, {}
        elif path == '/rows-get':
            status, value = 200, self._get(parameters)
        elif path == '/rows-feed':
            status, value = await self._follow(parameters)
        else:
            status, value = self._transact(json.loads(body))
        value = {'row_version': self.version, 'now_ms': 0, **value}
        _messages.write_response(
            http, writer, status, json.dumps(value).encode(), []
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
            if after < self.forgotten_version:
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

    def _transact(self, call):
        for row in call['expected_rev']:
            _, version = self.rows.get((row['table'], row['key']), (b'', 0))
            if version != row['row_version']:
                return 412, {'rows': []}
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
