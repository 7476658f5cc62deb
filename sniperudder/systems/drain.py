"""Graceful shutdown of this instance."""

from sniperudder import effects
from sniperudder import inputs


def stop_instance(T, inp, now):
    """Start a graceful shutdown; handles ``StopRequested``.

    Peers and the load balancer are notified at once. New work is still
    accepted for ``balancer_lag_s`` seconds, since the load balancer may
    keep sending some until then.
    """
    if T.stopping:
        return []
    T.stopping = True
    T.refuse_at = now + T.policy.balancer_lag_s
    return [effects.LogEvent('instance:drain', T.me)]


HANDLERS = {inputs.StopRequested: stop_instance}
PURPOSES = {}
