"""How long a new ticket would wait, from the rate of past grants."""

import math

_MEMORY_S = 4.0
# Without grants to go by, no wait is predicted until this long after
# the queue formed.
_LEARNING_S = 2.0


def count_grant(T, ticket, now):
    """Take in that a slot was granted or would have been at once."""
    rate = T.grant_rates[ticket.rank]
    rate.count = rate.count * _decay(rate, now) + 1.0
    rate.at = now


def expect_wait(T, ask, now):
    """Return the expected wait of a new question for a slot, seconds.

    Under fair queueing the own queue of an organisation is served once
    in a round over the organisations that queue in the rank; ranks
    that go first show in the rank's rate of grants.

    Parameters
    ----------
    T : Tables
    ask : AskSlot
    now : float
        Seconds.
    """
    queues = T.queues[ask.rank]
    if not queues:
        return 0.0
    own = len(queues.get(ask.organisation, ()))
    active = len(queues) + (ask.organisation not in queues)
    ahead = min((own + 0.5) * active, T.queued[ask.rank] + 1.0)
    rate = T.grant_rates[ask.rank]
    per_s = rate.count * _decay(rate, now) / _MEMORY_S
    oldest_s = now - rate.since
    if oldest_s < _LEARNING_S:
        return 0.0
    if per_s * oldest_s < 1.0:
        per_s = 1.0 / oldest_s
    return ahead / per_s


def note_queue(T, rank, now):
    """Take in whether a rank queues, which starts the learning."""
    rate = T.grant_rates[rank]
    if not T.queues[rank]:
        rate.since = now


def _decay(rate, now):
    return math.exp(-(now - rate.at) / _MEMORY_S)
