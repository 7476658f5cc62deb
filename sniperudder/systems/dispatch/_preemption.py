"""Preemption of streams of the least rank by urgent work."""

from sniperudder import messages
from sniperudder.systems.dispatch import _chains
from sniperudder.systems.dispatch import _slot_messages
from sniperudder import tables

# A request is preempted at most this many times, so that it completes
# eventually.
_MAX_PREEMPTIONS = 3
# A revocation that was not answered by a release is forgotten after this
# time, so that the entry can be asked again.
_REVOCATION_TIMEOUT_S = 1.0
# Urgent work preempts a busy chain although another one is free if the free
# one has at most this fraction of the busy one's speed.
_MAX_RELATIVE_SPEED = 0.75
# Maximum wait for the release of such a busy chain. After that, the free
# one is used.
_REVOKED_WAIT_S = 0.1


def find_victim(T, ticket, get_floor):
    """Return the granted ticket to preempt, or None.

    Chooses among the streams of the least rank one on the fastest
    chain; among those the latest granted, which loses the least work.

    Parameters
    ----------
    T : Tables
    ticket : Ticket
        Queued ticket that needs a slot; only urgent ones preempt.
    get_floor : callable
        Returns the floor of a rank.

    Notes
    -----
    O(n) in the number of granted slots.
    """
    if ticket.rank is not tables.Rank.URGENT:
        return None
    least = tables.Rank.LEAST
    if _has_enough_pending(T):
        return None
    reserved_speed = get_floor(T, least) * sum(T.granted_speeds.values())
    spare_speed = T.granted_speeds[least] - reserved_speed
    victims = [
        other
        for other in T.granted.values()
        if other.rank is least
        and other.speed <= spare_speed
        and other.model == ticket.model
        and other.request not in T.revoked
        and other.yields < _MAX_PREEMPTIONS
        and _may_use_chain(T, other, ticket)
    ]
    return max(
        victims,
        key=lambda v: (v.speed, v.granted_at),
        default=None,
    )


def is_faster(T, victim, chain):
    """Return whether a victim's chain is much faster than a free one."""
    free_speed = _chains.estimate_speed(T, chain)
    return free_speed <= _MAX_RELATIVE_SPEED * victim.speed


def should_await_revoked(T, ticket, chain, now):
    """Return whether urgent work should wait for a revoked slot.

    That is, whether a slot on a much faster chain than the free one was
    revoked a moment ago.
    """
    if ticket.rank is not tables.Rank.URGENT:
        return False
    return any(
        now - at < _REVOKED_WAIT_S
        and request in T.granted
        and is_faster(T, T.granted[request], chain)
        for request, at in T.revoked.items()
    )


def revoke_slot(T, ticket, now):
    """Ask an entry to release a slot."""
    T.revoked[ticket.request] = now
    T.counters['yields'] = T.counters.get('yields', 0) + 1
    revoke = messages.RevokeSlot(ticket.request, ticket.attempt)
    return _slot_messages.send_slot_message(T, ticket.entry, revoke, now)


def expire_revocations(T, now):
    """Remove revocations that were answered or have timed out."""
    for request, at in list(T.revoked.items()):
        if request not in T.granted or now - at > _REVOCATION_TIMEOUT_S:
            del T.revoked[request]


def _has_enough_pending(T):
    # At most one revocation per queued urgent ticket is pending.
    return len(T.revoked) >= T.queued[tables.Rank.URGENT]


def _may_use_chain(T, victim, ticket):
    return all(
        stage.endpoint in T.endpoints
        and _chains.is_usable(T, T.endpoints[stage.endpoint], ticket.rank)
        for stage in victim.chain
    )
