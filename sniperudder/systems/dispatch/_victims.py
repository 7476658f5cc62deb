"""Streams of the least rank that give way to urgent work."""

from sniperudder import messages
from sniperudder.systems.dispatch import _chains
from sniperudder.systems.dispatch import _posts
from sniperudder import tables

# A stream gives way at most this often, so that it ends at last.
_YIELDS_ALLOWED = 3
# Each urgent ticket that waits asks for one stream to give way; an
# entry that does not answer is asked again after this time.
_REVOKED_S = 1.0
# A free chain is left for a busy one where it gives at most this
# share of its speed, while the stream there may still be giving way.
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
    if _has_pending(T):
        return None
    kept = find_floor(T, least) * sum(T.speeds.values())
    spare = T.speeds[least] - kept
    victims = [
        other
        for other in T.granted.values()
        if other.rank is least
        and other.speed <= spare
        and other.model == ticket.model
        and other.request not in T.revoked
        and other.yields < _YIELDS_ALLOWED
        and _is_reusable(T, other, ticket)
    ]
    return max(
        victims,
        key=lambda v: (v.speed, v.granted_at),
        default=None,
    )


def is_faster(T, victim, chain):
    """Return whether a victim's chain is worth more than a free one."""
    free = _chains.expect_speed(T, chain)
    return free <= _FASTER_SHARE * victim.speed


def awaits_faster(T, ticket, chain, now):
    """Return whether urgent work had better wait for a revoked slot."""
    if ticket.rank is not tables.Rank.URGENT:
        return False
    return any(
        now - at < _FASTER_WAIT_S
        and request in T.granted
        and is_faster(T, T.granted[request], chain)
        for request, at in T.revoked.items()
    )


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
