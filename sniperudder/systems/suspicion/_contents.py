"""Suspicions of a request: of its whole content, and of parts of its prompt.

A request is anything with a ``fingerprint`` and ``part_keys``.
"""

from sniperudder.systems.suspicion import _parts
from sniperudder.systems.suspicion import _suspicion


def is_request_condemned(T, req, now):
    """Return whether a request must not run, for its content or a part."""
    return _suspicion.is_condemned(
        T, req.fingerprint, now
    ) or _parts.has_condemned_parts(T, req.part_keys, now)


def is_request_awaiting(T, req, now):
    """Return whether crashes that would condemn it await confirmation."""
    return _suspicion.is_awaiting_confirmation(
        T, req.fingerprint, now
    ) or _parts.has_unconfirmed_parts(T, req.part_keys, now)


def record_request_crash(T, req, crash_id, now, settle_s=0.0):
    """Record that a request was in flight at a possible crash.

    Parameters are those of ``record_crash``.
    """
    _suspicion.record_crash(T, req.fingerprint, crash_id, now, settle_s)
    _parts.record_part_crash(T, req.part_keys, crash_id, now, settle_s)


def clear_request(T, req, now):
    """Clear a request that has completed, unless it is condemned."""
    _suspicion.clear_suspicion(T, req.fingerprint, now)
    _parts.clear_parts(T, req.part_keys, now)
