"""Pressure of the whole fleet, as its instances measure it together."""

import asyncio

from sniperudder import routing


class FleetPressure:
    """Measures the pauses of streams, and says which requests to refuse.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    rng : random.Random
    journal : object
        See `Forwarder`.

    Attributes
    ----------
    level : float
        See `sniperudder.routing.update_level`.
    """

    def __init__(self, tables, rng, journal):
        self._tables = tables
        self._rng = rng
        self._journal = journal
        self._pause_counter = routing.PauseCounter()
        self.level = 0.0

    def record_event(self, pause_s, goal_s):
        """Count an event that was forwarded; see `PauseCounter`."""
        self._pause_counter.record_event(pause_s, goal_s, _get_time())

    def count_events(self):
        """Return this instance's events of the last second, and slow ones."""
        return self._pause_counter.count(_get_time())

    def update(self, elapsed_s):
        """Adapt the level to the pauses of all instances' streams."""
        if self._tables.configuration is None:
            return
        own, own_slow = self.count_events()
        others, others_slow = self._tables.peers.count_events()
        events, slow = own + others, own_slow + others_slow
        before = self.level
        self.level = routing.update_level(
            before, events, slow, elapsed_s, len(self._list_ranks())
        )
        if (before > 0) != (self.level > 0):
            self._journal.write(
                'pressure:changed',
                level=self.level,
                events=events,
                slow_events=slow,
                instances=self._tables.peers.count_alive(),
            )

    def should_shed(self, rank):
        """Draw whether a request of a rank is refused now."""
        if self.level <= 0:
            return False
        share = routing.get_shed_share(self.level, rank, self._list_ranks())
        return self._rng.random() < share

    def get_urgency(self, rank):
        """Return 1 for the most urgent rank in use, 0 for the least."""
        ranks = sorted(self._list_ranks() | {rank})
        if len(ranks) < 2:
            return 1.0
        return 1.0 - ranks.index(rank) / (len(ranks) - 1)

    def _list_ranks(self):
        configuration = self._tables.configuration
        return {
            route.rank
            for routes in configuration.routes.values()
            for route in routes
            if route.streaming
        }


def _get_time():
    return asyncio.get_running_loop().time()
