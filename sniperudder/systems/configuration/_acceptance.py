"""When a version is accepted: a majority of members has it in force."""

from sniperudder.tables import Acceptance

_KEPT_ACCEPTANCES = 1024


def get_accepted(T):
    """Return the highest version known to be accepted."""
    return T.acceptances[-1].version if T.acceptances else 0


def note_accepted(T, version, now):
    """Take in that a version is accepted."""
    if version <= get_accepted(T):
        return
    T.acceptances.append(Acceptance(version, now))
    del T.acceptances[:-_KEPT_ACCEPTANCES]
    T.known_version = max(T.known_version, version)
    _trim_rosters(T, version)


def find_accepted_at(T, version):
    """Return since when a version is known to be accepted, or None."""
    times = [a.at for a in T.acceptances if a.version >= version]
    return min(times, default=None)


def update_acceptance(T, now):
    """Find the highest version that is accepted by now.

    A version is accepted once, of each roster that an instance with an
    older and not yet lapsed version may use, a majority has it in force
    or has certainly ended.
    """
    accepted = get_accepted(T)
    version = T.config.version
    while version > accepted:
        held = _find_held_version(T, version, now)
        if held >= version:
            note_accepted(T, version, now)
            return
        version = held


def _find_held_version(T, version, now):
    rosters = [roster for roster in T.rosters if roster.version < version]
    versions = [_find_majority(T, roster, now) for roster in rosters]
    return min(versions, default=version)


def _find_majority(T, roster, now):
    if not roster.members:
        return float('inf')
    acks = [_find_ack(T, name, now) for name in roster.members]
    acks.sort(reverse=True)
    return acks[len(acks) // 2]


def _find_ack(T, name, now):
    if name == T.me:
        return T.config.version
    if name in T.config.ended:
        return float('inf')
    peer = T.instances.get(name)
    if peer is None:
        return 0
    if has_ended(T, peer, now):
        return float('inf')
    return peer.acked_version


def has_ended(T, peer, now):
    """Return whether the platform's list shows that a peer has ended.

    It lists every instance that runs, but for its lag.
    """
    if peer.absent_since is None:
        return False
    return T.listed_at - peer.absent_since > T.policy.list_lag_s


def _trim_rosters(T, accepted):
    rosters = T.rosters
    while len(rosters) > 1 and rosters[1].version <= accepted:
        del rosters[0]
