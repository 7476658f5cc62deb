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


def push_request(T, req, front=False):
    """Queue a request.

    Parameters
    ----------
    T : Tables
    req : Request
    front : bool
        Whether it goes before the others of its organisation, as a
        request does whose attempt ended.
    """
    req.state = tables.RequestState.QUEUED
    queue = T.queues[req.rank].get(req.organisation)
    if queue is None:
        queue = collections.deque()
        T.queues[req.rank][req.organisation] = queue
        org = get_organisation(T, req.organisation)
        start = max(org.finish.get(req.rank, 0.0), T.virtual[req.rank])
        org.finish[req.rank] = start
    if front:
        queue.appendleft(req.name)
    else:
        queue.append(req.name)


def remove_request(T, req):
    """Take a request out of its queue."""
    queue = T.queues[req.rank][req.organisation]
    queue.remove(req.name)
    if not queue:
        del T.queues[req.rank][req.organisation]


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


def charge_work(T, req, work):
    """Charge work to the organisation of a request.

    Parameters
    ----------
    T : Tables
    req : Request
    work : float
        Tokens; negative where too much was charged before.
    """
    org = get_organisation(T, req.organisation)
    weight = T.config.weights.get(org.name, org.weight)
    org.finish[req.rank] = org.finish.get(req.rank, 0.0) + work / weight
    req.charged += work


def advance_virtual(T, req):
    """Move the virtual time of a rank to the request that starts."""
    org = get_organisation(T, req.organisation)
    start = org.finish[req.rank]
    T.virtual[req.rank] = max(T.virtual[req.rank], start)


def count_queued(T, rank):
    """Return the number of queued requests of a rank."""
    return sum(len(queue) for queue in T.queues[rank].values())
