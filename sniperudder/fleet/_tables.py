"""State of the fleet, as one instance knows it."""

import dataclasses

from sniperudder import clocks
from sniperudder import digests
from sniperudder.fleet import _crossings
from sniperudder.fleet import _endpoints
from sniperudder.fleet import _lapses
from sniperudder.fleet import _notices
from sniperudder.fleet import _quotas
from sniperudder.fleet import _speeds
from sniperudder import revisions


@dataclasses.dataclass(slots=True)
class FleetTables:
    """The tables of one instance.

    Attributes
    ----------
    configuration : Configuration or None
        None until one has been read.
    configuration_revision : sniperudder.revisions.Revision
        State of the store at which the configuration was written.
    endpoints : dict of str to Endpoint
        Endpoints listed by the platform, by id.
    states : dict of (str, int) to EndpointState
        By run id; see `Endpoint`.
    endpoints_known : bool
        Whether the list of endpoints has been read since the start.
    lapses : LapseTable
        Endpoints that the list lacks and that may still run.
    instances_known : bool
        Whether the list of instances has been read since the start.
    endpoint_list_updates : int
        Number of updates of the list of endpoints.
    superseded : frozenset of str
        Ids of endpoints whose address is in use by a later run.
    crossings : CrossingCounter
    speeds : SpeedTable
    notices : NoticeTable
        What endpoints say of themselves in their responses.
    quotas : QuotaTable
        Parts of endpoints' rate limits that this instance may use.
    peers : sniperudder.digests.PeerTable
        Other instances and their requests in flight.
    """

    configuration: object = None
    configuration_revision: revisions.Revision = revisions.UNKNOWN
    endpoints: dict = dataclasses.field(default_factory=dict)
    states: dict = dataclasses.field(default_factory=dict)
    endpoints_known: bool = False
    lapses: _lapses.LapseTable = dataclasses.field(
        default_factory=_lapses.LapseTable
    )
    instances_known: bool = False
    endpoint_list_updates: int = 0
    superseded: frozenset = frozenset()
    crossings: _crossings.CrossingCounter = dataclasses.field(
        default_factory=_crossings.CrossingCounter
    )
    speeds: _speeds.SpeedTable = dataclasses.field(
        default_factory=_speeds.SpeedTable
    )
    notices: _notices.NoticeTable = dataclasses.field(
        default_factory=_notices.NoticeTable
    )
    quotas: _quotas.QuotaTable = dataclasses.field(
        default_factory=_quotas.QuotaTable
    )
    peers: digests.PeerTable = dataclasses.field(
        default_factory=digests.PeerTable
    )


def get_state(T, endpoint):
    """Return the state of a run of an endpoint, created if missing."""
    run_id = endpoint.id, endpoint.born_ms
    state = T.states.get(run_id)
    if state is None:
        state = T.states[run_id] = _endpoints.EndpointState()
    return state


def get_load(T, endpoint):
    """Return the load of all instances on an endpoint.

    Returns
    -------
    sniperudder.digests.Load
    """
    own = get_state(T, endpoint)
    others = T.peers.get_load(endpoint.id)
    return digests.Load(
        own.requests + others.requests,
        own.token_layers + others.token_layers,
    )


def is_serving(T, stage):
    """Return whether a stage's endpoint still runs and holds its layers.

    Parameters
    ----------
    T : FleetTables
    stage : Stage

    Returns
    -------
    bool
    """
    listed = T.endpoints.get(stage.endpoint.id)
    if listed is None or listed.leaving or listed.id in T.superseded:
        return False
    if listed.born_ms != stage.endpoint.born_ms:
        return False
    if T.notices.get((listed.id, listed.born_ms)).leaving:
        return False
    if stage.layers is None:
        return True
    return listed.layers is not None and listed.layers.covers(stage.layers)


def list_endpoints(T, service):
    """Return the endpoints of a service that accept new requests.

    Takes time linear in the number of endpoints.
    """
    return [
        endpoint
        for endpoint in T.endpoints.values()
        if endpoint.service == service
        and not endpoint.leaving
        and not T.notices.get((endpoint.id, endpoint.born_ms)).leaving
        and endpoint.id not in T.superseded
    ]


def update_superseded(T):
    """Find the endpoints whose address is in use by a later run.

    A crashed endpoint stays listed for some heartbeats, and longer while
    the store is down. It may restart under another id in the meantime.
    """
    newest = {}
    for endpoint in T.endpoints.values():
        known = newest.get(endpoint.address)
        if known is None or _get_start_key(known) < _get_start_key(endpoint):
            newest[endpoint.address] = endpoint
    T.superseded = frozenset(
        endpoint.id
        for endpoint in T.endpoints.values()
        if newest[endpoint.address] is not endpoint
    )


def _get_start_key(endpoint):
    """Return a key that sorts runs at one address by their start."""
    return endpoint.born_ms, endpoint.id


def drop_ended_states(T):
    """Drop the states of runs that ended and have no request in flight."""
    listed = {(e.id, e.born_ms) for e in T.endpoints.values()}
    for run_id in list(T.states):
        if run_id not in listed and T.states[run_id].requests == 0:
            del T.states[run_id]
    T.speeds.keep_listed(listed)
    T.notices.drop_ended(listed, clocks.read_clock())
