"""How long a new ticket would wait for a slot.

At first the speeds of the endpoints tell how much work the model's
chains do a second; once a rank has queued for a while its own grants
tell it. Of two figures the slower one is believed: work refused at
once may go elsewhere, work refused after a wait has lost that time.
"""

import math

from sniperudder.systems.dispatch import _placements
from sniperudder.systems.dispatch import _queues
from sniperudder import tables

_MEMORY_S = 8.0
# Until a rank has queued for this long its grants tell too little.
_LEARNING_S = 4.0
# Share of the longest wait that may be promised, since the order of
# the queue and the lengths of answers vary.
_PROMISED_SHARE = 0.6
# A stream on a full endpoint waits for an iteration and takes one.
_FULL_STEPS = 2.0


def count_grant(T, ticket, now):
    """Take in that a slot was granted or would have been at once."""
    rate = T.grant_rates[ticket.rank]
    rate.work = rate.work * _decay(rate, now) + ticket.work
    rate.at = now


def expect_wait(T, ask, now, find_floor):
    """Return the expected wait of a new question for a slot, seconds.

    Parameters
    ----------
    T : Tables
    ask : AskSlot
    now : float
        Seconds.
    find_floor : callable
        Returns the floor of a rank.

    Notes
    -----
    O(n + e) for n organisations with queued work and e endpoints.
    """
    if not T.queues[ask.rank]:
        return 0.0
    ahead = (_queues.count_ahead(T, ask) + 1.0) * ask.work
    capacity = expect_capacity(T, ask.model)
    per_s = capacity * _find_share(T, ask.rank, find_floor)
    rate = T.grant_rates[ask.rank]
    queued_s = now - rate.since
    if queued_s >= _LEARNING_S:
        per_s = min(capacity, rate.work * _decay(rate, now) / _MEMORY_S)
    if per_s <= 0.0:
        return math.inf
    return ahead / per_s / _PROMISED_SHARE


def expect_capacity(T, model):
    """Return the tokens a second of a model's chains when all are full."""
    totals = {}
    for ep in T.endpoints.values():
        if ep.model != model or ep.state is tables.EndpointState.DOWN:
            continue
        step_s = ep.step_s or _placements.DEFAULT_STEP_S
        key = (ep.first_layer, ep.end_layer)
        speed = ep.max_streams / (_FULL_STEPS * step_s)
        totals[key] = totals.get(key, 0.0) + speed
    if not totals:
        return 0.0
    return min(totals.values()) / len(totals)


def _find_share(T, rank, find_floor):
    # What the others keep of a full fleet: those that go first all but
    # the floor, those that go later their floors.
    floor = find_floor(T, rank)
    if any(T.queues[other] for other in tables.RANKS if other < rank):
        return floor
    kept = sum(
        find_floor(T, other)
        for other in tables.RANKS
        if other > rank and (T.queues[other] or T.running[other])
    )
    before = sum(T.running[other] for other in tables.RANKS if other < rank)
    total = sum(T.running.values())
    taken = before / total if total else 0.0
    return max(floor, 1.0 - kept - taken)


def note_queue(T, rank, now):
    """Take in whether a rank queues, which starts the learning."""
    rate = T.grant_rates[rank]
    if not T.queues[rank]:
        rate.since = now
        rate.work = 0.0
        rate.at = now


def _decay(rate, now):
    return math.exp(-(now - rate.at) / _MEMORY_S)
