"""Weighted fair queues of organisations, one per rank.

Within a rank the organisation with the lowest virtual time is served
next. Virtual times are in tokens divided by weight: that of an
organisation advances by the work granted to it, divided by its weight.
An organisation that was idle starts at the virtual time of the queue, so
that it builds up neither credit nor debt while idle.

References
----------
.. [1] P. Goyal, H. M. Vin, H. Cheng, "Start-time fair queueing",
   SIGCOMM 1996.
"""

import collections
import math

from sniperudder import tables

# A ticket with less than this fraction of its maximum wait left is served
# out of turn.
_EXPIRING_SHARE = 0.3
# An organisation with at most this many queued tickets is not treated as
# flooding the queue.
_SMALL_BACKLOG_TICKETS = 2


def get_organisation(T, name):
    """Return the record of an organisation, created if absent."""
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
        Whether to queue it ahead of the others of its organisation.
    """
    queues = T.queues[ticket.rank]
    queue = queues.get(ticket.organisation)
    if queue is None:
        queue = collections.deque()
        queues[ticket.organisation] = queue
        org = get_organisation(T, ticket.organisation)
        start = max(
            org.virtual_times.get(ticket.rank, 0.0),
            T.virtual_times[ticket.rank],
        )
        org.virtual_times[ticket.rank] = start
    if front:
        queue.appendleft(ticket.request)
    else:
        queue.append(ticket.request)
    T.queued[ticket.rank] += 1


def is_over_share(T, ask):
    """Return whether an organisation has used up its share of a queue.

    The capacity of a rank's queue is split evenly among the
    organisations with work in it, so that an organisation which floods
    the queue is refused at once.
    """
    queues = T.queues[ask.rank]
    active = len(queues) + (ask.organisation not in queues)
    own = len(queues.get(ask.organisation, ()))
    return own * active >= T.policy.ranks[ask.rank].max_queued


def count_tickets_ahead(T, ask):
    """Return how many queued tickets would be served before a new one.

    Every ticket is assumed to need as much work as the new one.

    Notes
    -----
    O(n) in the number of organisations with queued work.
    """
    rank = ask.rank
    queues = T.queues[rank]
    own = len(queues.get(ask.organisation, ()))
    work = max(ask.work, 1.0)
    start = _find_virtual_time(T, ask.organisation, rank)
    start += own * work / _get_weight(T, ask.organisation)
    ahead = float(own)
    for name, queue in queues.items():
        if name == ask.organisation:
            continue
        lead = (start - T.organisations[name].virtual_times[rank]) / work
        turns = math.floor(lead * _get_weight(T, name)) + 1
        ahead += min(len(queue), max(0, turns))
    return ahead


def _find_virtual_time(T, name, rank):
    org = get_organisation(T, name)
    if name in T.queues[rank]:
        return org.virtual_times[rank]
    return max(org.virtual_times.get(rank, 0.0), T.virtual_times[rank])


def _get_weight(T, name):
    return T.config.weights.get(name, get_organisation(T, name).weight)


def remove_ticket(T, ticket):
    """Remove a ticket from its queue."""
    queues = T.queues[ticket.rank]
    queue = queues[ticket.organisation]
    queue.remove(ticket.request)
    if not queue:
        del queues[ticket.organisation]
    T.queued[ticket.rank] -= 1


def list_organisations(T, rank, now):
    """Return the organisations with queued work, next to serve first.

    An organisation whose first ticket is close to its deadline goes
    first, since the ticket was admitted on the estimate that it would
    be served in time. This does not apply to an organisation with more
    queued tickets than the mean, as it would overtake smaller ones.

    Notes
    -----
    O(n log n) in the number of organisations with queued work.
    """
    keys = {}
    mean_queued = T.queued[rank] / max(1, len(T.queues[rank]))
    allowed = max(mean_queued, _SMALL_BACKLOG_TICKETS)
    for name, queue in T.queues[rank].items():
        ticket = T.tickets[queue[0]]
        if len(queue) <= allowed and _is_expiring(ticket, now):
            keys[name] = (0, ticket.grant_deadline, name)
        else:
            keys[name] = (1, T.organisations[name].virtual_times[rank], name)
    return sorted(keys, key=keys.get)


def _is_expiring(ticket, now):
    remaining_s = ticket.grant_deadline - now
    return remaining_s < _EXPIRING_SHARE * (
        ticket.grant_deadline - ticket.requested_at
    )


def charge_work(T, ticket, work):
    """Charge work to the organisation of a ticket.

    Parameters
    ----------
    T : Tables
    ticket : Ticket
    work : float
        Tokens; negative to refund work charged in excess.
    """
    org = get_organisation(T, ticket.organisation)
    weight = _get_weight(T, org.name)
    before = org.virtual_times.get(ticket.rank, 0.0)
    org.virtual_times[ticket.rank] = before + work / weight
    ticket.charged_tokens += work


def advance_virtual_time(T, ticket):
    """Advance a rank's virtual time to that of a granted organisation."""
    org = get_organisation(T, ticket.organisation)
    start = org.virtual_times[ticket.rank]
    T.virtual_times[ticket.rank] = max(T.virtual_times[ticket.rank], start)
