"""Choosing an endpoint of a plain service.

Pattern: a few endpoints with a handful of slots each serve short calls,
some of which may not be repeated; a call that waits in one queue while
another endpoint is idle is late.
"""

from sniperudder import fleet
from sniperudder.routing import _limits

# Requests in flight that leaving the data centre is worth; the way takes
# half a millisecond, a call some twenty.
_CROSSING_REQUESTS = 0.25


def choose_endpoint(T, endpoints, home, now, rng, excluded=()):
    """Choose the endpoint with the fewest requests in flight.

    Endpoints at which this instance has used up its channels are left out.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    endpoints : list of sniperudder.fleet.Endpoint
    home : str
        Data centre of this instance.
    now : float
        Seconds.
    rng : random.Random
    excluded : collection of str
        Ids of endpoints that were tried; used only if no other is there.

    Returns
    -------
    sniperudder.fleet.Endpoint or None
    """

    def rate(endpoint):
        state = fleet.get_state(T, endpoint)
        load = fleet.get_load(T, endpoint).requests / max(endpoint.slots, 1)
        if endpoint.data_centre != home:
            load += _CROSSING_REQUESTS / max(endpoint.slots, 1)
        return (
            endpoint.id in excluded,
            now < state.avoid_until,
            load,
            rng.random(),
        )

    free = [e for e in endpoints if _limits.has_channel(T, e)]
    return min(free, key=rate, default=None)
