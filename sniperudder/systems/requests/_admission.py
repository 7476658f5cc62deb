"""Admission of new requests."""

import hashlib
import heapq

from sniperudder import effects
from sniperudder import outcomes
from sniperudder.systems import configuration
from sniperudder.systems.requests import _finish
from sniperudder.systems.requests import _slots
from sniperudder.systems import suspicion
from sniperudder import tables

_MIN_RETRY_AFTER_S = 1.0


def compute_fingerprint(organisation, model, prompt):
    """Return a digest that is equal for repeats of the same content.

    The content of a request is its organisation, model and prompt.

    Examples
    --------
    >>> a = compute_fingerprint('studio', 'm', 'text')
    >>> a == compute_fingerprint('studio', 'm', 'text')
    True
    """
    text = '\0'.join((organisation, model, prompt))
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def admit_request(T, inp, now):
    """Ask for a slot or refuse the request; handles ``RequestArrived``.

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
    req = _create_request(T, inp, now)
    refusal = _find_refusal(T, req, now)
    if refusal is not None:
        _finish.count_outcome(T, refusal)
        event = _finish.create_end_event(req, refusal)
        return [event, effects.SendOutcome(req.name, refusal)]
    T.requests[req.name] = req
    heapq.heappush(T.timers, (req.deadline, req.name))
    return _slots.ask_slot(T, req, now)


def _create_request(T, inp, now):
    deadline_s = inp.deadline_s or T.policy.ranks[inp.rank].deadline_s
    fingerprint = compute_fingerprint(inp.organisation, inp.model, inp.prompt)
    return tables.Request(
        name=inp.request,
        organisation=inp.organisation,
        rank=inp.rank,
        model=inp.model,
        prompt=inp.prompt,
        max_tokens=inp.max_tokens,
        arrived_at=now,
        deadline=now + deadline_s,
        fingerprint=fingerprint,
        part_keys=suspicion.make_part_keys(inp.model, inp.prompt),
    )


def _find_refusal(T, req, now):
    if now >= T.refuse_at:
        return _refuse(outcomes.Code.STOPPING, _MIN_RETRY_AFTER_S)
    if req.model not in T.models:
        return _refuse(outcomes.Code.UNKNOWN_MODEL, None)
    if not configuration.is_fresh(T, now):
        return _refuse(outcomes.Code.NOT_FRESH, _MIN_RETRY_AFTER_S)
    if suspicion.is_request_condemned(T, req, now):
        return _refuse(outcomes.Code.CONTENT_CONDEMNED, None)
    if T.rng.random() < _find_shed_share(T, req):
        return _refuse(outcomes.Code.SHED, _MIN_RETRY_AFTER_S)
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
