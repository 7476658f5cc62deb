"""Suspicion marks on heartbeats; sets that only grow."""

from sniperudder.tables import Suspicion

_MAX_MARKS = 16
_RECENT_S = 10.0


def pick_suspicions(T, now):
    """Return recently changed marks, filled up with others by chance."""
    marks = list(T.suspicions.values())
    if len(marks) <= _MAX_MARKS:
        return tuple(marks)
    recent = [m for m in marks if now - m.updated_at <= _RECENT_S]
    recent.sort(key=lambda mark: mark.updated_at, reverse=True)
    rest = [m for m in marks if now - m.updated_at > _RECENT_S]
    picked = recent[:_MAX_MARKS]
    room = min(_MAX_MARKS - len(picked), len(rest))
    return tuple(picked + T.rng.sample(rest, room))


def merge_suspicions(T, marks, now):
    """Take in the marks of a peer."""
    for mark in marks:
        known = T.suspicions.get(mark.fingerprint)
        if known is None:
            known = Suspicion(mark.fingerprint)
            T.suspicions[mark.fingerprint] = known
        if not mark.crashes <= known.crashes:
            known.crashes = known.crashes | mark.crashes
            known.updated_at = now
