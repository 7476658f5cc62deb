"""Tracking of request contents that may crash endpoints.

The content of every request in flight at a possible crash is suspect. A
suspect request is retried only on endpoints without another suspect one,
so that a second crash can be attributed to it. After the second crash the
request content is condemned in the whole fleet. A request that completes
clears its content.

All that an entry observes of a crash is a broken connection or a
timeout. The crash is confirmed by a load report with another boot
identifier, or by the absence of reports. It is refuted by a report with
the same boot identifier that was requested after the failure.
"""

from sniperudder import tables

_CRASH_THRESHOLD = 2
_MAX_SUSPICIONS = 2000
# Without a report for this long, a crash counts as confirmed. Reports are
# requested about once a second.
_NO_REPORT_S = 3.0


def make_crash_id(endpoint, boot):
    """Return the identifier of the crash of an engine.

    An engine crashes at most once per boot identifier.

    Examples
    --------
    >>> make_crash_id('gpu-1', 'b7')
    'gpu-1:b7'
    """
    return f'{endpoint}:{boot}'


def is_suspect(T, fingerprint):
    """Return whether request content was in flight at a possible crash."""
    record = T.suspicions.get(fingerprint)
    return record is not None and bool(record.crashes)


def is_condemned(T, fingerprint, now):
    """Return whether enough crashes of request content are confirmed."""
    record = T.suspicions.get(fingerprint)
    if record is None or len(record.crashes) < _CRASH_THRESHOLD:
        return False
    return count_confirmed(T, record, now) >= _CRASH_THRESHOLD


def is_awaiting_confirmation(T, fingerprint, now):
    """Return whether the crashes of request content await confirmation.

    That is, whether they would condemn it if all were confirmed.
    """
    record = T.suspicions.get(fingerprint)
    if record is None or len(record.crashes) < _CRASH_THRESHOLD:
        return False
    return not is_condemned(T, fingerprint, now)


def count_confirmed(T, record, now):
    """Return the number of confirmed crashes of a suspicion."""
    return sum(_is_confirmed(T, record, c, now) for c in record.crashes)


def _is_confirmed(T, record, crash_id, now):
    endpoint, _, boot = crash_id.rpartition(':')
    ep = T.endpoints.get(endpoint)
    if ep is None or ep.boot != boot:
        return True
    has_newer_report = ep.load_requested_at > record.updated_at
    return not has_newer_report and now - record.updated_at > _NO_REPORT_S


def record_crash(T, fingerprint, crash_id, now, settle_s=0.0):
    """Record that request content was in flight at a possible crash.

    Parameters
    ----------
    T : Tables
    fingerprint : str
    crash_id : str
        From ``make_crash_id``, the same at every instance.
    now : float
        Seconds.
    settle_s : float
        Time for which the engine may still be running the step, seconds.
    """
    record = T.suspicions.get(fingerprint)
    if record is None:
        record = tables.Suspicion(fingerprint)
        T.suspicions[fingerprint] = record
    record.settled_at = max(record.settled_at, now + settle_s)
    if crash_id in record.crashes:
        return
    record.crashes = record.crashes | {crash_id}
    record.updated_at = now
    if len(T.suspicions) > _MAX_SUSPICIONS:
        oldest = min(T.suspicions.values(), key=lambda m: m.updated_at)
        del T.suspicions[oldest.fingerprint]


def refute_crash(T, endpoint, boot, sent_at):
    """Remove a crash that did not happen from all suspicions.

    Parameters
    ----------
    T : Tables
    endpoint, boot : str
        Engine and boot identifier from a load report.
    sent_at : float
        When the report was requested, seconds.

    Notes
    -----
    O(n) in the number of suspicions.
    """
    crash_id = make_crash_id(endpoint, boot)
    for suspicions in (T.suspicions, T.part_suspicions):
        for record in list(suspicions.values()):
            if crash_id in record.crashes and sent_at > record.settled_at:
                record.crashes = record.crashes - {crash_id}
                if not record.crashes:
                    del suspicions[record.fingerprint]


def clear_suspicion(T, fingerprint, now):
    """Clear the suspicion of request content unless it is condemned.

    Called when a request with this content completes.
    """
    if not is_condemned(T, fingerprint, now):
        T.suspicions.pop(fingerprint, None)
