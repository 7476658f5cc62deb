"""Exchange of suspicions by heartbeats.

Merging only adds crashes: each set becomes the union of both sides.
"""

from sniperudder.systems import suspicion as suspicion_system
from sniperudder.tables import Suspicion

_MAX_SUSPICIONS = 16
_MAX_PART_SUSPICIONS = 16
_RECENT_AGE_S = 10.0


def select_suspicions(T, now):
    """Return the suspicions to send to a peer.

    Returns
    -------
    tuple of Suspicion
        Of contents, those updated recently and a random sample of others. Of
        parts, those with most crashes and a random sample of others.
    """
    return _select_contents(T, now) + _select_parts(T)


def _select_parts(T):
    parts = sorted(
        T.part_suspicions.values(),
        key=lambda suspicion: (-len(suspicion.crashes), suspicion.fingerprint),
    )
    if len(parts) <= _MAX_PART_SUSPICIONS:
        return tuple(parts)
    half = _MAX_PART_SUSPICIONS // 2
    return tuple(parts[:half] + T.rng.sample(parts[half:], half))


def _select_contents(T, now):
    suspicions = list(T.suspicions.values())
    if len(suspicions) <= _MAX_SUSPICIONS:
        return tuple(suspicions)
    recent = [
        suspicion
        for suspicion in suspicions
        if now - suspicion.updated_at <= _RECENT_AGE_S
    ]
    recent.sort(key=lambda suspicion: suspicion.updated_at, reverse=True)
    older = [
        suspicion
        for suspicion in suspicions
        if now - suspicion.updated_at > _RECENT_AGE_S
    ]
    selected = recent[:_MAX_SUSPICIONS]
    capacity = min(_MAX_SUSPICIONS - len(selected), len(older))
    return tuple(selected + T.rng.sample(older, capacity))


def merge_suspicions(T, suspicions, now):
    """Merge the suspicions of a peer into this instance's."""
    for suspicion in suspicions:
        own = (
            T.part_suspicions
            if suspicion_system.is_part_key(suspicion.fingerprint)
            else T.suspicions
        )
        known = own.get(suspicion.fingerprint)
        if known is None:
            known = Suspicion(suspicion.fingerprint)
            own[suspicion.fingerprint] = known
        if not suspicion.crashes <= known.crashes:
            known.crashes = known.crashes | suspicion.crashes
            known.updated_at = now
