"""Construction of heartbeats and their answers."""

from sniperudder.inputs import Heartbeat
from sniperudder.inputs import Member
from sniperudder.systems import configuration
from sniperudder.systems.membership import _digest
from sniperudder.systems.membership import _suspicions
from sniperudder.tables import InstanceState

_MAX_CHANGES = 16
_MAX_DRAWS = 3
_SNAPSHOT_MIN_LAG_VERSIONS = 64


def create_heartbeat(T, peer, now):
    """Return the heartbeat to send to a peer.

    It carries the changes that the peer lacks, if they are few.
    """
    behind = T.config.version - peer.acked_version
    changes = ()
    if 0 < behind <= _MAX_CHANGES:
        changes = configuration.get_changes(T, peer.acked_version) or ()
    return _create_heartbeat(T, now, changes=changes)


def create_answer(T, heartbeat, now):
    """Return the answer to a heartbeat.

    It carries the changes that the sender lacks, or a snapshot if the
    sender lags far behind.
    """
    after = heartbeat.config_version
    changes = configuration.get_changes(T, after, _MAX_CHANGES)
    snapshot = ''
    if (
        changes is None
        or T.config.version - after > _SNAPSHOT_MIN_LAG_VERSIONS
    ):
        snapshot = configuration.encode_snapshot(T)
        changes = ()
    roster_version, digest = _digest.create_digest(T, now)
    return _create_heartbeat(
        T,
        now,
        changes=changes,
        snapshot=snapshot,
        roster_version=roster_version,
        digest_version=T.known_version,
        digest=digest,
    )


def _create_heartbeat(T, now, **fields):
    own_record = T.instances[T.me]
    return Heartbeat(
        sender=T.me,
        address=own_record.address,
        data_centre=T.data_centre,
        incarnation=own_record.incarnation,
        config_version=T.config.version,
        stopping=T.stopping,
        streams=len(T.requests),
        platform_age_s=now - T.platform_at,
        suspicions=_suspicions.select_suspicions(T, now),
        members=_select_members(T),
        head_version=T.head_version,
        head_age_s=now - T.head_at,
        rooted=configuration.is_rooted(T, now),
        accepted_version=configuration.get_accepted_version(T),
        **fields,
    )


def _select_members(T):
    """Return one random live peer, or none if all draws fail."""
    peers = list(T.instances.values())
    for _ in range(_MAX_DRAWS):
        peer = T.rng.choice(peers)
        is_live = peer.state is InstanceState.LIVE and peer.address
        if is_live and peer.name != T.me:
            return (
                Member(
                    peer.name,
                    peer.address,
                    peer.data_centre,
                    peer.incarnation,
                ),
            )
    return ()
