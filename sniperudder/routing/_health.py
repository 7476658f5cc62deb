"""Which endpoints are set aside for a while after a failure."""

# First time for which an endpoint is set aside, seconds; doubled with
# each further failure.
_FIRST_AVOID_S = 0.5

# Time for which an endpoint without room is passed over, seconds; half of
# what passes between two digests of a peer.
_REFUSED_S = 0.15

# Longest time after failures: an endpoint that died is off the platform's
# list after three heartbeats of 1.2 s.
_MAX_AVOID_S = 4.0


def record_failure(state, now, at_least_s=0.0):
    """Set an endpoint aside after a failure.

    Parameters
    ----------
    state : sniperudder.fleet.EndpointState
    now : float
        Seconds.
    at_least_s : float
        Shortest time to set it aside, seconds.
    """
    state.failures += 1
    avoid_s = min(_FIRST_AVOID_S * 2 ** (state.failures - 1), _MAX_AVOID_S)
    until = now + max(avoid_s, at_least_s)
    state.avoid_until = max(state.avoid_until, until)


def record_refusal(state, now):
    """Prefer other endpoints for a moment after one had no room.

    Unlike a failure this says nothing of the endpoint's health: room
    comes back as requests end, some of them each moment.
    """
    state.avoid_until = max(state.avoid_until, now + _REFUSED_S)


def record_success(state, now):
    """Note that an endpoint worked."""
    state.failures = 0
    state.avoid_until = 0.0
    state.progress_at = now


def is_avoided(state, now):
    """Tell whether other endpoints are preferred at present."""
    return now < state.avoid_until
