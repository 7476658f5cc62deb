"""Load shedding when the fleet is overloaded.

The instances estimate the overload together, from the gaps between the events
of all their streams.
"""

import asyncio

from sniperudder import routing


class LoadShedder:
    """Measures gaps between stream events and decides what load to shed.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    rng : random.Random
    journal : object
        Event log; see `Forwarder`.

    Attributes
    ----------
    shedding_level : float
        See `sniperudder.routing.update_shedding_level`.
    """

    def __init__(self, T, rng, journal):
        self._T = T
        self._rng = rng
        self._journal = journal
        self._gap_counter = routing.GapCounter()
        self.shedding_level = 0.0

    def record_event(self, gap_s, gap_target_s):
        """Count a forwarded event; see `sniperudder.routing.GapCounter`.

        Parameters
        ----------
        gap_s : float
            Time since the previous event, seconds.
        gap_target_s : float
            Longest gap that counts as timely, seconds.
        """
        self._gap_counter.record_event(gap_s, gap_target_s, _read_loop_time())

    def count_events(self):
        """Return this instance's counts of events and of slow events.

        Counts the last second.

        Returns
        -------
        events, slow_events : int
        """
        return self._gap_counter.count(_read_loop_time())

    def update(self, elapsed_s):
        """Update the shedding level from the gaps of all instances' streams.

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
        before = self.shedding_level
        self.shedding_level = routing.update_shedding_level(
            before, events, slow, elapsed_s, len(self._list_ranks())
        )
        if (before > 0) != (self.shedding_level > 0):
            self._journal.write(
                'pressure:changed',
                level=self.shedding_level,
                events=events,
                slow_events=slow,
                instances=self._T.peers.count_alive(),
            )

    def should_shed(self, rank):
        """Return whether to shed a request of a rank; drawn at random."""
        if self.shedding_level <= 0:
            return False
        share = routing.get_shed_share(
            self.shedding_level, rank, self._list_ranks()
        )
        return self._rng.random() < share

    def get_relative_urgency(self, rank):
        """Return the relative urgency of a rank, from 1 to 0.

        1 is the most urgent rank in use, 0 the least urgent one.
        """
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


def _read_loop_time():
    return asyncio.get_running_loop().time()
