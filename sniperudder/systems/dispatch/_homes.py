"""Handlers of the messages that entries send to the home of a model."""

from sniperudder import messages
from sniperudder import outcomes
from sniperudder.systems.dispatch import _chains
from sniperudder.systems.dispatch import _grants
from sniperudder.systems.dispatch import _preemption
from sniperudder.systems.dispatch import _queues
from sniperudder.systems.dispatch import _slot_messages
from sniperudder.systems.dispatch import _waits
from sniperudder.systems import health
from sniperudder.systems import suspicion
from sniperudder import tables

# A slot is freed when its entry has not listed it for this long. The
# delay allows for a list of holdings that was sent before the grant of
# the slot arrived.
_UNCONFIRMED_SLOT_S = 3.0
_MIN_RETRY_AFTER_S = 1.0
_SWEEP_PERIOD_S = 0.25


def handle_ask(T, sender, ask, now):
    """Queue, grant or deny a slot request; idempotent by attempt.

    A repeated request is answered with the same grant, or not at all
    while its ticket is still queued.
    """
    for crash_id in ask.crashes:
        suspicion.record_crash(T, ask.fingerprint, crash_id, now, ask.settle_s)
    known = T.tickets.get(ask.request)
    if known is not None and known.attempt >= ask.attempt:
        return _repeat_grant(T, known, now)
    if known is not None:
        _grants.drop_ticket(T, known)
    code = _find_denial(T, ask, now)
    if code is not None:
        return _deny(T, sender, ask, code, _MIN_RETRY_AFTER_S, now)
    if not ask.again and _queues.is_over_share(T, ask):
        code = outcomes.Code.QUEUE_FULL
        return _deny(T, sender, ask, code, _MIN_RETRY_AFTER_S, now)
    wait_s = _waits.estimate_wait(T, ask, now, _grants.get_floor)
    if wait_s > ask.max_wait_s:
        code = outcomes.Code.TARGET_UNREACHABLE
        return _deny(T, sender, ask, code, wait_s, now)
    ticket = _create_ticket(sender, ask, now)
    _waits.reset_idle_rate(T, ask.rank, now)
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
        grant_deadline=now + ask.max_wait_s,
        yields=ask.yields,
        requested_at=now,
        last_listed_at=now,
    )


def _repeat_grant(T, ticket, now):
    if not ticket.chain:
        return []
    return _grants.send_grant(T, ticket, now)


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
    return _slot_messages.send_slot_message(T, sender, denial, now)


def _trim_queue(T, rank, now):
    # Drops the newest ticket of the organisation with the longest queue,
    # since of that queue it has waited the shortest time.
    if T.queued[rank] <= T.policy.ranks[rank].max_queued:
        return []
    longest = max(T.queues[rank].values(), key=len)
    ticket = T.tickets[longest[-1]]
    code = outcomes.Code.QUEUE_FULL
    return _grants.deny_ticket(T, ticket, code, _MIN_RETRY_AFTER_S, now)


def handle_release(T, sender, release, now):
    """Free a slot, or cancel a slot request."""
    result = _apply_samples(T, release.samples, now)
    T.revoked.pop(release.request, None)
    ticket = T.tickets.get(release.request)
    if ticket is not None and ticket.attempt == release.attempt:
        if ticket.chain:
            used = release.used - ticket.charged_tokens
            _queues.charge_work(T, ticket, used)
        _grants.drop_ticket(T, ticket)
    return [*result, *_grants.grant_slots(T, now)]


def _apply_samples(T, samples, now):
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


def handle_holdings(T, sender, holds, now):
    """Synchronise the tickets of an entry with its list of holdings.

    Tickets that the entry lists are marked as seen, and slots that
    this home did not know get a ticket. The entry is told which of its
    slot requests are unknown here.
    """
    held_by_request = {holding.request: holding for holding in holds.holdings}
    asked = set(holds.asked)
    for ticket in list(T.tickets.values()):
        if ticket.entry != sender:
            continue
        reported = held_by_request if ticket.chain else asked
        if ticket.request in reported:
            ticket.last_listed_at = now
    for holding in holds.holdings:
        if holding.request not in T.tickets:
            _create_held_ticket(T, sender, holding, now)
    unknown = tuple(name for name in holds.asked if name not in T.tickets)
    if not unknown:
        return []
    forgot = messages.ForgotSlots(unknown)
    return _slot_messages.send_slot_message(T, sender, forgot, now)


def _create_held_ticket(T, sender, holding, now):
    ticket = tables.Ticket(
        request=holding.request,
        attempt=holding.attempt,
        entry=sender,
        organisation=holding.organisation,
        rank=holding.rank,
        model=holding.model,
        work=0.0,
        fingerprint='',
        grant_deadline=now,
    )
    T.tickets[holding.request] = ticket
    _grants.assign_chain(T, ticket, holding.chain, now)


def run_dispatch(T, now):
    """Deny expired tickets, free unconfirmed slots and grant free ones."""
    result = list(health.run_health(T, now))
    if now >= T.next_sweep_at:
        T.next_sweep_at = now + _SWEEP_PERIOD_S
        result.extend(_sweep_tickets(T, now))
    for rank in tables.RANKS:
        _waits.reset_idle_rate(T, rank, now)
    result.extend(_grants.grant_slots(T, now))
    return result


def _sweep_tickets(T, now):
    result = []
    _preemption.expire_revocations(T, now)
    for ticket in list(T.tickets.values()):
        if (
            ticket.entry != T.me
            and now - ticket.last_listed_at > _UNCONFIRMED_SLOT_S
        ):
            _grants.drop_ticket(T, ticket)
        elif not ticket.chain and now >= ticket.grant_deadline:
            code = outcomes.Code.TARGET_UNREACHABLE
            wait_s = max(_MIN_RETRY_AFTER_S, now - ticket.requested_at)
            denied = _grants.deny_ticket(T, ticket, code, wait_s, now)
            result.extend(denied)
    return result
