"""The platform's metadata store."""

import asyncio
import base64
import dataclasses
import json
import urllib.parse

from sniperudder.platform import _documents

CONFIGURATION_TABLE = 'op'
CONFIGURATION_KEY = 'config'
ENDPOINTS_TABLE = 'servers'
INSTANCES_TABLE = 'instances'
DUTIES_TABLE = 'duties'

_OK = 200
_CONFLICT = 412
_HISTORY_GONE = 410
_BUSY = (429, 503)

# Silence beyond what a read may take, seconds: a store that is slow by
# the factor the users' days play (88 times 4 ms) still answers in time.
_ANSWER_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """A row of a table.

    Attributes
    ----------
    key : str
    value : bytes or None
        None for a row that was removed.
    version : int
    """

    key: str
    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rows:
    """Rows, and the version of the store that they were read at.

    Attributes
    ----------
    rows : tuple of StoredRow
    version : int
    more : bool
        Whether the answer was cut, and further rows follow.
    """

    rows: tuple
    version: int
    more: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store no longer has the changes that were asked for."""


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """A change took effect."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A change was refused because its condition does not hold."""

    rows: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """No usable answer.

    Attributes
    ----------
    reason : str
    maybe_done : bool
        Whether the call may have taken effect, now or later.
    """

    reason: str
    maybe_done: bool


class Store:
    """Calls the store; every outcome is a record.

    Parameters
    ----------
    address : str
        May be set anew at any time.
    call : callable
        Coroutine function of address, method, target, body and timeout
        in seconds, which returns a status and a body, or raises OSError.
    record_time : callable, optional
        Told how long each call took that waits for no change, seconds.
    """

    __slots__ = ('_call', '_record_time', 'address')

    def __init__(self, address, call, record_time=None):
        self.address = address
        self._call = call
        self._record_time = record_time

    async def read_table(self, table):
        """Return all rows of a table.

        Returns
        -------
        Rows or Unavailable
        """
        rows, start = [], None
        while True:
            query = {'table': table, 'part': ''}
            if start is not None:
                query['from'] = start
            page = await self._read('/rows-get', query)
            if isinstance(page, HistoryGone):
                return Unavailable('history gone', False)
            if isinstance(page, Unavailable):
                return page
            rows.extend(page.rows)
            if not page.more or not page.rows:
                return Rows(tuple(rows), page.version)
            # The range includes its start, and keys have no order below
            # the zero character.
            start = page.rows[-1].key + '\0'

    async def read_changes(self, table, after, wait_s):
        """Wait for changes of a table.

        Parameters
        ----------
        table : str
        after : int
            Version of the last change that is known.
        wait_s : float
            Longest wait for a change, seconds.

        Returns
        -------
        Rows, HistoryGone or Unavailable
        """
        query = {
            'table': table,
            'after': after,
            'wait_ms': int(wait_s * 1000),
        }
        return await self._read('/rows-feed', query, wait_s)

    async def write_row(self, table, key, value, expected_version=None):
        """Set a row, or remove it where the value is None.

        Parameters
        ----------
        table, key : str
        value : bytes or None
        expected_version : int, optional
            Version that the row must have; 0 where it must not exist.

        Returns
        -------
        Written, Conflict or Unavailable
        """
        row = {'table': table, 'part': '', 'key': key}
        call = {'expected_rev': [], 'set_keys': [], 'remove': []}
        if expected_version is not None:
            call['expected_rev'] = [{**row, 'row_version': expected_version}]
        if value is None:
            call['remove'] = [row]
        else:
            text = base64.b64encode(value).decode()
            call['set_keys'] = [{**row, 'value': text}]
        try:
            status, body = await self._time_call(
                'POST', '/rows-tx', json.dumps(call).encode()
            )
            if status == _OK:
                reply = _documents.parse(body)
                version = _documents.take(reply, 'row_version', int)
                return Written(version)
            if status == _CONFLICT:
                return Conflict(_read_rows(_documents.parse(body)).rows)
        except (OSError, _documents.DocumentError) as error:
            return Unavailable(f'{type(error).__name__}: {error}', True)
        return Unavailable(f'status {status}', status not in _BUSY)

    async def _read(self, path, query, wait_s=0.0):
        target = f'{path}?{urllib.parse.urlencode(query)}'
        try:
            status, body = await self._time_call('GET', target, None, wait_s)
            if status == _HISTORY_GONE:
                return HistoryGone()
            if status == _OK:
                return _read_rows(_documents.parse(body))
        except (OSError, _documents.DocumentError) as error:
            return Unavailable(f'{type(error).__name__}: {error}', False)
        return Unavailable(f'status {status}', False)

    async def _time_call(self, method, target, body, wait_s=0.0):
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            return await self._call(
                self.address, method, target, body, wait_s + _ANSWER_TIMEOUT_S
            )
        finally:
            if not wait_s and self._record_time is not None:
                self._record_time(loop.time() - began)


def _read_rows(reply):
    rows = [_read_row(row) for row in _documents.take(reply, 'rows', list)]
    version = _documents.take(reply, 'row_version', int)
    more = _documents.take(reply, 'more_pages', bool, False)
    return Rows(tuple(rows), version, more)


def _read_row(row):
    key = _documents.take(row, 'key', str)
    version = _documents.take(row, 'row_version', int)
    if row.get('tombstone') or 'value' not in row:
        return StoredRow(key, None, version)
    text = _documents.take(row, 'value', str)
    try:
        value = base64.b64decode(text, validate=True)
    except ValueError as error:
        raise _documents.DocumentError(f'value: {error}') from error
    return StoredRow(key, value, version)
