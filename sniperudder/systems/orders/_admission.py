"""Which orders are taken, and which of them is begun next."""

import collections

from sniperudder import outcomes
from sniperudder.systems.orders import _claims
from sniperudder.systems.orders import _endings
from sniperudder.tables import OrderState
from sniperudder.tables import RANKS

# Orders of one service that an instance claims or calls at a time. More
# would wait for threads of the client, and be taken for lost meanwhile.
RUNNING_PER_SERVICE = 16

_BACKGROUND_FACTOR = 4
_RUNNING = (OrderState.CLAIMING, OrderState.CALLING)


def find_refusal(T, inp, now):
    """Return the code with which an arrival is refused, or None."""
    if inp.service not in T.services:
        return outcomes.Code.UNKNOWN_SERVICE
    if now >= T.refuse_at:
        return outcomes.Code.STOPPING
    if _is_full(T, inp):
        return outcomes.Code.QUEUE_FULL
    return None


def begin_orders(T, now):
    """Begin queued orders where their services have room.

    A rank below its floor goes first, then the more urgent one, then the
    organisation with the fewest running orders for its weight, then the
    older order. Complexity is O(n log n) in the orders, O(n) where none
    is queued.

    Returns
    -------
    list of Order
        The orders that were begun.
    """
    queued = {}
    for order in T.orders.values():
        if order.state is OrderState.QUEUED:
            queued.setdefault(order.service, []).append(order)
    begun = []
    for service, candidates in queued.items():
        begun += _begin_some(T, service, candidates, now)
    return begun


def _is_full(T, inp):
    """Return whether an arrival finds no room.

    An organisation may hold as many orders of a rank as there is room
    left, so that one alone never fills it. Work in the background has a
    limit as a whole.
    """
    allowed = T.policy.ranks[inp.rank].max_queued
    if 2 * len(T.orders) < allowed:
        return False
    if len(T.orders) >= _BACKGROUND_FACTOR * allowed:
        return True
    waiting = [
        order.organisation
        for order in T.orders.values()
        if order.rank == inp.rank and not order.answered
    ]
    return waiting.count(inp.organisation) >= allowed - len(waiting)


def _begin_some(T, service, candidates, now):
    running = [
        order
        for order in T.orders.values()
        if order.service == service and _is_running(order)
    ]
    room = RUNNING_PER_SERVICE - len(running)
    ranks = collections.Counter(order.rank for order in running)
    organisations = collections.Counter(
        order.organisation for order in running
    )
    begun = []
    while candidates and len(begun) < room:
        order = _choose_next(T, candidates, ranks, organisations)
        candidates.remove(order)
        ranks[order.rank] += 1
        organisations[order.organisation] += 1
        _begin(T, order, now)
        begun.append(order)
    return begun


def _is_running(order):
    return order.state in _RUNNING or order.unreported > 0


def _choose_next(T, candidates, ranks, organisations):
    starved = {
        rank: ranks[rank] < T.policy.ranks[rank].floor * RUNNING_PER_SERVICE
        for rank in RANKS
    }

    def measure(order):
        organisation = T.organisations.get(order.organisation)
        weight = 1.0 if organisation is None else organisation.weight
        return (
            not starved[order.rank],
            order.rank,
            organisations[order.organisation] / weight,
            order.arrived_at,
        )

    return min(candidates, key=measure)


def _begin(T, order, now):
    if T.services[order.service].repeatable:
        _endings.enter(order, OrderState.CALLING, now)
    else:
        _claims.begin_claim(T, order, now)
