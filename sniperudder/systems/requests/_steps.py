"""Construction of the steps of running requests."""

from sniperudder import effects
from sniperudder.systems import configuration


def make_step(T, req, stage_index, now, payload=None):
    """Return the effect that sends a request's next step.

    Parameters
    ----------
    T : Tables
    req : Request
        A running request.
    stage_index : int
    now : float
        Seconds.
    payload : str, optional
        Last token or output of the previous stage; None starts the
        attempt with the prompt and the tokens so far.
    """
    req.stage = stage_index
    req.resent = False
    req.in_flight = True
    stage = req.chain[stage_index]
    if payload is None:
        payload = req.prompt + ''.join(req.tokens)
    step = effects.Step(
        request=req.name,
        attempt=req.attempt,
        position=len(req.tokens),
        first_layer=stage.first_layer,
        end_layer=stage.end_layer,
        model=req.model,
        version=req.version,
        rank=int(req.rank),
        prefill=len(req.tokens) == req.first_position,
        payload=payload,
        last=stage_index == len(req.chain) - 1,
        deadline_s=req.deadline - now,
    )
    return effects.SendStep(stage.endpoint, step)


def find_start_deadline(T, step, now):
    """Return the latest time at which an attempt's first step may start.

    Called immediately before the step is written to the connection,
    since the process may have been suspended, or the configuration
    changed, since the grant.

    Parameters
    ----------
    T : Tables
    step : Step
        With its endpoint in the chain of its request.
    now : float
        Seconds.

    Returns
    -------
    float or None
        Seconds on the instance's clock; None if the step may not be
        sent. The time is passed to the engine, since the process may
        be suspended again before the step is written.
    """
    req = T.requests.get(step.request)
    if req is None or req.attempt != step.attempt:
        return None
    if now >= req.deadline or not configuration.is_fresh(T, now):
        return None
    withdrawn = T.config.withdrawn
    if any(stage.endpoint in withdrawn for stage in req.chain):
        return None
    return min(req.deadline, T.confirmed_at + T.policy.freshness_s)
