"""Which requests are queued and which are refused on arrival."""

import hashlib
import heapq

from sniperudder import effects
from sniperudder import outcomes
from sniperudder.systems import configuration
from sniperudder.systems.requests import _chains
from sniperudder.systems.requests import _dispatch
from sniperudder.systems.requests import _finish
from sniperudder.systems.requests import _queues
from sniperudder.systems.requests import _suspicion
from sniperudder import tables

_RETRY_MIN_S = 1.0


def compute_fingerprint(organisation, model, prompt):
    """Return the digest that names a content across its repeats.

    Examples
    --------
    >>> a = compute_fingerprint('studio', 'm', 'text')
    >>> a == compute_fingerprint('studio', 'm', 'text')
    True
    """
    text = '\0'.join((organisation, model, prompt))
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def admit_request(T, inp, now):
    """Queue or refuse a request; handles ``RequestArrived``.

    Parameters
    ----------
    T : Tables
    inp : RequestArrived
    now : float
        Seconds.

    Returns
    -------
    list of effect
    """
    policy = T.policy.ranks[inp.rank]
    deadline_s = inp.deadline_s or policy.deadline_s
    fingerprint = compute_fingerprint(inp.organisation, inp.model, inp.prompt)
    req = tables.Request(
        name=inp.request,
        organisation=inp.organisation,
        rank=inp.rank,
        model=inp.model,
        prompt=inp.prompt,
        max_tokens=inp.max_tokens,
        arrived_at=now,
        deadline=now + deadline_s,
        fingerprint=fingerprint,
    )
    refusal = _find_refusal(T, req, now)
    if refusal is not None:
        _finish.count_outcome(T, req, refusal)
        return [effects.Finish(req.name, refusal)]
    T.requests[req.name] = req
    _queues.push_request(T, req)
    latest = min(req.deadline, now + policy.max_wait_s)
    heapq.heappush(T.timers, (latest, req.name))
    dropped = _trim_queue(T, req.rank, now)
    return dropped + _dispatch.dispatch_requests(T, now)


def _find_refusal(T, req, now):
    if T.stopping or T.me in T.config.stopping:
        return _refuse(outcomes.Code.STOPPING, _RETRY_MIN_S)
    if req.model not in T.models:
        return _refuse(outcomes.Code.UNKNOWN_MODEL, None)
    if not configuration.is_fresh(T, now):
        return _refuse(outcomes.Code.NOT_FRESH, _RETRY_MIN_S)
    if _suspicion.is_condemned(T, req.fingerprint):
        return _refuse(outcomes.Code.CONTENT_CONDEMNED, None)
    if T.rng.random() < _find_shed_share(T, req):
        return _refuse(outcomes.Code.SHED, _RETRY_MIN_S)
    model = T.models[req.model]
    if not _chains.has_chain(T, model, req.rank, now):
        return _refuse(outcomes.Code.NO_ENDPOINT, _RETRY_MIN_S)
    wait_s = expect_wait(T, req)
    if wait_s > T.policy.ranks[req.rank].max_wait_s:
        return _refuse(outcomes.Code.TARGET_UNREACHABLE, wait_s)
    return None


def _refuse(code, retry_after_s):
    meaning = outcomes.describe_code(code).meaning
    return outcomes.Refused(code, meaning, retry_after_s)


def _find_shed_share(T, req):
    return max(
        T.config.shed_ranks.get(req.rank, 0.0),
        T.config.shed_organisations.get(req.organisation, 0.0),
        T.config.shed_models.get(req.model, 0.0),
    )


def expect_wait(T, req):
    """Return the expected wait of a new request, seconds.

    Under fair queueing an organisation waits for its own queue, served
    once in a round over the organisations that queue in this rank, and
    for the ranks that go first.
    """
    queues = T.queues[req.rank]
    own = len(queues.get(req.organisation, ()))
    active = len(queues) + (req.organisation not in queues)
    ahead = own * active
    for rank in tables.RANKS:
        if rank < req.rank:
            ahead += _queues.count_queued(T, rank)
    slots = max(1, sum(T.running.values()))
    return ahead * T.service_s / slots


def _trim_queue(T, rank, now):
    # Drop from the longest queue, so that the organisation that
    # overflows the rank bears it, newest first since it waited least.
    if _queues.count_queued(T, rank) <= T.policy.ranks[rank].max_queued:
        return []
    longest = max(T.queues[rank].values(), key=len)
    req = T.requests[longest[-1]]
    refusal = _refuse(outcomes.Code.QUEUE_FULL, expect_wait(T, req))
    return _finish.refuse_queued(T, req, refusal, now)
