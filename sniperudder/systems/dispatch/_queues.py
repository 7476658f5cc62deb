"""Fair queues over organisations, one for each rank.

Inside a rank the organisation with the least virtual time goes next;
its time moves on by the work that it is given, divided by its weight.
An organisation that was idle starts at the queue's virtual time, so
that it neither saves up nor owes for the past.

References
----------
.. [1] P. Goyal, H. M. Vin, H. Cheng, "Start-time fair queueing",
   SIGCOMM 1996.
"""

import collections
import math

from sniperudder import tables

# A ticket with less than this share of its longest wait left is served
# out of turn.
_OVERDUE_SHARE = 0.3
# So many queued tickets are no flood of an organisation.
_FEW_QUEUED = 2


def get_organisation(T, name):
    """Return the record of an organisation, made where it is absent."""
    org = T.organisations.get(name)
    if org is None:
        org = tables.Organisation(name)
        T.organisations[name] = org
    return org


def push_ticket(T, ticket, front=False):
    """Queue a ticket.

    Parameters
    ----------
    T : Tables
    ticket : Ticket
    front : bool
        Whether it goes before the others of its organisation.
    """
    queues = T.queues[ticket.rank]
    queue = queues.get(ticket.organisation)
    if queue is None:
        queue = collections.deque()
        queues[ticket.organisation] = queue
        org = get_organisation(T, ticket.organisation)
        start = max(org.finish.get(ticket.rank, 0.0), T.virtual[ticket.rank])
        org.finish[ticket.rank] = start
    if front:
        queue.appendleft(ticket.request)
    else:
        queue.append(ticket.request)
    T.queued[ticket.rank] += 1


def is_over_share(T, ask):
    """Return whether the asking organisation fills its part of a queue.

    The queue of a rank is split evenly among the organisations that
    queue in it, so that the one which fills it is told at once.
    """
    queues = T.queues[ask.rank]
    active = len(queues) + (ask.organisation not in queues)
    own = len(queues.get(ask.organisation, ()))
    return own * active >= T.policy.ranks[ask.rank].max_queued


def count_ahead(T, ask):
    """Return how many queued tickets fair queueing serves first.

    Every ticket is taken to need as much work as the one that asks.

    Notes
    -----
    O(n) in the number of organisations with queued work.
    """
    rank = ask.rank
    queues = T.queues[rank]
    own = len(queues.get(ask.organisation, ()))
    work = max(ask.work, 1.0)
    start = _find_start(T, ask.organisation, rank)
    start += own * work / _find_weight(T, ask.organisation)
    ahead = float(own)
    for name, queue in queues.items():
        if name == ask.organisation:
            continue
        lead = (start - T.organisations[name].finish[rank]) / work
        turns = math.floor(lead * _find_weight(T, name)) + 1
        ahead += min(len(queue), max(0, turns))
    return ahead


def _find_start(T, name, rank):
    org = get_organisation(T, name)
    if name in T.queues[rank]:
        return org.finish[rank]
    return max(org.finish.get(rank, 0.0), T.virtual[rank])


def _find_weight(T, name):
    return T.config.weights.get(name, get_organisation(T, name).weight)


def remove_ticket(T, ticket):
    """Take a ticket out of its queue."""
    queues = T.queues[ticket.rank]
    queue = queues[ticket.organisation]
    queue.remove(ticket.request)
    if not queue:
        del queues[ticket.organisation]
    T.queued[ticket.rank] -= 1


def list_organisations(T, rank, now):
    """Return the names of queueing organisations, next one first.

    A ticket that has little of its time left goes first, since it was
    let in because it would be served; but not one of an organisation
    that queues more than its part, which would pass the small ones.

    Notes
    -----
    O(n log n) in the number of organisations with queued work.
    """
    keys = {}
    part = T.queued[rank] / max(1, len(T.queues[rank]))
    allowed = max(part, _FEW_QUEUED)
    for name, queue in T.queues[rank].items():
        ticket = T.tickets[queue[0]]
        if len(queue) <= allowed and _is_overdue(ticket, now):
            keys[name] = (0, ticket.latest, name)
        else:
            keys[name] = (1, T.organisations[name].finish[rank], name)
    return sorted(keys, key=keys.get)


def _is_overdue(ticket, now):
    left_s = ticket.latest - now
    return left_s < _OVERDUE_SHARE * (ticket.latest - ticket.asked_at)


def charge_work(T, ticket, work):
    """Charge work to the organisation of a ticket.

    Parameters
    ----------
    T : Tables
    ticket : Ticket
    work : float
        Tokens; negative where too much was charged before.
    """
    org = get_organisation(T, ticket.organisation)
    weight = _find_weight(T, org.name)
    before = org.finish.get(ticket.rank, 0.0)
    org.finish[ticket.rank] = before + work / weight
    ticket.charged += work


def advance_virtual(T, ticket):
    """Move the virtual time of a rank to the ticket that is granted."""
    org = get_organisation(T, ticket.organisation)
    start = org.finish[ticket.rank]
    T.virtual[ticket.rank] = max(T.virtual[ticket.rank], start)
