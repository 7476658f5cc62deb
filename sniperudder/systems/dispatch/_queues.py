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

from sniperudder import tables


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


def remove_ticket(T, ticket):
    """Take a ticket out of its queue."""
    queues = T.queues[ticket.rank]
    queue = queues[ticket.organisation]
    queue.remove(ticket.request)
    if not queue:
        del queues[ticket.organisation]
    T.queued[ticket.rank] -= 1


def list_organisations(T, rank):
    """Return the names of queueing organisations, next one first.

    Notes
    -----
    O(n log n) in the number of organisations with queued work.
    """
    finish = {
        name: T.organisations[name].finish[rank] for name in T.queues[rank]
    }
    return sorted(finish, key=lambda name: (finish[name], name))


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
    weight = T.config.weights.get(org.name, org.weight)
    before = org.finish.get(ticket.rank, 0.0)
    org.finish[ticket.rank] = before + work / weight
    ticket.charged += work


def advance_virtual(T, ticket):
    """Move the virtual time of a rank to the ticket that is granted."""
    org = get_organisation(T, ticket.organisation)
    start = org.finish[ticket.rank]
    T.virtual[ticket.rank] = max(T.virtual[ticket.rank], start)
