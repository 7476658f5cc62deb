"""Which queued request starts next, and on which chain."""

import heapq

from sniperudder import effects
from sniperudder import errors
from sniperudder import outcomes
from sniperudder.systems import configuration
from sniperudder.systems.requests import _chains
from sniperudder.systems.requests import _finish
from sniperudder.systems.requests import _health
from sniperudder.systems.requests import _queues
from sniperudder.systems.requests import _suspicion
from sniperudder.systems.requests import _work
from sniperudder import tables

# A stream gives way at most this often, so that it ends at last.
_YIELDS_ALLOWED = 3


def may_start(T, step, now):
    """Return whether the first step of an attempt may still be sent.

    Asked right before the bytes leave, since the process may have been
    frozen, or the configuration changed, after the dispatch.

    Parameters
    ----------
    T : Tables
    step : Step
        With its endpoint in the chain of its request.
    now : float
        Seconds.
    """
    req = T.requests.get(step.request)
    if req is None or req.attempt != step.attempt:
        return False
    if now >= req.deadline or not configuration.is_fresh(T, now):
        return False
    withdrawn = T.config.withdrawn
    return not any(stage.endpoint in withdrawn for stage in req.chain)


def run_requests(T, now):
    """Do what is due at a tick: timers, health, dispatch."""
    result = _run_timers(T, now)
    result.extend(_health.run_health(T, now))
    result.extend(dispatch_requests(T, now))
    return result


def dispatch_requests(T, now):
    """Start as many queued requests as have slots.

    Returns
    -------
    list of effect
    """
    if not any(T.queues.values()) or not configuration.is_fresh(T, now):
        return []
    result = []
    blocked = set()
    while True:
        rank = _choose_rank(T, blocked)
        if rank is None:
            return result
        started = _start_next(T, rank, now)
        if started is None:
            blocked.add(rank)
        else:
            result.extend(started)


def _choose_rank(T, blocked):
    # Ranks below their floor go first; then the most urgent.
    total = sum(T.running.values()) + 1
    waiting = [r for r in tables.RANKS if T.queues[r] and r not in blocked]
    for rank in waiting:
        if T.running[rank] < _find_floor(T, rank) * total:
            return rank
    return waiting[0] if waiting else None


def _find_floor(T, rank):
    return T.config.floors.get(rank, T.policy.ranks[rank].floor)


def _start_next(T, rank, now):
    full = set()
    for name in _queues.list_organisations(T, rank):
        req = _find_ready(T, rank, name, now)
        if req is None or req.model in full:
            continue
        if _suspicion.is_condemned(T, req.fingerprint):
            return _end_condemned(T, req, now)
        chain = _choose_chain(T, req, now)
        if chain is not None:
            return _start_attempt(T, req, chain, now)
        victim = _find_victim(T, req, now)
        if victim is not None:
            return _make_room(T, victim, now)
        if not _suspicion.is_suspect(T, req.fingerprint):
            full.add(req.model)
    return None


def _find_ready(T, rank, organisation, now):
    for name in T.queues[rank][organisation]:
        req = T.requests[name]
        if req.not_before <= now:
            return req
    return None


def _choose_chain(T, req, now):
    model = T.models[req.model]
    if not _suspicion.is_suspect(T, req.fingerprint):
        return _chains.choose_chain(T, model, req.rank, now)
    taken = _suspicion.list_suspect_endpoints(T)
    return _chains.choose_chain(
        T, model, req.rank, now, lambda ep: ep.name not in taken
    )


def _start_attempt(T, req, chain, now):
    model = T.models[req.model]
    if not _chains.is_chain_whole(chain, model.layers):
        raise errors.InvariantBroken(f'{req.name}: the chain has a gap')
    _queues.remove_request(T, req)
    _queues.advance_virtual(T, req)
    left = req.max_tokens - len(req.tokens)
    _queues.charge_work(T, req, _work.estimate_work(req.prompt, left))
    if not req.attempt:
        T.retry_tokens += T.policy.retry_share
    req.state = tables.RequestState.RUNNING
    req.attempt += 1
    req.chain = chain
    req.version = model.version
    req.begun_at = now
    req.first_position = len(req.tokens)
    T.running[req.rank] += 1
    for stage in chain:
        ep = T.endpoints[stage.endpoint]
        ep.streams += 1
        ep.last_sent_at = now
    note = effects.Note('request:start', req.name, f'attempt {req.attempt}')
    return [note, make_step(T, req, 0, now)]


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
        Last token or output of the stage before; None begins the
        attempt with the whole text.
    """
    req.stage = stage_index
    req.resent = False
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


def _end_condemned(T, req, now):
    code = outcomes.Code.CONTENT_CONDEMNED
    refusal = outcomes.Refused(code, 'The content crashed two endpoints.')
    if not _finish.has_started(req):
        return _finish.finish_request(T, req, refusal, now)
    failure = outcomes.Failed(outcomes.Code.CRASHED_ENDPOINTS)
    return _finish.finish_request(T, req, failure, now)


def _find_victim(T, req, now):
    # The youngest stream of the least rank has the least to lose.
    if req.rank is not tables.Rank.URGENT:
        return None
    least = tables.Rank.LEAST
    kept = _find_floor(T, least) * sum(T.running.values())
    if T.running[least] - 1 < kept:
        return None
    victims = [
        other
        for other in T.requests.values()
        if other.rank is least
        and other.chain
        and other.model == req.model
        and other.yields < _YIELDS_ALLOWED
        and _is_reusable(T, other, req, now)
    ]
    return max(victims, key=lambda v: v.begun_at, default=None)


def _is_reusable(T, victim, req, now):
    return all(
        _chains.is_usable(T, T.endpoints[s.endpoint], req.rank, now)
        for s in victim.chain
    )


def _make_room(T, victim, now):
    victim.yields += 1
    T.counters['yields'] = T.counters.get('yields', 0) + 1
    note = effects.Note('request:yield', victim.name)
    return [note, *requeue_request(T, victim, 0.0, now)]


def requeue_request(T, req, delay_s, now):
    """End the current attempt and queue the request for another one.

    Parameters
    ----------
    T : Tables
    req : Request
        A running request.
    delay_s : float
        Least time before the next attempt, seconds.
    now : float
        Seconds.
    """
    cancels = _finish.release_chain(T, req, now)
    _queues.charge_work(T, req, _work.measure_work(req) - req.charged)
    req.not_before = now + delay_s
    _queues.push_request(T, req, front=True)
    heapq.heappush(T.timers, (req.deadline, req.name))
    return cancels


def _run_timers(T, now):
    result = []
    while T.timers and T.timers[0][0] <= now:
        _, name = heapq.heappop(T.timers)
        req = T.requests.get(name)
        if req is not None:
            result.extend(_check_deadline(T, req, now))
    return result


def _check_deadline(T, req, now):
    if now < req.deadline and _finish.has_started(req):
        heapq.heappush(T.timers, (req.deadline, req.name))
        return []
    if not _finish.has_started(req):
        code = outcomes.Code.DEADLINE_BEFORE_START
        if now < req.deadline:
            code = outcomes.Code.TARGET_UNREACHABLE
        meaning = outcomes.describe_code(code).meaning
        refusal = outcomes.Refused(code, meaning, T.service_s)
        return _finish.finish_request(T, req, refusal, now)
    failure = outcomes.Failed(outcomes.Code.DEADLINE_WHILE_RUNNING)
    return _finish.finish_request(T, req, failure, now)
