"""Estimate of the time that a new ticket would wait for a slot.

At first the throughput of a rank is estimated as its share of the
capacity, which follows from the speeds of the model's endpoints. Once the
rank has been queued for `_MIN_QUEUED_S`, its own grant rate is used, at
most the capacity. The estimate does not exceed the capacity because work
refused at once can go elsewhere, whereas work refused after a wait has
lost that time.
"""

import math

from sniperudder.systems.dispatch import _placements
from sniperudder.systems.dispatch import _queues
from sniperudder import tables

_RATE_TIME_CONSTANT_S = 8.0
# The grant rate of a rank is used once it has had a queue for this long;
# before, there are too few grants for an estimate.
_MIN_QUEUED_S = 4.0
# Estimated waits may use up to this fraction of the maximum wait. The rest
# is a margin, since queue order and answer lengths vary.
_PLANNED_WAIT_SHARE = 0.6
# On a full endpoint a stream waits for one iteration and then runs in the
# next one.
_STEPS_PER_TOKEN_WHEN_FULL = 2.0


def record_grant(T, ticket, now):
    """Add the work of a granted ticket to the grant rate of its rank."""
    rate = T.grant_rates[ticket.rank]
    rate.work = rate.work * _compute_decay(rate, now) + ticket.work
    rate.updated_at = now


def estimate_wait(T, ask, now, get_floor):
    """Return the estimated wait of a new slot request, seconds.

    Parameters
    ----------
    T : Tables
    ask : AskSlot
    now : float
        Seconds.
    get_floor : callable
        Returns the floor of a rank.

    Notes
    -----
    O(n + e) for n organisations with queued work and e endpoints.
    """
    if not T.queues[ask.rank]:
        return 0.0
    ahead = (_queues.count_tickets_ahead(T, ask) + 1.0) * ask.work
    capacity = estimate_capacity(T, ask.model)
    tokens_per_s = capacity * _estimate_share(T, ask.rank, get_floor)
    rate = T.grant_rates[ask.rank]
    queued_s = now - rate.since
    if queued_s >= _MIN_QUEUED_S:
        tokens_per_s = min(
            capacity,
            rate.work * _compute_decay(rate, now) / _RATE_TIME_CONSTANT_S,
        )
    if tokens_per_s <= 0.0:
        return math.inf
    return ahead / tokens_per_s / _PLANNED_WAIT_SHARE


def estimate_capacity(T, model):
    """Return the tokens per second of a model when its endpoints are full."""
    totals = {}
    for ep in T.endpoints.values():
        if ep.model != model or ep.state is tables.EndpointState.DOWN:
            continue
        step_s = ep.step_s or _placements.DEFAULT_STEP_S
        key = (ep.first_layer, ep.end_layer)
        speed = ep.max_streams / (_STEPS_PER_TOKEN_WHEN_FULL * step_s)
        totals[key] = totals.get(key, 0.0) + speed
    if not totals:
        return 0.0
    return min(totals.values()) / len(totals)


def _estimate_share(T, rank, get_floor):
    # Share of the capacity that is left for this rank. Any queued work of
    # a higher priority leaves it only its floor. Otherwise ranks of higher
    # priority keep the slots they hold, and ranks of lower priority that
    # have work keep their floors.
    floor = get_floor(T, rank)
    if any(T.queues[other] for other in tables.RANKS if other < rank):
        return floor
    reserved = sum(
        get_floor(T, other)
        for other in tables.RANKS
        if other > rank and (T.queues[other] or T.running[other])
    )
    running_before = sum(
        T.running[other] for other in tables.RANKS if other < rank
    )
    total = sum(T.running.values())
    running_share = running_before / total if total else 0.0
    return max(floor, 1.0 - reserved - running_share)


def reset_idle_rate(T, rank, now):
    """Reset the grant rate of a rank whose queue is empty."""
    rate = T.grant_rates[rank]
    if not T.queues[rank]:
        rate.since = now
        rate.work = 0.0
        rate.updated_at = now


def _compute_decay(rate, now):
    return math.exp(-(now - rate.updated_at) / _RATE_TIME_CONSTANT_S)
