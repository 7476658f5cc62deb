"""Digest of the members' states, one byte per member.

The members are in the order of a roster that both sides identify by its
version. Bits 0 to 3: age of the evidence in steps of 0.15 s, rounded
up; 15 if it is older or there is none. Bit 4: whether the member was
rooted. Bit 5: whether it is stopping. Bits 6 and 7: how many versions it
is behind the digest's version; 3 for three or more.
"""

from sniperudder.systems import configuration
from sniperudder.systems.membership import _records

_AGE_STEP_S = 0.15
_UNKNOWN_AGE_STEPS = 15
_ROOTED_SHIFT = 4
_STOPPING_SHIFT = 5
_LAG_SHIFT = 6
_MAX_LAG_VERSIONS = 3


def create_digest(T, now):
    """Return a digest in the order of the latest roster.

    Its versions are encoded as lags behind ``T.known_version``.
    Complexity: O(n) for n members.

    Returns
    -------
    roster_version : int
        0 if there is no roster.
    digest : bytes
    """
    if not T.rosters:
        return 0, b''
    roster = T.rosters[-1]
    base_version = T.known_version
    oldest = now - (_UNKNOWN_AGE_STEPS - 1) * _AGE_STEP_S
    get_record = T.instances.get
    digest = bytearray()
    for name in roster.members:
        peer = get_record(name)
        if name == T.me:
            digest.append(_encode_own(T, base_version, now))
        elif peer is None or peer.heard_at <= oldest:
            digest.append(_UNKNOWN_AGE_STEPS)
        else:
            lag = base_version - peer.config_version
            digest.append(
                int((now - peer.heard_at) / _AGE_STEP_S) + 1
                | peer.rooted << _ROOTED_SHIFT
                | peer.stopping << _STOPPING_SHIFT
                | (lag if lag < _MAX_LAG_VERSIONS else _MAX_LAG_VERSIONS)
                << _LAG_SHIFT
            )
    return roster.version, bytes(digest)


def _encode_own(T, base_version, now):
    lag = min(base_version - T.config.version, _MAX_LAG_VERSIONS)
    rooted = configuration.is_rooted(T, now)
    return (
        rooted << _ROOTED_SHIFT
        | T.stopping << _STOPPING_SHIFT
        | lag << _LAG_SHIFT
    )


def apply_digest(T, beat, sent_at, now):
    """Update the records of members from the digest of an answer.

    A digest in the order of an unknown roster is ignored.

    Parameters
    ----------
    T : sniperudder.tables.Tables
    beat : sniperudder.inputs.Heartbeat
    sent_at : float
        When the answered heartbeat was sent, seconds. Evidence is dated
        from then, since the answer was created later.
    now : float
        Seconds.
    """
    names = _find_roster(T, beat.roster_version)
    if len(beat.digest) != len(names):
        return
    T.known_version = max(T.known_version, beat.digest_version)
    evidence_times = [
        sent_at - steps * _AGE_STEP_S for steps in range(_UNKNOWN_AGE_STEPS)
    ]
    evidence_times.append(float('-inf'))
    for name, state in zip(names, beat.digest):
        evidence_at = evidence_times[state & _UNKNOWN_AGE_STEPS]
        peer = T.instances.get(name) or _records.get_peer(T, name)
        if evidence_at > peer.heard_at and name != T.me:
            _apply_state(T, peer, state, beat.digest_version, evidence_at, now)


def _apply_state(T, peer, state, base_version, evidence_at, now):
    lag = state >> _LAG_SHIFT
    version = base_version - lag
    if state >> _STOPPING_SHIFT & 1:
        peer.stopping = True
    # The largest lag is only a lower bound, so the version is an upper
    # bound: it counts as evidence but not as an acknowledgement.
    if lag < _MAX_LAG_VERSIONS:
        _records.record_acked_version(T, peer, version, now)
    rooted = bool(state >> _ROOTED_SHIFT & 1)
    _records.record_evidence(peer, version, rooted, evidence_at)


def _find_roster(T, version):
    for roster in reversed(T.rosters):
        if roster.version == version:
            return roster.members
    return ()
