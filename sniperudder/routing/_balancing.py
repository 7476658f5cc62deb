"""Load balancing for plain services, whose endpoints run whole requests.

Such a service has a few endpoints with a handful of slots each. Its calls
are short, and some of them may not be retried. A call that waits in a
queue while another endpoint is idle is late.
"""

from sniperudder import fleet
from sniperudder.routing import _limits

# Cost of leaving the data centre, in requests in flight: a crossing
# takes 0.5 ms, a call about 20 ms.
_CROSSING_REQUESTS = 0.25


def choose_endpoint(T, endpoints, home, now, rng, excluded=()):
    """Choose the endpoint with the fewest requests in flight per slot.

    Endpoints to which this instance has no free connection are left out.

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
        Ids of endpoints that were tried before; used only if there are no
        others.

    Returns
    -------
    sniperudder.fleet.Endpoint or None
    """

    def get_sort_key(endpoint):
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

    available = [e for e in endpoints if _limits.has_free_connection(T, e)]
    return min(available, key=get_sort_key, default=None)
