"""Temporary avoidance of endpoints after failures and refusals."""

# Time for which an endpoint is avoided after its first failure, seconds;
# doubled with each further failure.
_FAILURE_AVOID_S = 0.5

# Time for which an endpoint is avoided after it refused a request, seconds:
# about half the interval between two digests of a peer. Doubled with each
# refusal without progress in between, since a dead stage also causes
# immediate refusals.
_REFUSAL_AVOID_S = 0.15

# Refusals without progress after which fault notices are sent to other
# instances.
_REFUSALS_BEFORE_NOTICE = 3

# Time for which fault notices of a failure are sent to other instances,
# seconds. The failure may affect this instance only, so the time is short and
# does not double, unlike the time for which this instance avoids the endpoint.
_FAILURE_NOTICE_S = 1.0

# Age up to which progress at an endpoint overrides fault notices of other
# instances, seconds: twice the interval between two digests.
_RECENT_PROGRESS_S = 0.5

# Longest time for which failures keep an endpoint avoided, seconds: the
# platform delists a dead endpoint after three heartbeats of 1.2 s.
_MAX_AVOID_S = 4.0


def record_failure(state, now, min_avoid_s=0.0):
    """Avoid an endpoint for a while after a failure.

    Parameters
    ----------
    state : sniperudder.fleet.EndpointState
    now : float
        Loop time, seconds.
    min_avoid_s : float
        Shortest time for which it is avoided, seconds.
    """
    state.failures += 1
    avoid_s = min(_FAILURE_AVOID_S * 2 ** (state.failures - 1), _MAX_AVOID_S)
    until = now + max(avoid_s, min_avoid_s)
    state.avoid_until = max(state.avoid_until, until)
    state.dead_until = max(state.dead_until, now + _FAILURE_NOTICE_S)


def record_refusal(state, now):
    """Avoid an endpoint for a while after it refused a request.

    A full endpoint still makes progress with the requests that it has. One
    without progress between refusals is taken to be dead.
    """
    if state.progress_at > state.refused_at:
        state.refusals = 0
    state.refusals += 1
    state.refused_at = now
    avoid_s = min(_REFUSAL_AVOID_S * 2 ** (state.refusals - 1), _MAX_AVOID_S)
    state.avoid_until = max(state.avoid_until, now + avoid_s)
    if state.refusals >= _REFUSALS_BEFORE_NOTICE:
        state.dead_until = max(state.dead_until, now + avoid_s)


def record_dead(state, now, avoid_s):
    """Avoid an endpoint that an engine found dead."""
    record_failure(state, now, avoid_s)
    state.dead_until = max(state.dead_until, now + avoid_s)


def record_layer_mismatch(state, now):
    """Avoid an endpoint that does not hold the layers it is listed with."""
    until = now + _MAX_AVOID_S
    state.avoid_until = max(state.avoid_until, until)
    state.dead_until = max(state.dead_until, until)


def record_layers_changed(state):
    """Stop avoiding an endpoint that is listed with other layers now."""
    state.refusals = 0
    state.avoid_until = 0.0
    state.dead_until = 0.0


def record_fault_notice(state, now, remaining_s):
    """Avoid an endpoint for which another instance sent a fault notice.

    Parameters
    ----------
    state : sniperudder.fleet.EndpointState
    now : float
        Loop time, seconds.
    remaining_s : float
        Time for which the notice is still valid, seconds.

    Returns
    -------
    bool
        Whether the notice was accepted; it is ignored if this instance saw
        the endpoint make progress recently.
    """
    if now - state.progress_at < _RECENT_PROGRESS_S:
        return False
    state.avoid_until = max(state.avoid_until, now + remaining_s)
    return True


def record_success(state, now):
    """Reset the failures of an endpoint that responded."""
    state.failures = 0
    state.refusals = 0
    state.avoid_until = 0.0
    state.dead_until = 0.0
    state.progress_at = now


def is_avoided(state, now):
    """Return whether other endpoints are preferred at present."""
    return now < state.avoid_until
