"""Which connections of callers are given up if there is no room for all."""

import dataclasses
import enum
import heapq

__all__ = [
    'Condition',
    'DESCRIPTOR_ORDER',
    'MEMORY_ORDER',
    'STALLED',
    'Standing',
    'list_dispensable',
]


class Condition(enum.Enum):
    """What a connection does for its caller.

    CLOSED: this side has closed it, and the caller has not.

    UNFINISHED: its caller does not send the rest of a request at a usable
    rate.

    UNUSED: it has carried no request yet.

    IDLE: it is kept after a response.

    UNREAD: its caller does not accept a response at a usable rate.

    QUEUED: its request waits for memory.

    PENDING: the rest of a request is awaited, not for long yet.

    ACTIVE: it makes progress.
    """

    CLOSED = 'closed'
    UNFINISHED = 'unfinished'
    UNUSED = 'unused'
    IDLE = 'idle'
    UNREAD = 'unread'
    QUEUED = 'queued'
    PENDING = 'pending'
    ACTIVE = 'active'


# Conditions of connections that are given up, the first ones first. An idle
# connection holds a descriptor, but hardly any memory, and all open ones
# together a share of it.
DESCRIPTOR_ORDER = (
    Condition.UNFINISHED,
    Condition.UNUSED,
    Condition.IDLE,
    Condition.UNREAD,
    Condition.QUEUED,
    Condition.PENDING,
)
MEMORY_ORDER = (
    Condition.CLOSED,
    Condition.UNFINISHED,
    Condition.UNREAD,
    Condition.QUEUED,
)

# Conditions in which a connection does not use what it holds.
STALLED = (Condition.UNFINISHED, Condition.UNREAD)


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """The condition of a connection.

    Attributes
    ----------
    condition : Condition
    for_s : float
        Among connections of one condition, those with the largest value are
        given up first: the time without progress, seconds. Those that wait
        for memory have the negative of the time for which they have waited.
    """

    condition: Condition
    for_s: float = 0.0


def list_dispensable(connections, order, now, count):
    """Return the connections to give up first.

    Takes time linear in the number of connections.

    Parameters
    ----------
    connections : iterable
        Objects with a method ``get_standing(now)``.
    order : sequence of Condition
        Conditions in which connections may be given up.
    now : float
        Loop time, seconds.
    count : int
        Largest number to return.

    Returns
    -------
    list
        Connections, the one to give up first at the end.
    """
    places = {condition: place for place, condition in enumerate(order)}
    ranked = []
    for number, connection in enumerate(connections):
        standing = connection.get_standing(now)
        place = places.get(standing.condition)
        if place is not None:
            ranked.append((place, -standing.for_s, number, connection))
    first = heapq.nsmallest(count, ranked)
    return [connection for *_, connection in reversed(first)]
