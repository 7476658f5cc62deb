"""The home's side: which ticket gets the next slot."""

import dataclasses

from sniperudder import errors
from sniperudder import messages
from sniperudder import outcomes
from sniperudder.systems.dispatch import _chains
from sniperudder.systems.dispatch import _posts
from sniperudder.systems.dispatch import _queues
from sniperudder.systems.dispatch import _victims
from sniperudder.systems.dispatch import _waits
from sniperudder.systems import suspicion
from sniperudder import tables


@dataclasses.dataclass(frozen=True, slots=True)
class Granting:
    """One try to grant a slot to a rank.

    Attributes
    ----------
    effects : list of effect
    done : bool
        Whether a ticket left the queue; if not, none can at present.
    """

    effects: list
    done: bool


def grant_slots(T, now):
    """Grant slots to queued tickets while there are any.

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
        granting = _grant_next(T, rank, now)
        result.extend(granting.effects)
        if not granting.done:
            blocked.add(rank)


def _choose_rank(T, blocked):
    # Ranks below their floor go first; then the most urgent.
    waiting = [r for r in tables.RANKS if T.queues[r] and r not in blocked]
    for rank in waiting:
        if is_below_floor(T, rank):
            return rank
    return waiting[0] if waiting else None


def is_below_floor(T, rank):
    """Return whether a rank holds less than its floor.

    Slots are weighed by speed, since a rank with its share of them on
    slow endpoints alone would not have its share of the tokens.
    """
    total = sum(T.speeds.values())
    return T.speeds[rank] < find_floor(T, rank) * total


def find_floor(T, rank):
    """Return the share of the fleet's speed that a rank keeps."""
    return T.config.floors.get(rank, T.policy.ranks[rank].floor)


def _grant_next(T, rank, now):
    # A model without a free chain for one ticket has none for the next,
    # unless that one is choosier.
    full = set()
    result = []
    for name in _queues.list_organisations(T, rank, now):
        ticket = _find_candidate(T, rank, name, full, now)
        if ticket is None:
            continue
        if suspicion.is_condemned(T, ticket.fingerprint, now):
            code = outcomes.Code.CONTENT_CONDEMNED
            result.extend(deny_ticket(T, ticket, code, None, now))
            return Granting(result, done=True)
        chain = _choose_chain(T, ticket, now)
        victim = _find_victim(T, ticket, chain)
        if victim is not None:
            result.extend(_victims.revoke_slot(T, victim, now))
            continue
        if chain is not None:
            if _victims.awaits_faster(T, ticket, chain, now):
                continue
            result.extend(_grant(T, ticket, chain, now))
            return Granting(result, done=True)
        if not suspicion.is_suspect(T, ticket.fingerprint):
            full.add(ticket.model)
    return Granting(result, done=False)


def _find_victim(T, ticket, chain):
    victim = _victims.find_victim(T, ticket, find_floor)
    if victim is None or chain is None:
        return victim
    return victim if _victims.is_faster(T, victim, chain) else None


def _find_candidate(T, rank, organisation, full, now):
    # A suspect runs only where no other one does, and must not hold up
    # the other requests of its organisation.
    taken = None
    for request in T.queues[rank].get(organisation, ()):
        ticket = T.tickets[request]
        if ticket.model in full:
            return None
        if not suspicion.is_suspect(T, ticket.fingerprint):
            return ticket
        if suspicion.is_condemned(T, ticket.fingerprint, now):
            return ticket
        if suspicion.is_undecided(T, ticket.fingerprint, now):
            continue
        if taken is None:
            taken = _list_suspect_endpoints(T)
        if _has_place(T, ticket, taken):
            return ticket
    return None


def _has_place(T, ticket, taken):
    model = T.models[ticket.model]
    groups = _chains.list_candidates(T, model, ticket.rank)
    return all(
        any(_may_take(T, ticket, ep, taken) for ep in eps)
        for eps in groups.values()
    )


def _may_take(T, ticket, ep, taken):
    # Not where another suspect runs, and not on a run of an engine that
    # it may have ended: that would not show as a second crash.
    mark = T.suspicions[ticket.fingerprint]
    crash = suspicion.name_crash(ep.name, ep.boot)
    return ep.name not in taken and crash not in mark.crashes


def _choose_chain(T, ticket, now):
    model = T.models[ticket.model]
    if not suspicion.is_suspect(T, ticket.fingerprint):
        return _chains.choose_chain(T, model, ticket.rank, now)
    taken = _list_suspect_endpoints(T)
    return _chains.choose_chain(
        T, model, ticket.rank, now, lambda ep: _may_take(T, ticket, ep, taken)
    )


def _list_suspect_endpoints(T):
    names = set()
    for ticket in T.granted.values():
        if suspicion.is_suspect(T, ticket.fingerprint):
            names.update(stage.endpoint for stage in ticket.chain)
    return names


def _grant(T, ticket, chain, now):
    model = T.models[ticket.model]
    if not _chains.is_chain_whole(chain, model.layers):
        raise errors.InvariantBroken(f'{ticket.request}: chain has a gap')
    _queues.remove_ticket(T, ticket)
    _queues.advance_virtual(T, ticket)
    _queues.charge_work(T, ticket, ticket.work)
    _waits.count_grant(T, ticket, now)
    hold_chain(T, ticket, chain, now)
    return post_grant(T, ticket, now)


def post_grant(T, ticket, now):
    """Tell the entry of a ticket which chain it holds."""
    grant = messages.GrantSlot(
        ticket.request,
        ticket.attempt,
        ticket.chain,
        T.models[ticket.model].version,
        tuple(T.endpoints[stage.endpoint].boot for stage in ticket.chain),
    )
    return _posts.post_message(T, ticket.entry, grant, now)


def hold_chain(T, ticket, chain, now):
    """Count a ticket's slots as taken."""
    ticket.chain = chain
    ticket.granted_at = now
    ticket.seen_at = now
    T.granted[ticket.request] = ticket
    T.running[ticket.rank] += 1
    ticket.speed = _chains.expect_speed(T, chain)
    T.speeds[ticket.rank] += ticket.speed
    for stage in chain:
        ep = T.endpoints.get(stage.endpoint)
        if ep is not None:
            ep.streams += 1
            ep.last_sent_at = now


def drop_ticket(T, ticket):
    """Forget a ticket; its slots, if any, are free again."""
    if ticket.chain:
        _free_chain(T, ticket)
    else:
        _queues.remove_ticket(T, ticket)
    del T.tickets[ticket.request]


def _free_chain(T, ticket):
    for stage in ticket.chain:
        ep = T.endpoints.get(stage.endpoint)
        if ep is not None:
            ep.streams -= 1
    T.running[ticket.rank] -= 1
    T.speeds[ticket.rank] -= ticket.speed
    if not T.running[ticket.rank]:
        # Leaves no rest of rounding behind.
        T.speeds[ticket.rank] = 0.0
    del T.granted[ticket.request]
    ticket.chain = ()


def deny_ticket(T, ticket, code, retry_after_s, now):
    """Deny a queued ticket and forget it."""
    drop_ticket(T, ticket)
    denial = messages.DenySlot(
        ticket.request, ticket.attempt, code, retry_after_s
    )
    return _posts.post_message(T, ticket.entry, denial, now)
