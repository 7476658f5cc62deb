"""Client of the platform's metadata store."""

import asyncio
import base64
import dataclasses
import json
import urllib.parse

from sniperudder.platform import _documents
from sniperudder import revisions

CONFIGURATION_TABLE = 'op'
ENDPOINTS_TABLE = 'servers'
INSTANCES_TABLE = 'instances'
# Key of the row of that table that is no instance but holds blocked requests.
BLOCKS_KEY = '.blocked-requests'
LEASES_TABLE = 'duties'

_OK = 200
_PRECONDITION_FAILED = 412
_HISTORY_GONE = 410
_OVERLOADED = (429, 503)

# Header with a number that rises each time the store is restored from a copy.
_ERA = b'store-era'
_MAX_ERA_DIGITS = 18

# Time allowed for a response in addition to a long poll's wait. In the users'
# load scenarios, a store slowed down to 352 ms per call (88 x 4 ms) still
# responds within it.
_RESPONSE_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """A row of a table.

    Attributes
    ----------
    key : str
    value : bytes or None
        None for a deleted row.
    revision : sniperudder.revisions.Revision
        State of the store at which it was written.
    """

    key: str
    value: bytes | None
    revision: revisions.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class Rows:
    """Rows and the state of the store at which they were read.

    Attributes
    ----------
    rows : tuple of StoredRow
    revision : sniperudder.revisions.Revision
    more : bool
        Whether the response is one page and further rows follow.
    """

    rows: tuple
    revision: revisions.Revision
    more: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store no longer keeps the requested change history."""


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """A write was applied.

    Attributes
    ----------
    revision : sniperudder.revisions.Revision
        Revision of the written row.
    """

    revision: revisions.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A write was rejected because the expected revision did not match.

    Attributes
    ----------
    rows : tuple of StoredRow
        Current rows for which the condition failed.
    """

    rows: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The store gave no usable response.

    Attributes
    ----------
    reason : str
    maybe_done : bool
        Whether the store may have applied the write or may still do so.
    """

    reason: str
    maybe_done: bool


class Store:
    """Client of the store; methods return failures instead of raising.

    Parameters
    ----------
    address : str
        Address of the store; can be changed at any time.
    call : callable
        Coroutine function of address, method, target, body, timeout in
        seconds and a callable for the headers of the response, which is
        called before its body is read; returns a status and a body, or
        raises OSError.
    record_latency : callable, optional
        Called with the duration in seconds of each call that is not a long
        poll.
    handle_restored : callable, optional
        Called with the era of the store before and after each rise.

    Attributes
    ----------
    era : int
        Latest era that a response of any kind stated; 0 if none did.
    first_era : int
        Era that was stated first.
    """

    __slots__ = (
        '_call',
        '_handle_restored',
        '_record_latency',
        'address',
        'era',
        'first_era',
    )

    def __init__(
        self, address, call, record_latency=None, handle_restored=None
    ):
        self.address = address
        self.era = self.first_era = 0
        self._call = call
        self._record_latency = record_latency
        self._handle_restored = handle_restored

    async def read_table(self, table):
        """Return all rows of a table.

        A long table is read in pages, which are of different moments. The
        revision of the result is that of the first page, so that a change to
        its rows meanwhile is among the changes after that revision.

        Returns
        -------
        Rows or Unavailable
        """
        rows, start_key, revision = [], None, None
        while True:
            query = {'table': table, 'part': ''}
            if start_key is not None:
                query['from'] = start_key
            page = await self._read('/rows-get', query)
            if isinstance(page, HistoryGone):
                return Unavailable('change history not available', False)
            if isinstance(page, Unavailable):
                return page
            if revision is None:
                revision = page.revision
            elif page.revision.era != revision.era:
                return Unavailable('restored between two pages', False)
            rows.extend(page.rows)
            if not page.more or not page.rows:
                return Rows(tuple(rows), revision)
            # The start of a range is inclusive; the smallest key after the
            # last one read is that key followed by a NUL character.
            start_key = page.rows[-1].key + '\0'

    async def read_changes(self, table, after, wait_s):
        """Return changes of a table, waiting until there are any.

        The era of the result may be a later one than that of the version. The
        rows are then not all that has changed.

        Parameters
        ----------
        table : str
        after : int
            Store version after which changes are returned.
        wait_s : float
            Maximum time to wait for a change, seconds.

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

    async def write_row(self, table, key, value, expected=None):
        """Write a row, or delete it if the value is None.

        The store compares versions only, and gives them out again after a
        restoration. A condition that held in a later era than its own is
        therefore reported as `Unavailable`: it held by coincidence.

        Parameters
        ----------
        table, key : str
        value : bytes or None
        expected : sniperudder.revisions.Revision, optional
            Revision that the row must have; with version 0 if it must not
            exist.

        Returns
        -------
        Written, Conflict or Unavailable
        """
        row = {'table': table, 'part': '', 'key': key}
        transaction = {'expected_rev': [], 'set_keys': [], 'remove': []}
        if expected is not None:
            if expected.era < self.era:
                return Unavailable(f'condition of era {expected.era}', False)
            transaction['expected_rev'] = [
                {**row, 'row_version': expected.version}
            ]
        if value is None:
            transaction['remove'] = [row]
        else:
            text = base64.b64encode(value).decode()
            transaction['set_keys'] = [{**row, 'value': text}]
        try:
            status, body, era = await self._time_call(
                'POST', '/rows-tx', json.dumps(transaction).encode()
            )
            if status == _OK:
                self._check_era(era)
                if expected is not None and expected.era != era:
                    return Unavailable(f'applied in era {era}', True)
                reply = _documents.parse_object(body)
                version = _documents.get_field(reply, 'row_version', int)
                return Written(revisions.Revision(era, version))
            if status == _PRECONDITION_FAILED:
                self._check_era(era)
                return Conflict(
                    _decode_rows(_documents.parse_object(body), era).rows
                )
        except (OSError, _documents.DocumentError, _EraError) as error:
            return Unavailable(f'{type(error).__name__}: {error}', True)
        return Unavailable(f'status {status}', status not in _OVERLOADED)

    async def _read(self, path, query, wait_s=0.0):
        target = f'{path}?{urllib.parse.urlencode(query)}'
        try:
            status, body, era = await self._time_call(
                'GET', target, None, wait_s
            )
            if status == _HISTORY_GONE:
                self._check_era(era)
                return HistoryGone()
            if status == _OK:
                self._check_era(era)
                return _decode_rows(_documents.parse_object(body), era)
        except (OSError, _documents.DocumentError, _EraError) as error:
            return Unavailable(f'{type(error).__name__}: {error}', False)
        return Unavailable(f'status {status}', False)

    async def _time_call(self, method, target, body, wait_s=0.0):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        era = None

        def handle_headers(headers):
            nonlocal era
            era = _decode_era(headers)
            self._observe_era(era)

        try:
            status, response_body = await self._call(
                self.address,
                method,
                target,
                body,
                wait_s + _RESPONSE_TIMEOUT_S,
                handle_headers,
            )
            # A store that has never stated its era has one era only.
            return status, response_body, era if self.era else 0
        finally:
            if not wait_s and self._record_latency is not None:
                self._record_latency(loop.time() - started_at)

    def _observe_era(self, era):
        if era is None or era <= self.era:
            return
        before, self.era = self.era, era
        self.first_era = self.first_era or era
        if self._handle_restored is not None:
            self._handle_restored(before, era)

    def _check_era(self, era):
        """Raise `_EraError` unless a response is of the latest era."""
        if era is None:
            raise _EraError(f'no era stated after era {self.era}')
        if era < self.era:
            raise _EraError(f'response of era {era} after era {self.era}')


class _EraError(Exception):
    """Raised for a response that can't be ordered or is of an earlier era."""


def _decode_era(headers):
    """Return the era that a response states; None if it states none."""
    for name, value in headers:
        if name.lower() == _ERA and value.isdigit():
            return int(value) if len(value) <= _MAX_ERA_DIGITS else None
    return None


def _decode_rows(reply, era):
    rows = [
        _decode_row(row, era)
        for row in _documents.get_field(reply, 'rows', list)
    ]
    version = _documents.get_field(reply, 'row_version', int)
    more = _documents.get_field(reply, 'more_pages', bool, False)
    return Rows(tuple(rows), revisions.Revision(era, version), more)


def _decode_row(row, era):
    key = _documents.get_field(row, 'key', str)
    version = _documents.get_field(row, 'row_version', int)
    revision = revisions.Revision(era, version)
    if row.get('tombstone') or 'value' not in row:
        return StoredRow(key, None, revision)
    text = _documents.get_field(row, 'value', str)
    try:
        value = base64.b64decode(text, validate=True)
    except ValueError as error:
        raise _documents.DocumentError(
            f'row value is not valid Base64: {error}'
        ) from error
    return StoredRow(key, value, revision)
