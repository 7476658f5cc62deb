"""Route, service and priority rank of a request."""


def match_route(configuration, host, target):
    """Return the route with the longest matching path prefix, or None.

    Parameters
    ----------
    configuration : sniperudder.fleet.Configuration
    host : str
        Value of the Host header; case and port are ignored.
    target : str
        Path and query.

    Returns
    -------
    sniperudder.fleet.Route or None
    """
    path = target.partition('?')[0]
    name = host.lower()
    routes = configuration.routes.get(name)
    if routes is None:
        routes = configuration.routes.get(name.rpartition(':')[0], ())
    for route in routes:
        if path.startswith(route.prefix):
            return route
    return None


def choose_service(route, rng):
    """Choose the service for a request at random, by the route's weights.

    Parameters
    ----------
    route : sniperudder.fleet.Route
    rng : random.Random

    Returns
    -------
    str
    """
    targets = route.targets
    if len(targets) == 1:
        return targets[0].service
    weights = [max(target.weight, 0.0) for target in targets]
    if not any(weights):
        return targets[0].service
    return rng.choices(targets, weights)[0].service


def get_rank(route, organisation):
    """Return the priority rank of a request; 0 is the most urgent.

    The rank of an organisation takes precedence over that of the route.
    """
    if organisation is not None and organisation.rank is not None:
        return organisation.rank
    return route.rank
