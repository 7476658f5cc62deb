"""Limit on the connections of an instance to one endpoint.

An endpoint accepts a limited number of connections from all instances
together, and resets those beyond it with the requests that they carry.
"""

from sniperudder import fleet

# Share of an endpoint's connections that requests may use; the rest is for
# reports, orders, and connections that are being replaced.
_REQUEST_SHARE = 0.9


def has_free_connection(T, endpoint):
    """Return whether this instance may send an endpoint another request.

    The connections are divided evenly among the instances, whether or not
    each of them uses its share.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    endpoint : sniperudder.fleet.Endpoint

    Returns
    -------
    bool
    """
    if T.configuration is None:
        return True
    service = T.configuration.services.get(endpoint.service)
    if service is None or not service.max_connections:
        return True
    instances = 1 + len(T.peers.peers)
    share = max(1, int(service.max_connections * _REQUEST_SHARE / instances))
    return fleet.get_state(T, endpoint).connections < share
