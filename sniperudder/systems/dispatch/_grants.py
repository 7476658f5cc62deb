"""Selection of the ticket that gets the next slot, at its home."""

import dataclasses

from sniperudder import errors
from sniperudder import messages
from sniperudder import outcomes
from sniperudder.systems.dispatch import _chains
from sniperudder.systems.dispatch import _preemption
from sniperudder.systems.dispatch import _queues
from sniperudder.systems.dispatch import _slot_messages
from sniperudder.systems.dispatch import _waits
from sniperudder.systems import suspicion
from sniperudder import tables


@dataclasses.dataclass(frozen=True, slots=True)
class GrantResult:
    """Result of one attempt to grant a slot to a rank.

    Attributes
    ----------
    effects : list of effect
    done : bool
        Whether a ticket was granted or denied and so left the queue. If
        not, no ticket of the rank can be granted at present.
    """

    effects: list
    done: bool


def grant_slots(T, now):
    """Grant slots to queued tickets until none can be granted.

    Returns
    -------
    list of effect
    """
    result = []
    blocked = set()
    while True:
        rank = _choose_rank(T, blocked)
        if rank is None:
            return result
        grant_result = _grant_next(T, rank, now)
        result.extend(grant_result.effects)
        if not grant_result.done:
            blocked.add(rank)


def _choose_rank(T, blocked):
    # Ranks below their floor go first, then the most urgent rank.
    waiting = [r for r in tables.RANKS if T.queues[r] and r not in blocked]
    for rank in waiting:
        if is_below_floor(T, rank):
            return rank
    return waiting[0] if waiting else None


def is_below_floor(T, rank):
    """Return whether a rank holds less capacity than its floor.

    Slots are weighted by speed: a rank whose slots are all on slow
    endpoints would otherwise get less than its share of the tokens.
    """
    total = sum(T.granted_speeds.values())
    return T.granted_speeds[rank] < get_floor(T, rank) * total


def get_floor(T, rank):
    """Return the minimum share of the total speed reserved for a rank."""
    return T.config.floors.get(rank, T.policy.ranks[rank].floor)


def _grant_next(T, rank, now):
    # If one ticket finds no free chain for its model, no other ticket of
    # that model will. Suspect requests are an exception: they may use fewer
    # endpoints than others, so their failure says nothing about others.
    unavailable_models = set()
    result = []
    for name in _queues.list_organisations(T, rank, now):
        ticket = _choose_ticket(T, rank, name, unavailable_models, now)
        if ticket is None:
            continue
        if suspicion.is_condemned(T, ticket.fingerprint, now):
            code = outcomes.Code.CONTENT_CONDEMNED
            result.extend(deny_ticket(T, ticket, code, None, now))
            return GrantResult(result, done=True)
        chain = _choose_chain(T, ticket, now)
        victim = _find_victim(T, ticket, chain)
        if victim is not None:
            result.extend(_preemption.revoke_slot(T, victim, now))
            continue
        if chain is not None:
            if _preemption.should_await_revoked(T, ticket, chain, now):
                continue
            result.extend(_grant_ticket(T, ticket, chain, now))
            return GrantResult(result, done=True)
        if not suspicion.is_suspect(T, ticket.fingerprint):
            unavailable_models.add(ticket.model)
    return GrantResult(result, done=False)


def _find_victim(T, ticket, chain):
    victim = _preemption.find_victim(T, ticket, get_floor)
    if victim is None or chain is None:
        return victim
    return victim if _preemption.is_faster(T, victim, chain) else None


def _choose_ticket(T, rank, organisation, unavailable_models, now):
    # A suspect request runs only on endpoints without another one. It is
    # skipped while there are none, so that it does not block the other
    # requests of its organisation.
    occupied = None
    for request in T.queues[rank].get(organisation, ()):
        ticket = T.tickets[request]
        if ticket.model in unavailable_models:
            return None
        if not suspicion.is_suspect(T, ticket.fingerprint):
            return ticket
        if suspicion.is_condemned(T, ticket.fingerprint, now):
            return ticket
        if suspicion.is_awaiting_confirmation(T, ticket.fingerprint, now):
            continue
        if occupied is None:
            occupied = _list_suspect_endpoints(T)
        if _is_placeable(T, ticket, occupied):
            return ticket
    return None


def _is_placeable(T, ticket, occupied):
    model = T.models[ticket.model]
    groups = _chains.group_candidates(T, model, ticket.rank)
    return all(
        any(_may_run_suspect(T, ticket, ep, occupied) for ep in eps)
        for eps in groups.values()
    )


def _may_run_suspect(T, ticket, ep, occupied):
    # Not where another suspect request runs. Nor on the engine process that
    # this one may already have crashed: crashes are counted once per boot
    # identifier, so a second one there would go unnoticed.
    record = T.suspicions[ticket.fingerprint]
    crash_id = suspicion.make_crash_id(ep.name, ep.boot)
    return ep.name not in occupied and crash_id not in record.crashes


def _choose_chain(T, ticket, now):
    model = T.models[ticket.model]
    if not suspicion.is_suspect(T, ticket.fingerprint):
        return _chains.choose_chain(T, model, ticket.rank, now)
    occupied = _list_suspect_endpoints(T)
    return _chains.choose_chain(
        T,
        model,
        ticket.rank,
        now,
        lambda ep: _may_run_suspect(T, ticket, ep, occupied),
    )


def _list_suspect_endpoints(T):
    names = set()
    for ticket in T.granted.values():
        if suspicion.is_suspect(T, ticket.fingerprint):
            names.update(stage.endpoint for stage in ticket.chain)
    return names


def _grant_ticket(T, ticket, chain, now):
    model = T.models[ticket.model]
    if not _chains.is_chain_complete(chain, model.layers):
        raise errors.InvariantBroken(
            f'{ticket.request}: chain does not cover the model'
        )
    _queues.remove_ticket(T, ticket)
    _queues.advance_virtual_time(T, ticket)
    _queues.charge_work(T, ticket, ticket.work)
    _waits.record_grant(T, ticket, now)
    assign_chain(T, ticket, chain, now)
    return send_grant(T, ticket, now)


def send_grant(T, ticket, now):
    """Send the granted chain to the entry of a ticket."""
    grant = messages.GrantSlot(
        ticket.request,
        ticket.attempt,
        ticket.chain,
        T.models[ticket.model].version,
        tuple(T.endpoints[stage.endpoint].boot for stage in ticket.chain),
    )
    return _slot_messages.send_slot_message(T, ticket.entry, grant, now)


def assign_chain(T, ticket, chain, now):
    """Assign a chain to a ticket and count its slots as in use."""
    ticket.chain = chain
    ticket.granted_at = now
    ticket.last_listed_at = now
    T.granted[ticket.request] = ticket
    T.running[ticket.rank] += 1
    ticket.speed = _chains.estimate_speed(T, chain)
    T.granted_speeds[ticket.rank] += ticket.speed
    for stage in chain:
        ep = T.endpoints.get(stage.endpoint)
        if ep is not None:
            ep.streams += 1
            ep.last_sent_at = now


def drop_ticket(T, ticket):
    """Delete a ticket and free its slots, if any."""
    if ticket.chain:
        _release_chain(T, ticket)
    else:
        _queues.remove_ticket(T, ticket)
    del T.tickets[ticket.request]


def _release_chain(T, ticket):
    for stage in ticket.chain:
        ep = T.endpoints.get(stage.endpoint)
        if ep is not None:
            ep.streams -= 1
    T.running[ticket.rank] -= 1
    T.granted_speeds[ticket.rank] -= ticket.speed
    if not T.running[ticket.rank]:
        # Discards the accumulated rounding error.
        T.granted_speeds[ticket.rank] = 0.0
    del T.granted[ticket.request]
    ticket.chain = ()


def deny_ticket(T, ticket, code, retry_after_s, now):
    """Deny a queued ticket and delete it."""
    drop_ticket(T, ticket)
    denial = messages.DenySlot(
        ticket.request, ticket.attempt, code, retry_after_s
    )
    return _slot_messages.send_slot_message(T, ticket.entry, denial, now)
