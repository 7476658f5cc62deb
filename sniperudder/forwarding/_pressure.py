"""Overload of the fleet, estimated by its instances together."""

import asyncio

from sniperudder import routing


class FleetPressure:
    """Measures gaps between stream events and decides what load to shed.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    rng : random.Random
    journal : object
        Event log; see `Forwarder`.

    Attributes
    ----------
    level : float
        Pressure level; see `sniperudder.routing.update_shedding_level`.
    """

    def __init__(self, T, rng, journal):
        self._T = T
        self._rng = rng
        self._journal = journal
        self._gap_counter = routing.GapCounter()
        self.level = 0.0

    def record_event(self, gap_s, goal_s):
        """Count a forwarded event; see `sniperudder.routing.GapCounter`.

        Parameters
        ----------
        gap_s : float
            Time since the previous event, seconds.
        goal_s : float
            Longest gap that counts as timely, seconds.
        """
        self._gap_counter.record_event(gap_s, goal_s, _read_clock())

    def count_events(self):
        """Return this instance's counts of events and of slow events.

        Counts the last second.

        Returns
        -------
        events, slow_events : int
        """
        return self._gap_counter.count(_read_clock())

    def update(self, elapsed_s):
        """Update the level from the gaps of all instances' streams.

        Parameters
        ----------
        elapsed_s : float
            Time since the previous update, seconds.
        """
        if self._T.configuration is None:
            return
        own, own_slow = self.count_events()
        others, others_slow = self._T.peers.count_events()
        events, slow = own + others, own_slow + others_slow
        before = self.level
        self.level = routing.update_shedding_level(
            before, events, slow, elapsed_s, len(self._list_ranks())
        )
        if (before > 0) != (self.level > 0):
            self._journal.write(
                'pressure:changed',
                level=self.level,
                events=events,
                slow_events=slow,
                instances=self._T.peers.count_alive(),
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
        configuration = self._T.configuration
        return {
            route.rank
            for routes in configuration.routes.values()
            for route in routes
            if route.streaming
        }


def _read_clock():
    return asyncio.get_running_loop().time()
