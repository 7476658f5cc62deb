"""Which endpoints are set aside for a while after a failure."""

# First time for which an endpoint is set aside, seconds; doubled with
# each further failure.
_FIRST_AVOID_S = 0.5

# Time for which an endpoint without room is passed over, seconds; half of
# what passes between two digests of a peer. Doubled with each refusal
# while nothing goes on there: a stage that is gone refuses just as fast.
_REFUSED_S = 0.15

# Refusals without progress after which other instances are told.
_TOLD_REFUSALS = 3

# Time for which other instances are told of a failure, seconds. It may
# concern this instance only, so they are told for less time than it avoids
# the endpoint itself.
_TOLD_FAILURE_S = 1.0

# Age up to which progress at an endpoint disproves what others tell of
# it, seconds: twice the time between two digests.
_DISPROOF_S = 0.5

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
    state.dead_until = max(state.dead_until, now + _TOLD_FAILURE_S)


def record_refusal(state, now):
    """Prefer other endpoints for a while after one refused a request.

    An endpoint without room goes on with what it has; where nothing goes
    on between refusals, it is taken for dead.
    """
    if state.progress_at > state.refused_at:
        state.refusals = 0
    state.refusals += 1
    state.refused_at = now
    avoid_s = min(_REFUSED_S * 2 ** (state.refusals - 1), _MAX_AVOID_S)
    state.avoid_until = max(state.avoid_until, now + avoid_s)
    if state.refusals >= _TOLD_REFUSALS:
        state.dead_until = max(state.dead_until, now + avoid_s)


def record_dead(state, now, avoid_s):
    """Set aside an endpoint that an engine found dead."""
    record_failure(state, now, avoid_s)
    state.dead_until = max(state.dead_until, now + avoid_s)


def record_misplaced(state, now):
    """Set aside an endpoint that does not hold what it is listed with."""
    until = now + _MAX_AVOID_S
    state.avoid_until = max(state.avoid_until, until)
    state.dead_until = max(state.dead_until, until)


def record_placed(state):
    """Note that the list tells anew what an endpoint holds."""
    state.refusals = 0
    state.avoid_until = 0.0
    state.dead_until = 0.0


def record_told(state, now, left_s):
    """Take in that another instance found an endpoint dead.

    Returns
    -------
    bool
        Whether it is believed: nothing has gone on there lately.
    """
    if now - state.progress_at < _DISPROOF_S:
        return False
    state.avoid_until = max(state.avoid_until, now + left_s)
    return True


def record_success(state, now):
    """Note that an endpoint worked."""
    state.failures = 0
    state.refusals = 0
    state.avoid_until = 0.0
    state.dead_until = 0.0
    state.progress_at = now


def is_avoided(state, now):
    """Tell whether other endpoints are preferred at present."""
    return now < state.avoid_until
