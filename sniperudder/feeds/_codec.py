"""Serialization of feed requests and replies as Thrift structures."""

import functools
import zlib

from thrift.protocol import TCompactProtocol
from thrift import Thrift
from thrift import TSerialization

from sniperudder.feeds import _records
from sniperudder.feeds.gen.wire import ttypes
from sniperudder import platform
from sniperudder import revisions

_MS_PER_S = 1000
_PROTOCOL_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory()

# Values from this size on are compressed, bytes. A configuration with many
# routes shrinks to a tenth; it is sent to a whole data centre over one link.
_MIN_COMPRESSED_BYTES = 512
_COMPRESSION_LEVEL = 1

# Largest value after decompression; the platform's limit for a value that is
# written in pieces of 64 KiB.
_MAX_VALUE_BYTES = 16_777_216

# Longest time that a request may ask to wait, ms.
_MAX_WAIT_MS = 30_000

# Largest age that is told apart, ms.
_MAX_AGE_MS = 3_600_000


class FeedError(ValueError):
    """Raised for bytes that do not hold a valid request or reply."""


def encode_request(request):
    """Serialize a `FeedRequest`.

    Examples
    --------
    >>> position = revisions.Revision(1, 3)
    >>> request = _records.FeedRequest({'op': position}, 1.5)
    >>> decode_request(encode_request(request)) == request
    True
    """
    positions = [
        ttypes.Position(table, revision.version, revision.era)
        for table, revision in request.revisions.items()
    ]
    message = ttypes.FeedRequest(positions, int(request.wait_s * _MS_PER_S))
    return TSerialization.serialize(message, _PROTOCOL_FACTORY)


def decode_request(data):
    """Deserialize a `FeedRequest`.

    Raises
    ------
    FeedError
        If the bytes are not a request.
    """
    message = _deserialize(ttypes.FeedRequest(), data)
    if not 0 <= message.wait_ms <= _MAX_WAIT_MS:
        raise FeedError(f'wait of {message.wait_ms} ms')
    for position in message.positions:
        _validate(position)
    return _records.FeedRequest(
        {
            position.table: revisions.Revision(position.era, position.version)
            for position in message.positions
        },
        message.wait_ms / _MS_PER_S,
    )


def encode_reply(reply):
    """Serialize a `FeedReply`.

    Examples
    --------
    >>> written, read = revisions.Revision(1, 5), revisions.Revision(1, 7)
    >>> rows = (platform.StoredRow('config', b'{}' * 400, written),)
    >>> changes = _records.Changes('op', read, True, rows)
    >>> reply = _records.FeedReply(1, (changes,), 0.5)
    >>> decode_reply(encode_reply(reply)) == reply
    True
    """
    message = ttypes.FeedReply(
        reply.depth,
        [
            ttypes.Changes(
                changes.table,
                changes.revision.version,
                changes.is_snapshot,
                [_encode_row(row) for row in changes.rows],
                changes.revision.era,
            )
            for changes in reply.changes
        ],
        min(int(reply.age_s * _MS_PER_S), _MAX_AGE_MS),
    )
    return TSerialization.serialize(message, _PROTOCOL_FACTORY)


def decode_reply(data):
    """Deserialize a `FeedReply`.

    Raises
    ------
    FeedError
        If the bytes are not a reply.
    """
    message = _deserialize(ttypes.FeedReply(), data)
    return _records.FeedReply(
        message.depth,
        tuple(_decode_changes(changes) for changes in message.changes),
        max(message.age_ms, 0) / _MS_PER_S,
    )


def _deserialize(message, data):
    try:
        TSerialization.deserialize(message, data, _PROTOCOL_FACTORY)
    except Exception as error:
        # Thrift raises exceptions of many types for malformed bytes.
        raise FeedError(f'{type(error).__name__}: {error}') from error
    _validate(message)
    return message


def _validate(message):
    try:
        message.validate()
    except Thrift.TException as error:
        raise FeedError(str(error)) from error


def _encode_row(row):
    version, era = row.revision.version, row.revision.era
    if row.value is None or len(row.value) < _MIN_COMPRESSED_BYTES:
        return ttypes.Row(row.key, version, row.value, era=era)
    return ttypes.Row(row.key, version, _compress(row.value), True, era)


# Followers ask for the same version at about the same time.
@functools.lru_cache(maxsize=2)
def _compress(value):
    return zlib.compress(value, _COMPRESSION_LEVEL)


def _decode_changes(changes):
    _validate(changes)
    rows = tuple(_decode_row(row) for row in changes.rows)
    revision = revisions.Revision(changes.era, changes.version)
    return _records.Changes(changes.table, revision, changes.is_snapshot, rows)


def _decode_row(row):
    _validate(row)
    value = row.value
    if value is not None and row.compressed:
        decompressor = zlib.decompressobj()
        try:
            value = decompressor.decompress(value, _MAX_VALUE_BYTES)
        except zlib.error as error:
            raise FeedError(f'row {row.key}: {error}') from error
        if not decompressor.eof:
            raise FeedError(f'row {row.key}: value too long or truncated')
    revision = revisions.Revision(row.era, row.version)
    return platform.StoredRow(row.key, value, revision)
