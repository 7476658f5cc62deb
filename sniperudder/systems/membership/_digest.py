"""What an instance knows of each member, in one byte a member.

The members stand in the order of a roster that both sides know by its
version. Bits 0 to 3: age of the evidence in steps of 0.15 s, rounded
up, 15 where it is older or there is none. Bit 4: whether it was rooted.
Bit 5: whether it is stopping. Bits 6 and 7: how far its version lies
below the digest's, 3 where that is three or more.
"""

from sniperudder.systems import configuration
from sniperudder.systems.membership import _records

_STEP_S = 0.15
_NO_AGE = 15
_ROOTED_SHIFT = 4
_STOPPING_SHIFT = 5
_LAG_SHIFT = 6
_LONG_LAG = 3


def create_digest(T, now):
    """Return a digest in the order of the latest roster.

    Its versions are counted down from ``T.known_version``. Complexity:
    O(n) for n members.

    Returns
    -------
    roster_version : int
    digest : bytes
    """
    if not T.rosters:
        return 0, b''
    roster = T.rosters[-1]
    base = T.known_version
    oldest = now - (_NO_AGE - 1) * _STEP_S
    find = T.instances.get
    digest = bytearray()
    for name in roster.members:
        peer = find(name)
        if name == T.me:
            digest.append(_encode_own(T, base, now))
        elif peer is None or peer.heard_at <= oldest:
            digest.append(_NO_AGE)
        else:
            lag = base - peer.config_version
            digest.append(
                int((now - peer.heard_at) / _STEP_S) + 1
                | peer.rooted << _ROOTED_SHIFT
                | peer.stopping << _STOPPING_SHIFT
                | (lag if lag < _LONG_LAG else _LONG_LAG) << _LAG_SHIFT
            )
    return roster.version, bytes(digest)


def _encode_own(T, base, now):
    lag = min(base - T.config.version, _LONG_LAG)
    rooted = configuration.is_rooted(T, now)
    return (
        rooted << _ROOTED_SHIFT
        | T.stopping << _STOPPING_SHIFT
        | lag << _LAG_SHIFT
    )


def take_digest(T, beat, sent_at, now):
    """Take in the digest of an answer.

    Parameters
    ----------
    T : sniperudder.tables.Tables
    beat : sniperudder.inputs.Beat
    sent_at : float
        When the request was sent that it answers, seconds.
    now : float
    """
    names = _find_roster(T, beat.roster_version)
    if len(beat.digest) != len(names):
        return
    T.known_version = max(T.known_version, beat.digest_version)
    times = [sent_at - steps * _STEP_S for steps in range(_NO_AGE)]
    times.append(float('-inf'))
    for name, value in zip(names, beat.digest):
        at = times[value & _NO_AGE]
        peer = T.instances.get(name) or _records.get_peer(T, name)
        if at > peer.heard_at and name != T.me:
            _take_entry(T, peer, value, beat.digest_version, at, now)


def _take_entry(T, peer, value, base, at, now):
    lag = value >> _LAG_SHIFT
    version = base - lag
    if value >> _STOPPING_SHIFT & 1:
        peer.stopping = True
    # A long lag is only a lower bound of the lag, hence an upper bound
    # of the version: evidence, but no acknowledgement.
    if lag < _LONG_LAG:
        _records.note_version(T, peer, version, now)
    rooted = bool(value >> _ROOTED_SHIFT & 1)
    _records.note_evidence(peer, version, rooted, at)


def _find_roster(T, version):
    for roster in reversed(T.rosters):
        if roster.version == version:
            return roster.members
    return ()
