"""Streams of the least rank that give way to urgent work."""

from sniperudder import messages
from sniperudder.systems.dispatch import _chains
from sniperudder.systems.dispatch import _placements
from sniperudder.systems.dispatch import _posts
from sniperudder import tables

# A stream gives way at most this often, so that it ends at last.
_YIELDS_ALLOWED = 3
# Each urgent ticket that waits asks for one stream to give way; an
# entry that does not answer is asked again after this time.
_REVOKED_S = 1.0
# A free chain is left for a busy one that takes at most this share of
# its time, while the stream there may still be giving way.
_FASTER_SHARE = 0.75
_FASTER_WAIT_S = 0.1


def find_victim(T, ticket, find_floor):
    """Return the granted ticket that gives way, or None.

    Of the streams of the least rank it is one on the fastest chain;
    among those the youngest has the least to lose.

    Parameters
    ----------
    T : Tables
    ticket : Ticket
        Urgent one that found no free chain.
    find_floor : callable
        Returns the floor of a rank.

    Notes
    -----
    O(n) in the number of granted slots.
    """
    if ticket.rank is not tables.Rank.URGENT:
        return None
    least = tables.Rank.LEAST
    kept = find_floor(T, least) * sum(T.running.values())
    if T.running[least] - 1 < kept or _has_pending(T):
        return None
    victims = [
        other
        for other in T.granted.values()
        if other.rank is least
        and other.model == ticket.model
        and other.request not in T.revoked
        and other.yields < _YIELDS_ALLOWED
        and _is_reusable(T, other, ticket)
    ]
    return min(
        victims,
        key=lambda v: (_time_chain(T, v.chain), -v.granted_at),
        default=None,
    )


def is_faster(T, victim, chain):
    """Return whether a victim's chain is worth more than a free one."""
    busy_s = _time_chain(T, victim.chain)
    return busy_s <= _FASTER_SHARE * _time_chain(T, chain)


def awaits_faster(T, ticket, chain, now):
    """Return whether urgent work had better wait for a revoked slot."""
    if ticket.rank is not tables.Rank.URGENT:
        return False
    return any(
        now - at < _FASTER_WAIT_S
        and request in T.granted
        and _is_reusable(T, T.granted[request], ticket)
        and is_faster(T, T.granted[request], chain)
        for request, at in T.revoked.items()
    )


def _time_chain(T, chain):
    # Without the streams on it, which the victim is one of.
    eps = [T.endpoints[stage.endpoint] for stage in chain]
    return sum(ep.step_s or _placements.DEFAULT_STEP_S for ep in eps)


def revoke_slot(T, ticket, now):
    """Ask an entry to give a slot back."""
    T.revoked[ticket.request] = now
    T.counters['yields'] = T.counters.get('yields', 0) + 1
    revoke = messages.RevokeSlot(ticket.request, ticket.attempt)
    return _posts.post_message(T, ticket.entry, revoke, now)


def forget_revoked(T, now):
    """Forget slots that were asked back and never released."""
    for request, at in list(T.revoked.items()):
        if request not in T.granted or now - at > _REVOKED_S:
            del T.revoked[request]


def _has_pending(T):
    return len(T.revoked) >= T.queued[tables.Rank.URGENT]


def _is_reusable(T, victim, ticket):
    return all(
        stage.endpoint in T.endpoints
        and _chains.is_usable(T, T.endpoints[stage.endpoint], ticket.rank)
        for stage in victim.chain
    )
