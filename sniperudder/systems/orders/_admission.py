"""Admission of orders, and the choice of the next order to begin."""

import collections

from sniperudder import outcomes
from sniperudder.systems.orders import _claims
from sniperudder.systems.orders import _completion
from sniperudder.tables import OrderState
from sniperudder.tables import RANKS

# Orders of one service that an instance claims or calls concurrently. The
# client has a thread for each; more calls would queue for a thread and be
# treated as lost while they wait.
MAX_RUNNING_PER_SERVICE = 16

_MAX_ORDERS_FACTOR = 4
_RUNNING_STATES = (OrderState.CLAIMING, OrderState.CALLING)


def find_refusal(T, inp, now):
    """Return the code to refuse an arriving order with, or None."""
    if inp.service not in T.services:
        return outcomes.Code.UNKNOWN_SERVICE
    if now >= T.refuse_at:
        return outcomes.Code.STOPPING
    if _is_queue_full(T, inp):
        return outcomes.Code.QUEUE_FULL
    return None


def begin_orders(T, now):
    """Begin queued orders while their services have capacity.

    Orders are sorted by: ranks below their floor (the guaranteed share of
    the running orders) first; the more urgent rank; the organisation with
    the fewest running orders relative to its weight; the time of arrival.
    Complexity is O(n log n) in the orders, O(n) if none is queued.

    Returns
    -------
    list of Order
        The orders begun.
    """
    queued = {}
    for order in T.orders.values():
        if order.state is OrderState.QUEUED:
            queued.setdefault(order.service, []).append(order)
    begun = []
    for service, candidates in queued.items():
        begun += _begin_for_service(T, service, candidates, now)
    return begun


def _is_queue_full(T, inp):
    """Return whether the queue has no room for an arriving order.

    An order is refused if its organisation already has as many unanswered
    orders of the rank as the rank has free places, so that no organisation
    can fill the queue alone. The total
    also counts answered orders that still have work in the background, and
    has a limit of its own.
    """
    allowed = T.policy.ranks[inp.rank].max_queued
    if 2 * len(T.orders) < allowed:
        return False
    if len(T.orders) >= _MAX_ORDERS_FACTOR * allowed:
        return True
    waiting = [
        order.organisation
        for order in T.orders.values()
        if order.rank == inp.rank and not order.answered
    ]
    return waiting.count(inp.organisation) >= allowed - len(waiting)


def _begin_for_service(T, service, candidates, now):
    running = [
        order
        for order in T.orders.values()
        if order.service == service and _is_running(order)
    ]
    room = MAX_RUNNING_PER_SERVICE - len(running)
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
        _begin_order(T, order, now)
        begun.append(order)
    return begun


def _is_running(order):
    return order.state in _RUNNING_STATES or order.unreported_calls > 0


def _choose_next(T, candidates, ranks, organisations):
    below_floor = {
        rank: ranks[rank]
        < T.policy.ranks[rank].floor * MAX_RUNNING_PER_SERVICE
        for rank in RANKS
    }

    def compute_sort_key(order):
        organisation = T.organisations.get(order.organisation)
        weight = 1.0 if organisation is None else organisation.weight
        return (
            not below_floor[order.rank],
            order.rank,
            organisations[order.organisation] / weight,
            order.arrived_at,
        )

    return min(candidates, key=compute_sort_key)


def _begin_order(T, order, now):
    if T.services[order.service].repeatable:
        _completion.enter_state(order, OrderState.CALLING, now)
    else:
        _claims.begin_claim(T, order, now)
