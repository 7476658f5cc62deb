"""All that one instance knows of its fleet."""

import dataclasses

from sniperudder.fleet import _endpoints


@dataclasses.dataclass(slots=True)
class FleetTables:
    """The tables of one instance.

    Attributes
    ----------
    configuration : Configuration or None
        None until one is known.
    endpoints : dict of str to Endpoint
        By id; those that the platform lists.
    states : dict of (str, int) to EndpointState
        By id and time of birth.
    endpoints_known : bool
        Whether the list of endpoints was read since the start.
    """

    configuration: object = None
    endpoints: dict = dataclasses.field(default_factory=dict)
    states: dict = dataclasses.field(default_factory=dict)
    endpoints_known: bool = False


def get_state(T, endpoint):
    """Return the state of a run of an endpoint; new where unknown."""
    key = endpoint.id, endpoint.born_ms
    state = T.states.get(key)
    if state is None:
        state = T.states[key] = _endpoints.EndpointState()
    return state


def list_endpoints(T, service):
    """Return the endpoints of a service that take new work.

    Takes time linear in the number of endpoints.
    """
    return [
        endpoint
        for endpoint in T.endpoints.values()
        if endpoint.service == service and not endpoint.leaving
    ]


def forget_states(T):
    """Drop the states of runs that ended and hold no request."""
    listed = {(e.id, e.born_ms) for e in T.endpoints.values()}
    for key in list(T.states):
        if key not in listed and T.states[key].requests == 0:
            del T.states[key]
