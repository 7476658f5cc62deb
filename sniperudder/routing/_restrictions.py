"""Whether an instance may send an endpoint a request now.

Unlike the avoidance of endpoints after failures (`_health`), which is a
preference, a restriction that an endpoint stated itself always applies, even
if no other endpoint is left.
"""

from sniperudder.routing import _quotas


def is_open(T, endpoint, now):
    """Return whether an endpoint accepts requests from this instance.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    endpoint : sniperudder.fleet.Endpoint
    now : float
        Time of `sniperudder.clocks.read_clock`, seconds.

    Returns
    -------
    bool
        False if it leaves or has asked for a pause.
    """
    known = T.notices.get((endpoint.id, endpoint.born_ms))
    return not known.leaving and now >= known.paused_until


def may_send(T, endpoint, now):
    """Return whether this instance may send an endpoint a request now.

    Parameters are those of `is_open`; the rate limit is considered as well.
    """
    return is_open(T, endpoint, now) and _quotas.has_quota(T, endpoint, now)


def list_restricted(T, endpoints, now):
    """Return the ids of the endpoints that may be sent no request now.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    endpoints : iterable of sniperudder.fleet.Endpoint
    now : float
        Time of `sniperudder.clocks.read_clock`, seconds.

    Returns
    -------
    set of str
    """
    return {e.id for e in endpoints if not may_send(T, e, now)}


def get_pause_s(T, endpoints, now):
    """Return the time until the first of several endpoints ends its pause.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    endpoints : iterable of sniperudder.fleet.Endpoint
    now : float
        Time of `sniperudder.clocks.read_clock`, seconds.

    Returns
    -------
    float
        Seconds; 0 if one of them does not pause.
    """
    return min(
        (
            max(T.notices.get((e.id, e.born_ms)).paused_until - now, 0.0)
            for e in endpoints
        ),
        default=0.0,
    )
