"""Maintenance of the records of other instances."""

from sniperudder.tables import Instance
from sniperudder.tables import InstanceState


def get_peer(T, name):
    """Return the record of another instance, created if missing."""
    peer = T.instances.get(name)
    if peer is None:
        peer = Instance(name, '', '')
        T.instances[name] = peer
    return peer


def record_address(T, member):
    """Record an instance's address, unless it is of an earlier start."""
    if member.name == T.me:
        return
    peer = get_peer(T, member.name)
    if member.incarnation < peer.incarnation:
        return
    if member.incarnation > peer.incarnation:
        peer.stopping = False
    peer.incarnation = member.incarnation
    peer.address = member.address
    peer.data_centre = member.data_centre


def record_acked_version(T, peer, version, now):
    """Record that a peer has, or at some time had, a version in force."""
    if version > peer.acked_version:
        peer.acked_version = version
        peer.acked_at = now
        T.known_version = max(T.known_version, version)


def record_evidence(peer, version, rooted, at):
    """Record that at time `at` the peer's version was at most `version`.

    The version is the one in force at the peer.

    Parameters
    ----------
    peer : sniperudder.tables.Instance
    version : int
        Highest version that the peer can have had in force.
    rooted : bool
        See ``sniperudder.tables.Instance``.
    at : float
        A time at or before the peer's statement, seconds. Evidence that
        is not newer than the recorded one is ignored.
    """
    if at <= peer.heard_at:
        return
    peer.heard_at = at
    peer.config_version = version
    peer.rooted = rooted
    peer.absent_since = None


def list_roster_members(T):
    """Return the names of the members in every roster in use.

    Majorities of these members accept versions. The present members are
    included.
    """
    names = set(T.config.members)
    for roster in T.rosters:
        names.update(roster.members)
    return names


def update_states(T, now, suspect_s):
    """Set the state of each peer and delete records of ended ones."""
    roster_members = list_roster_members(T)
    for peer in list(T.instances.values()):
        if peer.name == T.me:
            continue
        peer.state = _find_state(T, peer, now, suspect_s)
        is_silent = now - peer.heard_at > T.policy.list_lag_s
        is_needed = peer.listed or peer.name in roster_members
        if is_silent and not is_needed and peer.absent_since is not None:
            del T.instances[peer.name]


def _find_state(T, peer, now, suspect_s):
    if now - peer.heard_at <= suspect_s:
        if peer.stopping:
            return InstanceState.LEAVING
        return InstanceState.LIVE
    if peer.stopping or peer.absent_since is not None:
        return InstanceState.GONE
    return InstanceState.SUSPECT
