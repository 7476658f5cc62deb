"""Acceptance of versions by a majority of the members."""

from sniperudder.tables import Acceptance

_MAX_ACCEPTANCES = 1024


def get_accepted_version(T):
    """Return the highest version known to be accepted, 0 for none."""
    return T.acceptances[-1].version if T.acceptances else 0


def record_accepted(T, version, now):
    """Record that a version is accepted."""
    if version <= get_accepted_version(T):
        return
    T.acceptances.append(Acceptance(version, now))
    del T.acceptances[:-_MAX_ACCEPTANCES]
    T.known_version = max(T.known_version, version)
    _trim_rosters(T, version)


def get_accepted_at(T, version):
    """Return when a version became known to be accepted, or None."""
    accepted_times = [a.at for a in T.acceptances if a.version >= version]
    return min(accepted_times, default=None)


def update_acceptance(T, now):
    """Find and record the highest version that is accepted at present.

    Instances that are still fresh may be using an older roster, so a
    version needs a majority in each of them: members that have it in
    force or have certainly ended. Complexity: O(n log n) for n members
    and each roster that has become accepted since.
    """
    version = T.config.version
    if version > get_accepted_version(T):
        record_accepted(T, _find_accepted_version(T, version, now), now)


def _find_accepted_version(T, version, now):
    """Return the highest version, up to ``version``, that is accepted."""
    rosters = _list_rosters(T, version)
    last_versions = [*(roster.version for roster in rosters[1:]), version]
    majority_version = float('inf')
    candidate = version if not rosters else 0
    for roster, last_version in zip(rosters, last_versions):
        # A roster decides only versions above its own.
        candidate = min(majority_version, roster.version)
        majority_version = min(
            majority_version, _find_majority_version(T, roster, now)
        )
        if majority_version <= roster.version:
            break
        candidate = min(majority_version, last_version)
        if majority_version < last_version:
            break
    return candidate


def _list_rosters(T, version):
    return [roster for roster in T.rosters if roster.version < version]


def _find_majority_version(T, roster, now):
    if not roster.members:
        return float('inf')
    versions = [_find_acked_version(T, name, now) for name in roster.members]
    versions.sort(reverse=True)
    return versions[len(versions) // 2]


def _find_acked_version(T, name, now):
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

    The list holds every running instance, but lags. A peer has ended
    once it has been missing from the list for more than ``list_lag_s``.
    """
    if peer.absent_since is None:
        return False
    return T.listed_at - peer.absent_since > T.policy.list_lag_s


def _trim_rosters(T, accepted):
    rosters = T.rosters
    while len(rosters) > 1 and rosters[1].version <= accepted:
        del rosters[0]
