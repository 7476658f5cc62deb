"""The home's answers to the entries' messages."""

from sniperudder import messages
from sniperudder import outcomes
from sniperudder.systems.dispatch import _chains
from sniperudder.systems.dispatch import _grants
from sniperudder.systems.dispatch import _posts
from sniperudder.systems.dispatch import _queues
from sniperudder.systems.dispatch import _victims
from sniperudder.systems.dispatch import _waits
from sniperudder.systems import health
from sniperudder.systems import suspicion
from sniperudder import tables

# A slot that its entry no longer names is free after this time, which
# leaves room for a grant and a list of holdings that cross.
_UNSEEN_S = 3.0
_RETRY_MIN_S = 1.0
_SWEEP_S = 0.25


def take_ask(T, sender, ask, now):
    """Queue, grant or deny; repeats get the same answer."""
    for crash in ask.crashes:
        suspicion.mark_crash(T, ask.fingerprint, crash, now, ask.settle_s)
    known = T.tickets.get(ask.request)
    if known is not None and known.attempt >= ask.attempt:
        return _repeat_grant(T, known, now)
    if known is not None:
        _grants.drop_ticket(T, known)
    code = _find_denial(T, ask, now)
    if code is not None:
        return _deny(T, sender, ask, code, _RETRY_MIN_S, now)
    if not ask.again and _queues.is_over_share(T, ask):
        code = outcomes.Code.QUEUE_FULL
        return _deny(T, sender, ask, code, _RETRY_MIN_S, now)
    wait_s = _waits.expect_wait(T, ask, now, _grants.find_floor)
    if wait_s > ask.max_wait_s:
        code = outcomes.Code.TARGET_UNREACHABLE
        return _deny(T, sender, ask, code, wait_s, now)
    ticket = _create_ticket(sender, ask, now)
    _waits.note_queue(T, ask.rank, now)
    T.tickets[ask.request] = ticket
    _queues.push_ticket(T, ticket, ask.again)
    result = _trim_queue(T, ask.rank, now)
    return [*result, *_grants.grant_slots(T, now)]


def _create_ticket(sender, ask, now):
    return tables.Ticket(
        request=ask.request,
        attempt=ask.attempt,
        entry=sender,
        organisation=ask.organisation,
        rank=ask.rank,
        model=ask.model,
        work=ask.work,
        fingerprint=ask.fingerprint,
        latest=now + ask.max_wait_s,
        yields=ask.yields,
        asked_at=now,
        seen_at=now,
    )


def _repeat_grant(T, ticket, now):
    if not ticket.chain:
        return []
    return _grants.post_grant(T, ticket, now)


def _find_denial(T, ask, now):
    if ask.model not in T.models:
        return outcomes.Code.UNKNOWN_MODEL
    if suspicion.is_condemned(T, ask.fingerprint, now):
        return outcomes.Code.CONTENT_CONDEMNED
    if not _chains.has_chain(T, T.models[ask.model], ask.rank):
        return outcomes.Code.NO_ENDPOINT
    return None


def _deny(T, sender, ask, code, retry_after_s, now):
    denial = messages.DenySlot(ask.request, ask.attempt, code, retry_after_s)
    return _posts.post_message(T, sender, denial, now)


def _trim_queue(T, rank, now):
    # The organisation with the longest queue bears the overflow, with
    # its newest ticket since that waited least.
    if T.queued[rank] <= T.policy.ranks[rank].max_queued:
        return []
    longest = max(T.queues[rank].values(), key=len)
    ticket = T.tickets[longest[-1]]
    code = outcomes.Code.QUEUE_FULL
    return _grants.deny_ticket(T, ticket, code, _RETRY_MIN_S, now)


def take_release(T, sender, release, now):
    """Free a slot, or forget a question for one."""
    result = _take_samples(T, release.samples, now)
    T.revoked.pop(release.request, None)
    ticket = T.tickets.get(release.request)
    if ticket is not None and ticket.attempt == release.attempt:
        if ticket.chain:
            used = release.used - ticket.charged
            _queues.charge_work(T, ticket, used)
        _grants.drop_ticket(T, ticket)
    return [*result, *_grants.grant_slots(T, now)]


def _take_samples(T, samples, now):
    result = []
    for sample in samples:
        ep = T.endpoints.get(sample.endpoint)
        if ep is None:
            continue
        if sample.step_s:
            health.record_success(T, ep, sample.step_s)
        if sample.failed:
            result.extend(
                health.record_failure(T, ep, sample.crashed, sample.boot, now)
            )
    return result


def take_holdings(T, sender, holds, now):
    """Bring the tickets of an entry in line with what it holds."""
    held = {holding.request: holding for holding in holds.holdings}
    asked = set(holds.asked)
    for ticket in list(T.tickets.values()):
        if ticket.entry != sender:
            continue
        named = held if ticket.chain else asked
        if ticket.request in named:
            ticket.seen_at = now
    for holding in holds.holdings:
        if holding.request not in T.tickets:
            _adopt(T, sender, holding, now)
    unknown = tuple(name for name in holds.asked if name not in T.tickets)
    if not unknown:
        return []
    forgot = messages.ForgotSlots(unknown)
    return _posts.post_message(T, sender, forgot, now)


def _adopt(T, sender, holding, now):
    ticket = tables.Ticket(
        request=holding.request,
        attempt=holding.attempt,
        entry=sender,
        organisation=holding.organisation,
        rank=holding.rank,
        model=holding.model,
        work=0.0,
        fingerprint='',
        latest=now,
    )
    T.tickets[holding.request] = ticket
    _grants.hold_chain(T, ticket, holding.chain, now)


def run_dispatch(T, now):
    """Deny what waited too long, free what nobody holds, grant."""
    result = list(health.run_health(T, now))
    if now >= T.next_sweep_at:
        T.next_sweep_at = now + _SWEEP_S
        result.extend(_sweep_tickets(T, now))
    for rank in tables.RANKS:
        _waits.note_queue(T, rank, now)
    result.extend(_grants.grant_slots(T, now))
    return result


def _sweep_tickets(T, now):
    result = []
    _victims.forget_revoked(T, now)
    for ticket in list(T.tickets.values()):
        if ticket.entry != T.me and now - ticket.seen_at > _UNSEEN_S:
            _grants.drop_ticket(T, ticket)
        elif not ticket.chain and now >= ticket.latest:
            code = outcomes.Code.TARGET_UNREACHABLE
            wait_s = max(_RETRY_MIN_S, now - ticket.asked_at)
            denied = _grants.deny_ticket(T, ticket, code, wait_s, now)
            result.extend(denied)
    return result
