"""Serialization of digests as Thrift structures."""

from thrift.protocol import TCompactProtocol
from thrift import TSerialization

from sniperudder.digests import _records
from sniperudder.digests.gen.wire import ttypes

_MS_PER_S = 1000
_PROTOCOL_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory()


class DigestError(ValueError):
    """Raised for bytes that do not hold a valid digest."""


def encode_digest(digest):
    """Serialize a digest.

    Examples
    --------
    >>> from sniperudder import digests
    >>> load = digests.Load(2, 1600.0)
    >>> digest = digests.Digest('entry-1', 5, 1, {'gpu-1': load}, (), {})
    >>> decode_digest(encode_digest(digest)) == digest
    True
    """
    message = ttypes.Digest(
        sender=digest.sender,
        incarnation=digest.incarnation,
        sequence=digest.sequence,
        loads=[
            ttypes.Load(name, load.requests, int(load.token_layers))
            for name, load in digest.loads.items()
        ],
        faults=[
            ttypes.Fault(
                fault.endpoint, fault.born_ms, int(fault.left_s * _MS_PER_S)
            )
            for fault in digest.faults
        ],
        crashes=[
            ttypes.Crash(fingerprint, count)
            for fingerprint, count in digest.crashes.items()
        ]
        + [
            ttypes.Crash(fingerprint, count, name)
            for name, counts in digest.peer_crashes.items()
            for fingerprint, count in counts.items()
        ],
        lease_version=digest.lease_version,
        events=digest.events,
        slow_events=digest.slow_events,
        crossings=[
            ttypes.Crossing(left, right, int(rate))
            for (left, right), rate in digest.crossings.items()
        ],
        scope=digest.scope.value,
        data_centre=digest.data_centre,
        instances=digest.instances,
        included=[ttypes.Included(*entry) for entry in digest.included],
        table_versions=digest.table_versions,
    )
    return TSerialization.serialize(message, _PROTOCOL_FACTORY)


def decode_digest(data):
    """Deserialize a digest.

    Raises
    ------
    DigestError
        If the bytes are truncated or not a digest.
    """
    try:
        message = TSerialization.deserialize(
            ttypes.Digest(), data, _PROTOCOL_FACTORY
        )
        message.validate()
    except Exception as error:
        # Thrift raises exceptions of many types for malformed bytes.
        raise DigestError(f'{type(error).__name__}: {error}') from error
    crashes, peer_crashes = {}, {}
    for crash in message.crashes:
        counts = crashes
        if crash.counted_by is not None:
            counts = peer_crashes.setdefault(crash.counted_by, {})
        counts[crash.fingerprint] = crash.count
    try:
        scope = _records.Scope(message.scope)
    except ValueError as error:
        raise DigestError(str(error)) from error
    return _records.Digest(
        sender=message.sender,
        incarnation=message.incarnation,
        sequence=message.sequence,
        loads={
            load.endpoint: _records.Load(
                load.requests, float(load.token_layers)
            )
            for load in message.loads
        },
        faults=tuple(
            _records.Fault(
                fault.endpoint, fault.born_ms, fault.left_ms / _MS_PER_S
            )
            for fault in message.faults
        ),
        crashes=crashes,
        lease_version=message.lease_version,
        events=message.events,
        slow_events=message.slow_events,
        crossings={
            (crossing.left, crossing.right): float(crossing.tokens_per_s)
            for crossing in message.crossings
        },
        scope=scope,
        data_centre=message.data_centre,
        instances=message.instances,
        included=tuple(
            (entry.sender, entry.incarnation, entry.sequence)
            for entry in message.included or ()
        ),
        peer_crashes=peer_crashes,
        table_versions=message.table_versions or {},
    )
