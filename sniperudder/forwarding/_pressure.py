"""Overload of the fleet, estimated by its instances together."""

import asyncio

from sniperudder import routing


class FleetPressure:
    """Measures pauses between stream events and decides what load to shed.

    Parameters
    ----------
    tables : sniperudder.fleet.FleetTables
    rng : random.Random
    journal : object
        Event log; see `Forwarder`.

    Attributes
    ----------
    level : float
        Pressure level; see `sniperudder.routing.update_level`.
    """

    def __init__(self, tables, rng, journal):
        self._tables = tables
        self._rng = rng
        self._journal = journal
        self._pause_counter = routing.PauseCounter()
        self.level = 0.0

    def record_event(self, pause_s, goal_s):
        """Count a forwarded event; see `sniperudder.routing.PauseCounter`.

        Parameters
        ----------
        pause_s : float
            Time since the previous event, seconds.
        goal_s : float
            Longest pause that counts as timely, seconds.
        """
        self._pause_counter.record_event(pause_s, goal_s, _read_clock())

    def count_events(self):
        """Return this instance's counts of events and of slow events.

        Counts the last second.

        Returns
        -------
        events, slow_events : int
        """
        return self._pause_counter.count(_read_clock())

    def update(self, elapsed_s):
        """Update the level from the pauses of all instances' streams.

        Parameters
        ----------
        elapsed_s : float
            Time since the previous update, seconds.
        """
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
        """Return whether to shed a request of a rank; drawn at random."""
        if self.level <= 0:
            return False
        share = routing.get_shed_share(self.level, rank, self._list_ranks())
        return self._rng.random() < share

    def get_urgency(self, rank):
        """Return the urgency of a rank, from 1 (most urgent in use) to 0."""
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


def _read_clock():
    return asyncio.get_running_loop().time()
