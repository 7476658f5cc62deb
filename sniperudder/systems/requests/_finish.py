"""The end of a request, reached exactly once."""

from sniperudder import effects
from sniperudder import errors
from sniperudder import messages
from sniperudder import outcomes
from sniperudder.systems import dispatch
from sniperudder.systems.requests import _work
from sniperudder import tables


def count_outcome(T, outcome):
    """Count an outcome by code for the metrics."""
    key = f'code.{int(outcome.code)}'
    T.counters[key] = T.counters.get(key, 0) + 1


def has_started(req):
    """Return whether a step of a request ran or may be running."""
    return req.maybe_ran or bool(req.chain)


def release_slot(T, req, now):
    """Give back the slot of the current attempt, or stop asking for it.

    Returns
    -------
    list of effect
        A ``CancelStream`` for each endpoint of the attempt, since each
        may hold state, and the release.
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
    return [*result, *dispatch.post_message(T, req.home, release, now)]


def _abandon_step(T, req):
    # It may yet run, and it may yet crash its engine.
    endpoint = req.chain[req.stage].endpoint
    T.abandoned[(req.name, req.attempt)] = tables.Abandoned(
        req.fingerprint, req.boots.get(endpoint, '')
    )
    req.in_flight = False
    req.maybe_ran = True


def _collect_samples(T, req):
    samples = dict(req.samples)
    for stage in req.chain:
        ep = T.endpoints.get(stage.endpoint)
        if ep is not None and ep.step_s and ep.name not in samples:
            samples[ep.name] = messages.Sample(ep.name, ep.step_s)
    return tuple(samples.values())


def end_condemned(T, req, now):
    """End a request whose content crashed two endpoints."""
    if has_started(req):
        outcome = outcomes.Failed(outcomes.Code.CRASHED_ENDPOINTS)
    else:
        outcome = outcomes.Refused(outcomes.Code.CONTENT_CONDEMNED)
    return finish_request(T, req, outcome, now)


def note_end(req, outcome):
    """Return the note that a request ended, with its code."""
    code = outcome.code
    return effects.Note('request:end', req.name, f'{int(code)} {code.name}')


def finish_request(T, req, outcome, now):
    """End a request with its outcome.

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
        If the request was finished before, or if a refusal as not run
        is given to a request of which a step was sent.
    """
    if req.state is tables.RequestState.DONE:
        raise errors.InvariantBroken(f'{req.name} is finished twice')
    refused = isinstance(outcome, outcomes.Refused)
    if refused and has_started(req):
        raise errors.InvariantBroken(f'{req.name} was started')
    # Gone from the table first: the release may hand its slot on at once.
    del T.requests[req.name]
    released = release_slot(T, req, now)
    req.state = tables.RequestState.DONE
    count_outcome(T, outcome)
    return [
        *released,
        note_end(req, outcome),
        effects.Finish(req.name, outcome),
    ]
