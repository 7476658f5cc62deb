"""Timers of requests: deadlines and delayed slot requests."""

import heapq

from sniperudder import outcomes
from sniperudder.systems.requests import _finish
from sniperudder.systems.requests import _slots


def run_requests(T, now):
    """Handle due timers, and send holdings to the homes."""
    result = []
    while T.timers and T.timers[0][0] <= now:
        _, name = heapq.heappop(T.timers)
        req = T.requests.get(name)
        if req is not None:
            result.extend(_handle_timer(T, req, now))
    result.extend(_slots.run_holdings(T, now))
    return result


def _handle_timer(T, req, now):
    if now >= req.deadline:
        return _end_expired(T, req, now)
    if req.slot_retry_at and now >= req.slot_retry_at:
        return _slots.ask_slot(T, req, now)
    return []


def _end_expired(T, req, now):
    if _finish.has_started(req):
        outcome = outcomes.Failed(outcomes.Code.DEADLINE_WHILE_RUNNING)
    else:
        code = outcomes.Code.DEADLINE_BEFORE_START
        meaning = outcomes.describe_code(code).meaning
        outcome = outcomes.Refused(code, meaning)
    return _finish.finish_request(T, req, outcome, now)
