"""Conversion of heartbeats to and from thrift structures."""

from sniperudder import inputs
from sniperudder.peers.gen.wire import ttypes
from sniperudder import tables

_INFINITY = float('inf')
_COPIED_FIELDS = (
    'sender',
    'address',
    'data_centre',
    'incarnation',
    'config_version',
    'stopping',
    'streams',
    'head_version',
    'rooted',
    'accepted_version',
    'roster_version',
    'digest_version',
    'digest',
    'snapshot',
)


def encode_heartbeat(beat):
    """Return a heartbeat as a thrift structure.

    Parameters
    ----------
    beat : sniperudder.inputs.Heartbeat

    Returns
    -------
    sniperudder.peers.gen.wire.ttypes.Beat
    """
    fields = {name: getattr(beat, name) for name in _COPIED_FIELDS}
    return ttypes.Beat(
        platform_age_s=_encode_age(beat.platform_age_s),
        head_age_s=_encode_age(beat.head_age_s),
        changes=[_encode_change(change) for change in beat.changes],
        suspicions=[
            _encode_suspicion(suspicion) for suspicion in beat.suspicions
        ],
        members=[_encode_member(member) for member in beat.members],
        **fields,
    )


def decode_heartbeat(message):
    """Return the heartbeat of a thrift structure.

    The times of suspicions are not transmitted.

    Examples
    --------
    >>> beat = inputs.Heartbeat('entry-1', 'h:1', 'milan', 1, 7)
    >>> decode_heartbeat(encode_heartbeat(beat)) == beat
    True
    """
    fields = {name: getattr(message, name) for name in _COPIED_FIELDS}
    return inputs.Heartbeat(
        platform_age_s=_decode_age(message.platform_age_s),
        head_age_s=_decode_age(message.head_age_s),
        changes=tuple(map(_decode_change, message.changes)),
        suspicions=tuple(map(_decode_suspicion, message.suspicions)),
        members=tuple(map(_decode_member, message.members)),
        **fields,
    )


def _encode_age(age_s):
    return None if age_s == _INFINITY else age_s


def _decode_age(age_s):
    return _INFINITY if age_s is None else age_s


def _encode_change(change):
    return ttypes.Change(
        version=change.version,
        command_id=change.command_id,
        issuer=change.operator,
        kind=change.kind,
        body=change.body,
        issued_at=change.issued_at,
    )


def _decode_change(message):
    return tables.Change(
        version=message.version,
        command_id=message.command_id,
        operator=message.issuer,
        kind=message.kind,
        body=message.body,
        issued_at=message.issued_at,
    )


def _encode_suspicion(suspicion):
    return ttypes.Suspicion(suspicion.fingerprint, sorted(suspicion.crashes))


def _decode_suspicion(message):
    crashes = frozenset(message.crashes)
    return tables.Suspicion(message.fingerprint, crashes)


def _encode_member(member):
    return ttypes.Member(
        name=member.name,
        address=member.address,
        data_centre=member.data_centre,
        incarnation=member.incarnation,
    )


def _decode_member(message):
    return inputs.Member(
        name=message.name,
        address=message.address,
        data_centre=message.data_centre,
        incarnation=message.incarnation,
    )
