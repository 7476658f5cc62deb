"""The end of a request, reached exactly once."""

from sniperudder import effects
from sniperudder import errors
from sniperudder import outcomes
from sniperudder.systems.requests import _queues
from sniperudder.systems.requests import _work
from sniperudder import tables

_SMOOTHING = 0.05


def count_outcome(T, req, outcome):
    """Count an outcome by code for the metrics."""
    key = f'code.{int(outcome.code)}'
    T.counters[key] = T.counters.get(key, 0) + 1


def release_chain(T, req, now):
    """Give back the slots of the current attempt.

    Returns
    -------
    list of CancelStream
        One for each endpoint of the attempt, since each may hold state.
    """
    cancels = []
    for stage in req.chain:
        ep = T.endpoints.get(stage.endpoint)
        if ep is not None:
            ep.streams -= 1
        cancels.append(
            effects.CancelStream(stage.endpoint, req.name, req.attempt)
        )
    if req.chain:
        T.running[req.rank] -= 1
        held_s = now - req.begun_at
        T.service_s += _SMOOTHING * (held_s - T.service_s)
    req.chain = ()
    return cancels


def has_started(req):
    """Return whether a step of a request ran or may be running."""
    return req.maybe_ran or bool(req.chain)


def finish_request(T, req, outcome, now):
    """End a request with its outcome.

    Parameters
    ----------
    T : Tables
    req : Request
        A queued or running request.
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
    if req.state is tables.RequestState.QUEUED:
        _queues.remove_request(T, req)
    cancels = release_chain(T, req, now)
    _queues.charge_work(T, req, _correct_charge(req))
    req.state = tables.RequestState.DONE
    del T.requests[req.name]
    count_outcome(T, req, outcome)
    return [*cancels, effects.Finish(req.name, outcome)]


def refuse_queued(T, req, refusal, now):
    """End a queued request that shall not be served further.

    One that already ran in part is failed and not refused.
    """
    if not has_started(req):
        return finish_request(T, req, refusal, now)
    failure = outcomes.Failed(
        outcomes.Code.DEADLINE_WHILE_RUNNING, refusal.detail
    )
    return finish_request(T, req, failure, now)


def _correct_charge(req):
    if not req.maybe_ran:
        return -req.charged
    return _work.measure_work(req) - req.charged
