"""How many requests an instance may have at one endpoint.

Pattern: an endpoint accepts a number of channels from all instances
together, and resets further ones with whatever they carry.
"""

from sniperudder import fleet

# Share of an endpoint's channels that requests may use; the rest is left
# for reports and orders, and for channels that are being replaced.
_REQUEST_SHARE = 0.9


def has_channel(T, endpoint):
    """Tell whether this instance may send an endpoint a further request.

    Instances divide the channels evenly, also those that they do not use.

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
    if service is None or not service.max_channels:
        return True
    instances = 1 + len(T.peers.peers)
    share = max(1, int(service.max_channels * _REQUEST_SHARE / instances))
    return fleet.get_state(T, endpoint).channels < share
