"""Serialization of digests as Thrift structures."""

import math

from thrift.protocol import TCompactProtocol
from thrift import TSerialization

from sniperudder.digests import _crash_reports
from sniperudder.digests import _records
from sniperudder.digests import _restrictions
from sniperudder.digests import _speeds
from sniperudder.digests.gen.wire import ttypes
from sniperudder import revisions

_MS_PER_S = 1000
_PERCENT = 100

# Largest age of a restriction that is told, seconds.
_MAX_AGE_S = 86_400.0

# Largest values of the integer types of Thrift.
_MAX_I32 = 2**31 - 1
_MAX_I64 = 2**63 - 1

_PROTOCOL_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory()


class DigestError(ValueError):
    """Raised for bytes that do not hold a valid digest."""


def encode_digest(digest):
    """Serialize a digest.

    Examples
    --------
    >>> from sniperudder import digests
    >>> load = digests.Load(2, 1600.0)
    >>> digest = digests.Digest('entry-1', 5, 1, {'gpu-1': load}, ())
    >>> decode_digest(encode_digest(digest)) == digest
    True
    """
    message = ttypes.Digest(
        sender=digest.sender,
        incarnation=digest.incarnation,
        sequence=digest.sequence,
        loads=[
            ttypes.Load(
                name,
                _limit(load.requests),
                _limit(load.token_layers, _MAX_I64),
            )
            for name, load in digest.loads.items()
        ],
        faults=[
            ttypes.Fault(
                fault.endpoint, fault.born_ms, _limit(fault.left_s * _MS_PER_S)
            )
            for fault in digest.faults
        ],
        crashes=[],
        lease_version=digest.lease.version,
        events=_limit(digest.events),
        slow_events=_limit(digest.slow_events),
        crossings=[
            ttypes.Crossing(left, right, _limit(rate))
            for (left, right), rate in digest.crossings.items()
        ],
        scope=digest.scope.value,
        data_centre=digest.data_centre,
        instances=_limit(digest.instances),
        included=[ttypes.Included(*entry) for entry in digest.included],
        table_versions={
            table: revision.version
            for table, revision in digest.table_revisions.items()
        },
        crash_report=_encode_crash_report(digest.crash_report),
        restrictions=[
            ttypes.Restriction(
                endpoint,
                born_ms,
                told.leaving,
                told.rate_limit,
                _limit(min(told.age_s, _MAX_AGE_S) * _MS_PER_S),
            )
            for (endpoint, born_ms), told in digest.restrictions.items()
        ],
        demands={
            service: _limit(rate * _MS_PER_S)
            for service, rate in digest.demands.items()
        },
        lease_era=digest.lease.era,
        table_eras={
            table: revision.era
            for table, revision in digest.table_revisions.items()
        },
        configuration_version=digest.configuration_version,
        speeds=[
            ttypes.Speed(
                endpoint,
                born_ms,
                _limit(speed.samples),
                _limit(speed.slowness * _PERCENT),
                _limit(min(speed.age_s, _MAX_AGE_S) * _MS_PER_S),
            )
            for (endpoint, born_ms), speed in digest.speeds.items()
        ]
        or None,
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
    try:
        crash_report = _decode_crash_report(message.crash_report)
        restrictions = _decode_restrictions(message.restrictions)
        speeds = _decode_speeds(message.speeds)
    except (AttributeError, TypeError) as error:
        # A field of a nested structure is missing.
        raise DigestError(f'nested structure: {error}') from error
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
        lease=revisions.Revision(message.lease_era, message.lease_version),
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
        table_revisions=_decode_table_revisions(message),
        crash_report=crash_report,
        restrictions=restrictions,
        demands={
            service: rate / _MS_PER_S
            for service, rate in (message.demands or {}).items()
        },
        configuration_version=message.configuration_version,
        speeds=speeds,
    )


def _limit(number, maximum=_MAX_I32):
    """Return a quantity as a whole number from 0 to a maximum.

    Sums over many instances, and what was computed from odd values, may
    exceed the type of a field. NaN becomes 0.
    """
    return int(min(number, maximum)) if number > 0 else 0


def _decode_table_revisions(message):
    eras = message.table_eras or {}
    return {
        table: revisions.Revision(eras.get(table, 0), version)
        for table, version in (message.table_versions or {}).items()
    }


def _encode_crash_report(report):
    if not (report.crashes or report.cleared or report.blocks):
        return None
    return ttypes.CrashReport(
        crashes=[
            ttypes.EndpointCrash(
                endpoint,
                born_ms,
                _limit(crash.age_s * _MS_PER_S),
                {key: _limit(n) for key, n in crash.suspects.items()},
            )
            for (endpoint, born_ms), crash in report.crashes.items()
        ],
        cleared_ms={
            key: _limit(age_s * _MS_PER_S)
            for key, age_s in report.cleared.items()
        },
        blocks=[
            ttypes.Block(sorted(keys), _limit(age_s * _MS_PER_S))
            for keys, age_s in report.blocks.items()
        ],
    )


def _decode_crash_report(message):
    if message is None:
        return _crash_reports.CrashReport()
    return _crash_reports.CrashReport(
        {
            (crash.endpoint, crash.born_ms): _crash_reports.Crash(
                _decode_age_s(crash.age_ms), crash.suspects
            )
            for crash in message.crashes
        },
        {
            key: _decode_age_s(age_ms)
            for key, age_ms in message.cleared_ms.items()
        },
        {
            frozenset(block.keys): _decode_age_s(block.age_ms)
            for block in message.blocks
        },
    )


def _decode_age_s(age_ms):
    return max(age_ms, 0) / _MS_PER_S


def _decode_restrictions(messages):
    restrictions = {}
    for message in messages or ():
        rate_limit = message.rate_limit
        if rate_limit is not None and not 0 <= rate_limit < math.inf:
            raise TypeError(f'rate limit {rate_limit}')
        restrictions[message.endpoint, message.born_ms] = (
            _restrictions.Restriction(
                bool(message.leaving),
                rate_limit,
                _decode_age_s(message.age_ms),
            )
        )
    return restrictions


def _decode_speeds(messages):
    return {
        (message.endpoint, message.born_ms): _speeds.Speed(
            max(message.samples, 0),
            # No stage takes no time.
            max(message.slowness_percent, 1) / _PERCENT,
            _decode_age_s(message.age_ms),
        )
        for message in messages or ()
    }
