"""Load balancing for plain services, whose endpoints run whole requests.

Such a service has a few endpoints with a handful of slots each. Its calls
are short, and some of them may not be retried. A call that waits in a
queue while another endpoint is idle is late.
"""

from sniperudder import fleet
from sniperudder.routing import _connection_limits

# Cost of an endpoint in another data centre, in requests in flight: the
# one-way delay is 0.5 ms, and a call takes about 20 ms.
_REMOTE_REQUESTS = 0.25


def choose_endpoint(
    T,
    endpoints,
    local_data_centre,
    now,
    rng,
    excluded=(),
    restricted=(),
):
    """Choose the endpoint with the fewest requests in flight per slot.

    Endpoints to which this instance has no free connection are left out.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    endpoints : list of sniperudder.fleet.Endpoint
    local_data_centre : str
        Data centre of this instance.
    now : float
        Loop time, seconds.
    rng : random.Random
    excluded : collection of str
        Ids of endpoints that were tried before; used only if there are no
        others.
    restricted : collection of str
        Ids of endpoints that may be sent no request now; see
        `list_restricted`.

    Returns
    -------
    sniperudder.fleet.Endpoint or None
    """

    def get_sort_key(endpoint):
        state = fleet.get_state(T, endpoint)
        load = fleet.get_load(T, endpoint).requests / max(endpoint.slots, 1)
        if endpoint.data_centre != local_data_centre:
            load += _REMOTE_REQUESTS / max(endpoint.slots, 1)
        return (
            endpoint.id in excluded,
            now < state.avoid_until,
            load,
            rng.random(),
        )

    available = [
        e
        for e in endpoints
        if e.id not in restricted
        and _connection_limits.has_free_connection(T, e)
    ]
    return min(available, key=get_sort_key, default=None)
