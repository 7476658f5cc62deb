"""The entry's side of slots: asking, taking, giving back."""

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

_HOLD_PERIOD_S = 1.0
# An instance that did not take a message is no home for this time;
# by then the heartbeats tell whether it lives.
_AVOID_S = 2.0
_RETRY_S = 0.1
# Load reports, asked for about once a second, prove or disprove crashes.
_PROOF_S = 0.25
# Shortest wait that is worth a question.
_WAIT_MIN_S = 0.001


def ask_slot(T, req, now):
    """Ask the home of a request's model for a slot.

    Parameters
    ----------
    T : Tables
    req : Request
        A request that holds no slot.
    now : float
        Seconds.
    """
    if suspicion.is_condemned(T, req.fingerprint, now):
        return _finish.end_condemned(T, req, now)
    if suspicion.is_undecided(T, req.fingerprint, now):
        ask_later(T, req, _PROOF_S, now)
        return []
    placement = dispatch.get_placement(T)
    req.attempt += 1
    req.home = placement.find_home(T, req.model, now)
    req.asked_at = now
    req.not_before = 0.0
    return dispatch.post_message(T, req.home, make_ask(T, req, now), now)


def make_ask(T, req, now):
    """Return the question for a slot of the current attempt."""
    left = req.max_tokens - len(req.tokens)
    mark = T.suspicions.get(req.fingerprint)
    return messages.AskSlot(
        request=req.name,
        attempt=req.attempt,
        organisation=req.organisation,
        rank=req.rank,
        model=req.model,
        work=_work.estimate_work(req.prompt, left),
        fingerprint=req.fingerprint,
        max_wait_s=_find_max_wait(T, req, now),
        again=req.maybe_ran,
        yields=req.yields,
        crashes=tuple(sorted(mark.crashes)) if mark else (),
        settle_s=max(0.0, mark.settled_at - now) if mark else 0.0,
    )


def _find_max_wait(T, req, now):
    left_s = req.deadline - now
    if not req.maybe_ran:
        max_wait_s = T.policy.ranks[req.rank].max_wait_s
        left_s = min(left_s, req.arrived_at + max_wait_s - now)
    return max(_WAIT_MIN_S, left_s)


def take_grant(T, sender, grant, now):
    """Begin the attempt that a slot was granted for."""
    req = T.requests.get(grant.request)
    if req is None or req.attempt != grant.attempt:
        return _return_slot(T, sender, grant, now)
    if req.chain:
        # A repeated grant is the slot that is held already; one of a
        # second home is another slot.
        if sender == req.home:
            return []
        return _return_slot(T, sender, grant, now)
    req.home = sender
    if not _is_valid(T, req, grant, now):
        returned = _return_slot(T, sender, grant, now)
        ask_later(T, req, _RETRY_S, now)
        return returned
    return _begin_attempt(T, req, grant, now)


def _is_valid(T, req, grant, now):
    if not configuration.is_fresh(T, now) or now >= req.deadline:
        return False
    if suspicion.is_undecided(T, req.fingerprint, now):
        return False
    # Without the identifier of its present run, an engine's crash could
    # not be told from a broken connection.
    if not all(grant.boots):
        return False
    withdrawn = T.config.withdrawn
    return all(
        stage.endpoint in T.endpoints and stage.endpoint not in withdrawn
        for stage in grant.chain
    )


def _return_slot(T, sender, grant, now):
    release = messages.ReleaseSlot(grant.request, grant.attempt)
    return dispatch.post_message(T, sender, release, now)


def _begin_attempt(T, req, grant, now):
    layers = T.models[req.model].layers
    if not dispatch.is_chain_whole(grant.chain, layers):
        raise errors.InvariantBroken(f'{req.name}: the chain has a gap')
    if req.begun_at is None:
        # Retries are budgeted as a share of first attempts.
        T.retry_tokens += T.policy.retry_share
    req.state = tables.RequestState.RUNNING
    req.chain = grant.chain
    req.version = grant.version
    req.begun_at = now
    req.first_position = len(req.tokens)
    req.boots = {
        stage.endpoint: boot
        for stage, boot in zip(grant.chain, grant.boots, strict=True)
    }
    for stage in grant.chain:
        T.endpoints[stage.endpoint].last_sent_at = now
    note = effects.Note('request:start', req.name, f'attempt {req.attempt}')
    return [note, _steps.make_step(T, req, 0, now)]


def take_denial(T, sender, denial, now):
    """Refuse the request, or ask again where it ran in part."""
    req = T.requests.get(denial.request)
    if req is None or req.attempt != denial.attempt or req.chain:
        return []
    condemned = denial.code is outcomes.Code.CONTENT_CONDEMNED
    if not req.maybe_ran:
        meaning = outcomes.describe_code(denial.code).meaning
        refusal = outcomes.Refused(denial.code, meaning, denial.retry_after_s)
        return _finish.finish_request(T, req, refusal, now)
    if condemned:
        return _finish.end_condemned(T, req, now)
    ask_later(T, req, _RETRY_S, now)
    return []


def take_revocation(T, sender, revoke, now):
    """Give way to more urgent work and queue again."""
    req = T.requests.get(revoke.request)
    if req is None or req.attempt != revoke.attempt or not req.chain:
        return []
    req.yields += 1
    released = _finish.release_slot(T, req, now)
    note = effects.Note('request:yield', req.name)
    return [note, *released, *ask_slot(T, req, now)]


def ask_later(T, req, delay_s, now):
    """Ask for a slot after a delay, seconds."""
    req.not_before = now + delay_s
    heapq.heappush(T.timers, (req.not_before, req.name))


def take_forgotten(T, sender, forgot, now):
    """Ask again for what the home does not know."""
    result = []
    for name in forgot.requests:
        req = T.requests.get(name)
        if req is None or req.chain or req.not_before or req.home != sender:
            continue
        ask = make_ask(T, req, now)
        result.extend(dispatch.post_message(T, sender, ask, now))
    return result


def take_loss(T, inp, now):
    """Turn to another home where one was not reached; ``PostLost``."""
    T.avoided[inp.peer] = now + _AVOID_S
    if not isinstance(inp.message, messages.AskSlot):
        return []
    req = T.requests.get(inp.message.request)
    if req is None or req.chain or req.attempt != inp.message.attempt:
        return []
    return ask_slot(T, req, now)


def run_holdings(T, now):
    """Tell the homes what is held, and turn to a new home."""
    if now < T.next_hold_at:
        return []
    T.next_hold_at = now + _HOLD_PERIOD_S
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
        result.extend(dispatch.post_message(T, home, holds, now))
    return result


def _change_home(T, req, home, now):
    if req.chain:
        # The stream goes on; only its slot is kept by another home.
        release = messages.ReleaseSlot(req.name, req.attempt)
        released = dispatch.post_message(T, req.home, release, now)
        req.home = home
        return [*released, *_hold_locally(T, req, home, now)]
    if req.not_before:
        return []
    released = _finish.release_slot(T, req, now)
    return [*released, *ask_slot(T, req, now)]


def _hold_locally(T, req, home, now):
    if home != T.me:
        return []
    holds = messages.HoldSlots((_make_holding(req),))
    return dispatch.post_message(T, home, holds, now)


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
        elif not req.not_before:
            asked.append(req.name)
    return messages.HoldSlots(tuple(holdings), tuple(asked))
