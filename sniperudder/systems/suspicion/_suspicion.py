"""Contents that may crash endpoints.

Every content in flight at a crash is suspect. A suspect runs again
only where no other suspect runs, so that a second crash has one cause;
after the second crash its content is condemned in the whole fleet. A
run that completes clears its content.

A broken connection is all that an entry sees of a crash. It is proved
by a report that names another run of the engine, or by silence, and
disproved by a report, asked for after the break, that names the same
run.
"""

from sniperudder import tables

_CRASHES_ALLOWED = 2
_MARKS_KEPT = 2000
# Reports are asked for about once a second.
_SILENCE_S = 3.0


def name_crash(endpoint, boot):
    """Return the identifier of the end of an engine's run.

    Examples
    --------
    >>> name_crash('gpu-1', 'b7')
    'gpu-1:b7'
    """
    return f'{endpoint}:{boot}'


def is_suspect(T, fingerprint):
    """Return whether a content was in flight at a possible crash."""
    mark = T.suspicions.get(fingerprint)
    return mark is not None and bool(mark.crashes)


def is_condemned(T, fingerprint, now):
    """Return whether a content crashed as many endpoints as allowed."""
    mark = T.suspicions.get(fingerprint)
    if mark is None or len(mark.crashes) < _CRASHES_ALLOWED:
        return False
    proved = [c for c in mark.crashes if _is_proved(T, mark, c, now)]
    return len(proved) >= _CRASHES_ALLOWED


def is_undecided(T, fingerprint, now):
    """Return whether a content waits for the proof of its crashes."""
    mark = T.suspicions.get(fingerprint)
    if mark is None or len(mark.crashes) < _CRASHES_ALLOWED:
        return False
    return not is_condemned(T, fingerprint, now)


def _is_proved(T, mark, crash, now):
    endpoint, _, boot = crash.rpartition(':')
    ep = T.endpoints.get(endpoint)
    if ep is None or ep.boot != boot:
        return True
    heard = ep.asked_at > mark.updated_at
    return not heard and now - mark.updated_at > _SILENCE_S


def mark_crash(T, fingerprint, crash, now, settle_s=0.0):
    """Record that a content was in flight at a possible crash.

    Parameters
    ----------
    T : Tables
    fingerprint : str
    crash : str
        From ``name_crash``, the same at every instance.
    now : float
        Seconds.
    settle_s : float
        Time for which the engine may still be running the step.
    """
    mark = T.suspicions.get(fingerprint)
    if mark is None:
        mark = tables.Suspicion(fingerprint)
        T.suspicions[fingerprint] = mark
    mark.settled_at = max(mark.settled_at, now + settle_s)
    if crash in mark.crashes:
        return
    mark.crashes = mark.crashes | {crash}
    mark.updated_at = now
    if len(T.suspicions) > _MARKS_KEPT:
        oldest = min(T.suspicions.values(), key=lambda m: m.updated_at)
        del T.suspicions[oldest.fingerprint]


def disprove_crash(T, endpoint, boot, sent_at):
    """Take back the marks of a crash that did not happen.

    Parameters
    ----------
    T : Tables
    endpoint, boot : str
        The run that a report says is still going on.
    sent_at : float
        When the report was asked for, seconds.

    Notes
    -----
    O(n) in the number of marks.
    """
    crash = name_crash(endpoint, boot)
    for mark in list(T.suspicions.values()):
        if crash in mark.crashes and sent_at > mark.settled_at:
            mark.crashes = mark.crashes - {crash}
            if not mark.crashes:
                del T.suspicions[mark.fingerprint]


def clear_content(T, fingerprint, now):
    """Forget the suspicion of a content whose run completed."""
    if not is_condemned(T, fingerprint, now):
        T.suspicions.pop(fingerprint, None)
