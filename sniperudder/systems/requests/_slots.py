"""Slot requests, grants and releases at the entry."""

import heapq

from sniperudder import effects
from sniperudder import errors
from sniperudder import messages
from sniperudder import outcomes
from sniperudder.systems import configuration
from sniperudder.systems import dispatch
from sniperudder.systems.requests import _finish
from sniperudder.systems.requests import _steps
from sniperudder.systems.requests import _work
from sniperudder.systems import suspicion
from sniperudder import tables

_HOLDINGS_PERIOD_S = 1.0
# An instance that could not be reached is not used as a home for this
# long; by then the heartbeats have shown whether it is alive.
_AVOID_HOME_S = 2.0
_RETRY_DELAY_S = 0.1
# Interval for checking whether suspected crashes have been confirmed. Load
# reports, which confirm or refute them, are polled about once a second.
_CONFIRMATION_POLL_S = 0.25
# Lower bound of the maximum wait sent with a slot request.
_MIN_WAIT_S = 0.001


def ask_slot(T, req, now):
    """Ask the home of a request's model for a slot.

    Instead finishes the request if its content is condemned, or waits
    while crashes of its content await confirmation.

    Parameters
    ----------
    T : Tables
    req : Request
        A request that holds no slot.
    now : float
        Seconds.
    """
    if suspicion.is_request_condemned(T, req, now):
        return _finish.end_condemned(T, req, now)
    if suspicion.is_request_awaiting(T, req, now):
        ask_later(T, req, _CONFIRMATION_POLL_S, now)
        return []
    placement = dispatch.get_placement(T)
    req.attempt += 1
    req.home = placement.find_home(T, req.model, now)
    req.slot_requested_at = now
    req.slot_retry_at = 0.0
    return dispatch.send_slot_message(T, req.home, make_ask(T, req, now), now)


def make_ask(T, req, now):
    """Return the slot request for the current attempt."""
    remaining_tokens = req.max_tokens - len(req.tokens)
    record = T.suspicions.get(req.fingerprint)
    return messages.AskSlot(
        request=req.name,
        attempt=req.attempt,
        organisation=req.organisation,
        rank=req.rank,
        model=req.model,
        work=_work.estimate_work(req.prompt, remaining_tokens),
        fingerprint=req.fingerprint,
        max_wait_s=_find_max_wait(T, req, now),
        again=req.may_have_run,
        yields=req.yields,
        crashes=tuple(sorted(record.crashes)) if record else (),
        settle_s=max(0.0, record.settled_at - now) if record else 0.0,
    )


def _find_max_wait(T, req, now):
    remaining_s = req.deadline - now
    if not req.may_have_run:
        max_wait_s = T.policy.ranks[req.rank].max_wait_s
        remaining_s = min(remaining_s, req.arrived_at + max_wait_s - now)
    return max(_MIN_WAIT_S, remaining_s)


def handle_grant(T, sender, grant, now):
    """Start the attempt that a slot was granted for."""
    req = T.requests.get(grant.request)
    if req is None or req.attempt != grant.attempt:
        return _return_slot(T, sender, grant, now)
    if req.chain:
        # A repeated grant from the same home is for the slot already
        # held; a grant from another home is a second slot.
        if sender == req.home:
            return []
        return _return_slot(T, sender, grant, now)
    req.home = sender
    if not _is_grant_valid(T, req, grant, now):
        returned = _return_slot(T, sender, grant, now)
        ask_later(T, req, _RETRY_DELAY_S, now)
        return returned
    return _begin_attempt(T, req, grant, now)


def _is_grant_valid(T, req, grant, now):
    if not configuration.is_fresh(T, now) or now >= req.deadline:
        return False
    if suspicion.is_request_awaiting(T, req, now):
        return False
    # Without the boot identifier of an engine, a crash could not be
    # distinguished from a broken connection.
    if not all(grant.boots):
        return False
    withdrawn = T.config.withdrawn
    return all(
        stage.endpoint in T.endpoints and stage.endpoint not in withdrawn
        for stage in grant.chain
    )


def _return_slot(T, sender, grant, now):
    release = messages.ReleaseSlot(grant.request, grant.attempt)
    return dispatch.send_slot_message(T, sender, release, now)


def _begin_attempt(T, req, grant, now):
    layers = T.models[req.model].layers
    if not dispatch.is_chain_complete(grant.chain, layers):
        raise errors.InvariantBroken(
            f'{req.name}: granted chain does not cover the model'
        )
    if req.attempt_started_at is None:
        # The retry budget is a fraction of the number of first attempts.
        T.retry_tokens += T.policy.retry_share
    req.state = tables.RequestState.RUNNING
    req.chain = grant.chain
    req.version = grant.version
    req.attempt_started_at = now
    req.first_position = len(req.tokens)
    req.boots = {
        stage.endpoint: boot
        for stage, boot in zip(grant.chain, grant.boots, strict=True)
    }
    for stage in grant.chain:
        T.endpoints[stage.endpoint].last_sent_at = now
    event = effects.LogEvent(
        'request:start', req.name, f'attempt {req.attempt}'
    )
    return [event, _steps.make_step(T, req, 0, now)]


def handle_denial(T, sender, denial, now):
    """Refuse the request, or ask again later if it may have run in part."""
    req = T.requests.get(denial.request)
    if req is None or req.attempt != denial.attempt or req.chain:
        return []
    condemned = denial.code is outcomes.Code.CONTENT_CONDEMNED
    if not req.may_have_run:
        meaning = outcomes.describe_code(denial.code).meaning
        refusal = outcomes.Refused(denial.code, meaning, denial.retry_after_s)
        return _finish.finish_request(T, req, refusal, now)
    if condemned:
        return _finish.end_condemned(T, req, now)
    ask_later(T, req, _RETRY_DELAY_S, now)
    return []


def handle_revocation(T, sender, revoke, now):
    """Release a slot preempted by urgent work and queue again."""
    req = T.requests.get(revoke.request)
    if req is None or req.attempt != revoke.attempt or not req.chain:
        return []
    req.yields += 1
    released = _finish.release_slot(T, req, now)
    event = effects.LogEvent('request:yield', req.name)
    return [event, *released, *ask_slot(T, req, now)]


def ask_later(T, req, delay_s, now):
    """Schedule a slot request after a delay, seconds."""
    req.slot_retry_at = now + delay_s
    heapq.heappush(T.timers, (req.slot_retry_at, req.name))


def handle_forgotten(T, sender, forgot, now):
    """Repeat the slot requests that the home does not know."""
    result = []
    for name in forgot.requests:
        req = T.requests.get(name)
        if req is None or req.chain or req.slot_retry_at or req.home != sender:
            continue
        ask = make_ask(T, req, now)
        result.extend(dispatch.send_slot_message(T, sender, ask, now))
    return result


def handle_slot_message_lost(T, inp, now):
    """Avoid an unreachable home and ask another instance.

    Handles ``SlotMessageLost``.
    """
    T.avoided[inp.peer] = now + _AVOID_HOME_S
    if not isinstance(inp.message, messages.AskSlot):
        return []
    req = T.requests.get(inp.message.request)
    if req is None or req.chain or req.attempt != inp.message.attempt:
        return []
    return ask_slot(T, req, now)


def run_holdings(T, now):
    """Send holdings to the homes, and move requests to new homes."""
    if now < T.next_holdings_at:
        return []
    T.next_holdings_at = now + _HOLDINGS_PERIOD_S
    placement = dispatch.get_placement(T)
    result = []
    homes = {}
    for req in list(T.requests.values()):
        home = homes.get(req.model)
        if home is None:
            home = placement.find_home(T, req.model, now)
            homes[req.model] = home
        if req.home != home:
            result.extend(_change_home(T, req, home, now))
    for home in sorted(set(homes.values()) - {T.me}):
        holds = _collect_holdings(T, home)
        result.extend(dispatch.send_slot_message(T, home, holds, now))
    return result


def _change_home(T, req, home, now):
    if req.chain:
        # The stream continues; only the record of its slot moves to the
        # new home.
        release = messages.ReleaseSlot(req.name, req.attempt)
        released = dispatch.send_slot_message(T, req.home, release, now)
        req.home = home
        return [*released, *_register_holding_locally(T, req, home, now)]
    if req.slot_retry_at:
        return []
    released = _finish.release_slot(T, req, now)
    return [*released, *ask_slot(T, req, now)]


def _register_holding_locally(T, req, home, now):
    if home != T.me:
        return []
    holds = messages.HoldSlots((_make_holding(req),))
    return dispatch.send_slot_message(T, home, holds, now)


def _make_holding(req):
    return messages.Holding(
        req.name,
        req.attempt,
        req.organisation,
        req.rank,
        req.model,
        req.chain,
    )


def _collect_holdings(T, home):
    holdings = []
    asked = []
    for req in T.requests.values():
        if req.home != home:
            continue
        if req.chain:
            holdings.append(_make_holding(req))
        elif not req.slot_retry_at:
            asked.append(req.name)
    return messages.HoldSlots(tuple(holdings), tuple(asked))
