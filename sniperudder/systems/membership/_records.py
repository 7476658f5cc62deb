"""Upkeep of the records of other instances."""

from sniperudder.tables import Instance
from sniperudder.tables import InstanceState


def get_peer(T, name):
    """Return the record of another instance, a new one if needed."""
    peer = T.instances.get(name)
    if peer is None:
        peer = Instance(name, '', '')
        T.instances[name] = peer
    return peer


def note_place(T, member):
    """Take in where an instance is found; the latest start counts."""
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


def note_version(T, peer, version, now):
    """Take in that a peer has a version in force, whenever that was."""
    if version > peer.acked_version:
        peer.acked_version = version
        peer.acked_at = now
        T.known_version = max(T.known_version, version)


def note_evidence(peer, version, rooted, at):
    """Take in that a peer had no higher version in force at a time.

    Parameters
    ----------
    at : float
        A time at or before that at which the peer said so, seconds.
    """
    if at <= peer.heard_at:
        return
    peer.heard_at = at
    peer.config_version = version
    peer.rooted = rooted
    peer.absent_since = None


def find_counted(T):
    """Return the names that acceptance of a version may depend on."""
    names = set(T.config.members)
    for roster in T.rosters:
        names.update(roster.members)
    return names


def update_states(T, now, suspect_s):
    """Set the state of each peer and forget those that ended."""
    counted = find_counted(T)
    for peer in list(T.instances.values()):
        if peer.name == T.me:
            continue
        peer.state = _find_state(T, peer, now, suspect_s)
        silent = now - peer.heard_at > T.policy.list_lag_s
        needed = peer.listed or peer.name in counted
        if silent and not needed and peer.absent_since is not None:
            del T.instances[peer.name]


def _find_state(T, peer, now, suspect_s):
    if now - peer.heard_at <= suspect_s:
        if peer.stopping:
            return InstanceState.LEAVING
        return InstanceState.LIVE
    if peer.stopping or peer.absent_since is not None:
        return InstanceState.GONE
    return InstanceState.SUSPECT
