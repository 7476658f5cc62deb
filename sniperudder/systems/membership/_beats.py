"""What goes into a heartbeat."""

from sniperudder.inputs import Beat
from sniperudder.inputs import Member
from sniperudder.systems import configuration
from sniperudder.systems.membership import _digest
from sniperudder.systems.membership import _suspicions
from sniperudder.tables import InstanceState

_MAX_CHANGES = 16
_DRAWS = 3
_SNAPSHOT_GAP = 64


def create_request(T, peer, now):
    """Return the heartbeat to send to a peer."""
    behind = T.config.version - peer.acked_version
    changes = ()
    if 0 < behind <= _MAX_CHANGES:
        changes = configuration.get_changes(T, peer.acked_version) or ()
    return _create(T, now, changes=changes)


def create_answer(T, request, now):
    """Return the heartbeat that answers one."""
    after = request.config_version
    changes = configuration.get_changes(T, after, _MAX_CHANGES)
    snapshot = ''
    if changes is None or T.config.version - after > _SNAPSHOT_GAP:
        snapshot = configuration.encode_snapshot(T)
        changes = ()
    roster_version, digest = _digest.create_digest(T, now)
    return _create(
        T,
        now,
        changes=changes,
        snapshot=snapshot,
        roster_version=roster_version,
        digest_version=T.known_version,
        digest=digest,
    )


def _create(T, now, **parts):
    own = T.instances[T.me]
    return Beat(
        sender=T.me,
        address=own.address,
        data_centre=T.data_centre,
        incarnation=own.incarnation,
        config_version=T.config.version,
        stopping=T.stopping,
        streams=len(T.requests),
        platform_age_s=now - T.platform_at,
        suspicions=_suspicions.pick_suspicions(T, now),
        members=_pick_members(T),
        head_version=T.head_version,
        head_age_s=now - T.head_at,
        rooted=configuration.is_rooted(T, now),
        accepted_version=configuration.get_accepted(T),
        **parts,
    )


def _pick_members(T):
    """Return one live peer by chance, none if the draws miss."""
    peers = list(T.instances.values())
    for _ in range(_DRAWS):
        peer = T.rng.choice(peers)
        live = peer.state is InstanceState.LIVE and peer.address
        if live and peer.name != T.me:
            return (
                Member(
                    peer.name,
                    peer.address,
                    peer.data_centre,
                    peer.incarnation,
                ),
            )
    return ()
