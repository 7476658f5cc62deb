"""Health of the endpoints as seen by this instance."""

from sniperudder import effects
from sniperudder.systems import suspicion
from sniperudder import tables

_STEP_TIME_SMOOTHING = 0.2
_BACKOFF_BASE_S = 0.5
_BACKOFF_MAX_S = 30.0
_FAILURE_THRESHOLD = 2


def record_load(T, inp, now):
    """Apply the load report of an engine; handles ``LoadReported``."""
    ep = T.endpoints.get(inp.endpoint)
    if ep is None:
        return []
    suspicion.refute_crash(T, ep.name, inp.boot, inp.sent_at)
    ep.reported_streams = inp.streams
    ep.streams_at_report = ep.streams
    ep.reported_at = now
    ep.boot = inp.boot
    ep.load_requested_at = inp.sent_at
    if ep.crashed_boot is None:
        return []
    if inp.boot != ep.crashed_boot or inp.sent_at > ep.failed_at:
        # The engine has restarted, or it never crashed and only its
        # connections broke.
        ep.crashed_boot = None
        ep.retry_at = min(ep.retry_at, now)
    return []


def record_success(T, ep, elapsed_s):
    """Record a step that an endpoint completed in ``elapsed_s`` seconds."""
    ep.failures = 0
    if ep.state is tables.EndpointState.PROBING:
        ep.state = tables.EndpointState.UP
    if ep.step_s:
        ep.step_s += _STEP_TIME_SMOOTHING * (elapsed_s - ep.step_s)
    else:
        ep.step_s = elapsed_s


def record_failure(T, ep, crashed, boot, now):
    """Record a failed call, which may mark the endpoint as down.

    Parameters
    ----------
    T : Tables
    ep : Endpoint
    crashed : bool
        Whether the connection broke while a step was in flight; the
        engine need not have crashed.
    boot : str
        Boot identifier of the engine that the call was sent to.
    now : float
        Seconds.

    Returns
    -------
    list of LogEvent
    """
    is_stale = boot != ep.boot
    if ep.state is tables.EndpointState.DOWN or is_stale:
        return []
    ep.failures += 1
    is_probing = ep.state is tables.EndpointState.PROBING
    if not crashed and not is_probing and ep.failures < _FAILURE_THRESHOLD:
        return []
    ep.state = tables.EndpointState.DOWN
    ep.failed_at = now
    if crashed:
        ep.crashed_boot = ep.boot
    backoff_s = min(_BACKOFF_MAX_S, _BACKOFF_BASE_S * 2 ** (ep.failures - 1))
    ep.retry_at = now + backoff_s * (0.5 + T.rng.random())
    return [effects.LogEvent('endpoint:down', ep.name)]


def run_health(T, now):
    """Start probing endpoints that are down and due for a retry.

    An engine that may have crashed is not probed before a load report
    shows that it runs; the boot identifier in the report distinguishes
    one crash from the next.
    """
    events = []
    for ep in T.endpoints.values():
        if ep.state is not tables.EndpointState.DOWN or now < ep.retry_at:
            continue
        if ep.crashed_boot is not None:
            continue
        ep.state = tables.EndpointState.PROBING
        events.append(effects.LogEvent('endpoint:probe', ep.name))
    return events
