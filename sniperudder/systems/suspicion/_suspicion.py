"""Contents that may crash endpoints.

Every content in flight at a crash is suspect. A suspect runs again
only where no other suspect runs, so that a second crash has one cause;
after the second crash its content is condemned in the whole fleet. A
run that completes clears its content.
"""

from sniperudder import tables

_CRASHES_ALLOWED = 2
_MARKS_KEPT = 10000


def is_suspect(T, fingerprint):
    """Return whether a content was in flight at a crash."""
    mark = T.suspicions.get(fingerprint)
    return mark is not None and bool(mark.crashes)


def is_condemned(T, fingerprint):
    """Return whether a content crashed as many endpoints as allowed."""
    mark = T.suspicions.get(fingerprint)
    return mark is not None and len(mark.crashes) >= _CRASHES_ALLOWED


def mark_crash(T, fingerprint, crash, now):
    """Record that a content was in flight at a crash.

    Parameters
    ----------
    T : Tables
    fingerprint : str
    crash : str
        Identifier of the crash, the same at every instance.
    now : float
        Seconds.
    """
    mark = T.suspicions.get(fingerprint)
    if mark is None:
        mark = tables.Suspicion(fingerprint)
        T.suspicions[fingerprint] = mark
    mark.crashes = mark.crashes | {crash}
    mark.updated_at = now
    if len(T.suspicions) > _MARKS_KEPT:
        oldest = min(T.suspicions.values(), key=lambda m: m.updated_at)
        del T.suspicions[oldest.fingerprint]


def clear_content(T, fingerprint):
    """Forget the suspicion of a content whose run completed."""
    if not is_condemned(T, fingerprint):
        T.suspicions.pop(fingerprint, None)
