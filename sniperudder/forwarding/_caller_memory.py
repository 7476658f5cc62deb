"""Memory that is used for callers: who holds it, and who waits for it.

What a connection cannot do without is charged to its account. What may become
large, such as a body, is reserved as a whole before more than its beginning is
read. Otherwise, many bodies that each hold a part and wait for the rest would
wait for ever.
"""

import enum
import heapq
import itertools

__all__ = ['Lane', 'MemoryAccount', 'MemoryBudget']

# A waiting reservation gives way to later ones that are smaller, by the time
# that the difference takes at this rate, bytes per second.
_PRIORITY_RATE = 16_777_216

# Multiple of the limit from which on no further request is handled.
_EXHAUSTED_FACTOR = 1.25


class Lane(enum.Enum):
    """What a reservation is for; each has a share of the memory.

    Small bodies do not wait for large ones. Whoever waits in a lane may hold
    reservations in earlier lanes only, so that none waits for itself.
    """

    SMALL_BODY = 'small body'
    LARGE_BODY = 'large body'
    RESPONSE = 'response'


# Shares of the memory that all reservations of a lane may take.
_LANE_SHARES = {
    Lane.SMALL_BODY: 0.2,
    Lane.LARGE_BODY: 0.6,
    Lane.RESPONSE: 0.4,
}


class _Reservation:
    """A reservation that is held or waits.

    Attributes
    ----------
    size : int
    granted : bool
    cancelled : bool
    since : float
        Time at which it was asked for, seconds.
    handle_granted : callable
    """

    __slots__ = ('cancelled', 'granted', 'handle_granted', 'since', 'size')

    def __init__(self, size, since, handle_granted):
        self.size = size
        self.since = since
        self.handle_granted = handle_granted
        self.granted = False
        self.cancelled = False


class MemoryBudget:
    """The memory that may be used for all callers together.

    Parameters
    ----------
    limit_bytes : int

    Attributes
    ----------
    limit_bytes : int
    used_bytes : int
        Sum of all charges and reservations. Charges may exceed the limit.

    Examples
    --------
    >>> budget = MemoryBudget(1_000)
    >>> first, second = budget.open_account(), budget.open_account()
    >>> first.reserve(Lane.LARGE_BODY, 500, 0.0, print)
    True
    >>> second.reserve(Lane.LARGE_BODY, 500, 0.1, lambda: print('granted'))
    False
    >>> first.close()
    granted
    >>> budget.used_bytes
    500
    """

    __slots__ = (
        '_lanes',
        '_numbers',
        '_reserved',
        'limit_bytes',
        'used_bytes',
    )

    def __init__(self, limit_bytes):
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self._reserved = dict.fromkeys(Lane, 0)
        # Heaps of priority, number and reservation.
        self._lanes = {lane: [] for lane in Lane}
        self._numbers = itertools.count()

    @property
    def is_exceeded(self):
        """Whether more is used than the limit."""
        return self.used_bytes > self.limit_bytes

    @property
    def is_exhausted(self):
        """Whether so much more is used that no request should begin."""
        return self.used_bytes > self.limit_bytes * _EXHAUSTED_FACTOR

    @property
    def is_scarce(self):
        """Whether little is left for what callers can do without."""
        return self.used_bytes > self.limit_bytes / 2

    @property
    def waiting(self):
        """Number of reservations that wait."""
        return sum(self.count_waiting(lane) for lane in Lane)

    def open_account(self):
        """Return a new account, which holds nothing."""
        return MemoryAccount(self)

    def count_waiting(self, lane):
        """Return the number of reservations that wait in a lane."""
        return sum(not entry[-1].cancelled for entry in self._lanes[lane])

    def get_longest_wait_s(self, lane, now):
        """Return for how long the first reservation of a lane has waited.

        Parameters
        ----------
        lane : Lane
        now : float
            Time, seconds.

        Returns
        -------
        float
            Seconds; 0 if none waits.
        """
        self._drop_cancelled(lane)
        waiting = self._lanes[lane]
        return max(0.0, now - waiting[0][-1].since) if waiting else 0.0

    def add(self, lane, reservation):
        """Grant a reservation now, or have it wait.

        Returns
        -------
        bool
            Whether it is granted.
        """
        priority = reservation.since + reservation.size / _PRIORITY_RATE
        entry = priority, next(self._numbers), reservation
        heapq.heappush(self._lanes[lane], entry)
        self._grant(lane, asked=reservation)
        return reservation.granted

    def change(self, difference, lane=None):
        """Change what is used, by a charge or in a lane."""
        self.used_bytes += difference
        if lane is not None:
            self._reserved[lane] += difference
        if difference < 0:
            self.grant_waiting()

    def grant_waiting(self):
        """Grant the reservations that fit now."""
        for lane, waiting in self._lanes.items():
            if waiting:
                self._grant(lane)

    def _grant(self, lane, asked=None):
        """Grant what fits, in the order of priorities."""
        while self._drop_cancelled(lane):
            _, _, first = self._lanes[lane][0]
            if not self._fits(lane, first.size):
                return
            heapq.heappop(self._lanes[lane])
            first.granted = True
            self.change(first.size, lane)
            if first is not asked:
                first.handle_granted()

    def _fits(self, lane, size):
        if not self._reserved[lane]:
            # However large it is, one is granted, or it would wait for ever.
            return True
        return (
            self._reserved[lane] + size
            <= self.limit_bytes * _LANE_SHARES[lane]
            and self.used_bytes + size <= self.limit_bytes
        )

    def _drop_cancelled(self, lane):
        """Drop what is at the head and cancelled; return what waits."""
        waiting = self._lanes[lane]
        while waiting and waiting[0][-1].cancelled:
            heapq.heappop(waiting)
        return waiting


class MemoryAccount:
    """What one connection holds.

    Once it is closed, it holds nothing, and all calls have no effect.
    """

    __slots__ = ('_budget', '_charged', '_closed', '_reservations')

    def __init__(self, budget):
        self._budget = budget
        self._charged = 0
        self._reservations = {}
        self._closed = False

    @property
    def held_bytes(self):
        """All that is charged and reserved, bytes."""
        return self._charged + sum(self.get_reserved(lane) for lane in Lane)

    def charge(self, size):
        """Set what is held outside of reservations, bytes."""
        if self._closed or size == self._charged:
            return
        difference, self._charged = size - self._charged, size
        self._budget.change(difference)

    def reserve(self, lane, size, now, handle_granted):
        """Reserve memory, of which an account has one piece in each lane.

        Parameters
        ----------
        lane : Lane
        size : int
        now : float
            Time, seconds.
        handle_granted : callable
            Called if it is granted later.

        Returns
        -------
        bool
            Whether it is granted now. Otherwise, it waits until it is
            released.
        """
        if self._closed:
            return False
        self.release(lane)
        reservation = _Reservation(size, now, handle_granted)
        self._reservations[lane] = reservation
        return self._budget.add(lane, reservation)

    def get_reserved(self, lane):
        """Return what is granted in a lane, bytes."""
        reservation = self._reservations.get(lane)
        return reservation.size if reservation and reservation.granted else 0

    def is_waiting(self):
        """Return whether a reservation waits."""
        return any(not r.granted for r in self._reservations.values())

    def reduce(self, lane, size):
        """Return what a granted reservation has beyond a size, bytes."""
        reservation = self._reservations.get(lane)
        if reservation is None or not reservation.granted:
            return
        surplus = reservation.size - size
        if surplus > 0:
            reservation.size = size
            self._budget.change(-surplus, lane)

    def release(self, lane):
        """Return the reservation of a lane, or stop waiting for it."""
        reservation = self._reservations.pop(lane, None)
        if reservation is None:
            return
        if reservation.granted:
            self._budget.change(-reservation.size, lane)
        else:
            reservation.cancelled = True
            self._budget.grant_waiting()

    def close(self):
        """Return everything."""
        for lane in Lane:
            self.release(lane)
        self.charge(0)
        self._closed = True
