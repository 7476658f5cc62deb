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
    or has certainly ended. Complexity: O(n log n) for n members and each
    roster that has become accepted since.
    """
    version = T.config.version
    if version > get_accepted(T):
        note_accepted(T, _find_acceptable(T, version, now), now)


def _find_acceptable(T, version, now):
    rosters = _list_rosters(T, version)
    ends = [*(roster.version for roster in rosters[1:]), version]
    held = float('inf')
    found = version if not rosters else 0
    for roster, end in zip(rosters, ends):
        # Versions up to its own do not depend on a roster.
        found = min(held, roster.version)
        held = min(held, _find_majority(T, roster, now))
        if held <= roster.version:
            break
        found = min(held, end)
        if held < end:
            break
    return found


def _list_rosters(T, version):
    return [roster for roster in T.rosters if roster.version < version]


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
