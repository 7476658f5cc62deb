"""Completion of requests; each is finished exactly once."""

from sniperudder import effects
from sniperudder import errors
from sniperudder import messages
from sniperudder import outcomes
from sniperudder.systems import dispatch
from sniperudder.systems.requests import _work
from sniperudder import tables


def count_outcome(T, outcome):
    """Increment the metrics counter of an outcome's code."""
    key = f'code.{int(outcome.code)}'
    T.counters[key] = T.counters.get(key, 0) + 1


def has_started(req):
    """Return whether any step of a request ran or may be running."""
    return req.may_have_run or bool(req.chain)


def release_slot(T, req, now):
    """Release the slot of the current attempt, or cancel its request.

    Returns
    -------
    list of effect
        A ``CancelStream`` for each endpoint of the attempt, since each
        may hold state of the stream, and the release.
    """
    if req.in_flight:
        _abandon_step(T, req)
    result = [
        effects.CancelStream(stage.endpoint, req.name, req.attempt)
        for stage in req.chain
    ]
    release = messages.ReleaseSlot(
        req.name,
        req.attempt,
        _work.measure_work(req),
        _collect_samples(T, req),
    )
    req.chain = ()
    req.samples = {}
    req.state = tables.RequestState.WAITING
    return [*result, *dispatch.send_slot_message(T, req.home, release, now)]


def _abandon_step(T, req):
    # The step may still run and may still crash its engine.
    endpoint = req.chain[req.stage].endpoint
    T.abandoned[(req.name, req.attempt)] = tables.AbandonedStep(
        req.fingerprint, req.boots.get(endpoint, ''), req.part_keys
    )
    req.in_flight = False
    req.may_have_run = True


def _collect_samples(T, req):
    samples = dict(req.samples)
    for stage in req.chain:
        ep = T.endpoints.get(stage.endpoint)
        if ep is not None and ep.step_s and ep.name not in samples:
            samples[ep.name] = messages.Sample(ep.name, ep.step_s)
    return tuple(samples.values())


def end_condemned(T, req, now):
    """Finish a request whose content is condemned after two crashes."""
    if has_started(req):
        outcome = outcomes.Failed(outcomes.Code.CRASHED_ENDPOINTS)
    else:
        outcome = outcomes.Refused(outcomes.Code.CONTENT_CONDEMNED)
    return finish_request(T, req, outcome, now)


def create_end_event(req, outcome):
    """Return the log event for the end of a request, with its code."""
    code = outcome.code
    return effects.LogEvent(
        'request:end', req.name, f'{int(code)} {code.name}'
    )


def finish_request(T, req, outcome, now):
    """Finish a request with an outcome.

    Parameters
    ----------
    T : Tables
    req : Request
        A waiting or running request.
    outcome : Outcome
    now : float
        Seconds.

    Returns
    -------
    list of effect

    Raises
    ------
    InvariantBroken
        If the request is already finished, or if the outcome is a
        refusal, which means not run, although a step was sent.
    """
    if req.state is tables.RequestState.DONE:
        raise errors.InvariantBroken(
            f'{req.name}: request is already finished'
        )
    refused = isinstance(outcome, outcomes.Refused)
    if refused and has_started(req):
        raise errors.InvariantBroken(
            f'{req.name}: refused as not run after it started'
        )
    # Removed from the table first, since the release may immediately grant
    # the slot to another request.
    del T.requests[req.name]
    released = release_slot(T, req, now)
    req.state = tables.RequestState.DONE
    count_outcome(T, outcome)
    return [
        *released,
        create_end_event(req, outcome),
        effects.SendOutcome(req.name, outcome),
    ]
