"""Exchange of suspicions by heartbeats.

Merging only adds crashes: each set becomes the union of both sides.
"""

from sniperudder.tables import Suspicion

_MAX_SUSPICIONS = 16
_RECENT_AGE_S = 10.0


def select_suspicions(T, now):
    """Return recently updated suspicions and a random sample of others."""
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
        known = T.suspicions.get(suspicion.fingerprint)
        if known is None:
            known = Suspicion(suspicion.fingerprint)
            T.suspicions[suspicion.fingerprint] = known
        if not suspicion.crashes <= known.crashes:
            known.crashes = known.crashes | suspicion.crashes
            known.updated_at = now
