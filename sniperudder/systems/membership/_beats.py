"""What goes into a heartbeat."""

from sniperudder.inputs import Beat
from sniperudder.inputs import Member
from sniperudder.systems import configuration
from sniperudder.systems.membership import _digest
from sniperudder.systems.membership import _suspicions
from sniperudder.tables import InstanceState

_MAX_CHANGES = 16
_MAX_MEMBERS = 1
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
    roster_version, digest = _create_digest(T, now)
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
    peers = [
        peer
        for peer in T.instances.values()
        if peer.address
        and peer.name != T.me
        and peer.state is InstanceState.LIVE
    ]
    picked = T.rng.sample(peers, min(_MAX_MEMBERS, len(peers)))
    return tuple(
        Member(peer.name, peer.address, peer.data_centre, peer.incarnation)
        for peer in picked
    )


def _create_digest(T, now):
    if not T.rosters:
        return 0, b''
    roster = T.rosters[-1]
    entries = (_find_evidence(T, name, now) for name in roster.members)
    digest = _digest.encode_digest(entries, T.known_version)
    return roster.version, digest


def _find_evidence(T, name, now):
    if name == T.me:
        version = T.config.version
        rooted = configuration.is_rooted(T, now)
        return _digest.Evidence(name, 0.0, version, rooted, T.stopping)
    peer = T.instances.get(name)
    if peer is None:
        return None
    return _digest.Evidence(
        name=name,
        age_s=now - peer.heard_at,
        version=peer.config_version,
        rooted=peer.rooted,
        stopping=peer.stopping,
    )
