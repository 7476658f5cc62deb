"""The planned stop of this instance."""

from sniperudder import effects
from sniperudder import inputs


def stop_instance(T, inp, now):
    """Begin the planned stop; handles ``StopRequested``.

    Peers and the balancer are told at once, and new work is taken for
    as long as the balancer may still send some.
    """
    if T.stopping:
        return []
    T.stopping = True
    T.refuse_at = now + T.policy.balancer_lag_s
    return [effects.Note('instance:drain', T.me)]


HANDLERS = {inputs.StopRequested: stop_instance}
PURPOSES = {}
