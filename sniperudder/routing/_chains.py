"""Selection of the chain of endpoints that runs a request.

A chain is a pipeline of endpoints that together run all layers of a model.
Requests differ in size, and endpoints in speed, data centre and free
capacity. The chain of the lowest cost is chosen among the endpoints and
links that have capacity for the request.
"""

import dataclasses
import math
import random

from sniperudder import fleet
from sniperudder.routing import _chain_search
from sniperudder.routing import _connection_limits
from sniperudder.routing import _costs

# Cost of a first stage outside of the instance's own data centre, ms. Only
# the request and its events pass between the two, no activations.
_REMOTE_FIRST_STAGE_MS = 30.0

# Largest utilisation of a KV cache, and of the usable share of a link, up
# to which requests of the most and of the least urgent rank are accepted.
# The limit may exceed 1: a reservation counts all output tokens from the
# start, but a response takes cache for only half of them on average.
_MOST_URGENT_LIMIT = 1.1
_LEAST_URGENT_LIMIT = 0.85

# Share of a link's bandwidth that new requests may use. Transfers are
# serialised, and a typical prompt alone takes a sixth of the longest gap
# between events of a timely stream.
_LINK_SHARE = 0.4

# Random share of a cost: keeps instances that decide independently on the
# same data from all choosing the same endpoint.
_JITTER = 0.15

_MS_PER_S = 1000.0


def choose_chain(
    T,
    endpoints,
    engine,
    request_size,
    local_data_centre,
    now,
    rng,
    relative_urgency=1.0,
    restricted=(),
):
    """Choose a chain for a new request.

    Endpoints that are avoided after failures are used only if there is no
    chain without them. Endpoints and links without free capacity are never
    used.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    endpoints : list of sniperudder.fleet.Endpoint
    engine : sniperudder.fleet.EngineProfile
    request_size : RequestSize
    local_data_centre : str
        Data centre of this instance.
    now : float
        Loop time, seconds.
    rng : random.Random
    relative_urgency : float
        From 0 for the least urgent rank to 1 for the most urgent one. Part
        of the capacity is reserved for more urgent requests.
    restricted : collection of str
        Ids of endpoints that may not be the first stage, which receives the
        request; see `list_restricted`.

    Returns
    -------
    tuple of sniperudder.fleet.Stage
        Empty if the usable endpoints do not cover the layers.
    """
    limit = (
        _LEAST_URGENT_LIMIT
        + (_MOST_URGENT_LIMIT - _LEAST_URGENT_LIMIT) * relative_urgency
    )
    return _find_chain(
        _Search(T, endpoints, engine, request_size, now, rng, limit),
        (0, engine.layer_count),
        local_data_centre,
        _REMOTE_FIRST_STAGE_MS,
        {
            e.id
            for e in endpoints
            if e.id in restricted
            or not _connection_limits.has_free_connection(T, e)
        },
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Search:
    """Input of a search for a chain; see `choose_chain`.

    Attributes
    ----------
    limit : float
        Largest utilisation of KV caches, and of the usable share of links.
    spread : bool
        Whether many instances choose at the same moment. The cost of each
        endpoint is then multiplied by an exponential variate, so that the
        cheapest one is chosen with a probability inversely proportional to
        its cost.
    """

    T: fleet.FleetTables
    endpoints: list
    engine: fleet.EngineProfile
    request_size: _costs.RequestSize
    now: float
    rng: random.Random
    limit: float
    spread: bool = False

    def draw_factor(self):
        """Return a random factor on the cost of an endpoint."""
        if self.spread:
            return self.rng.expovariate(1.0)
        return 1.0 + _JITTER * self.rng.random()


def _find_chain(
    search, span, origin, remote_first_stage_ms=None, not_first=()
):
    """Find a chain over a span of layers; see `_chain_search.find_chain`."""
    T, engine, request_size = search.T, search.engine, search.request_size
    usable, avoided = [], []
    tokens = request_size.prompt_tokens + request_size.output_tokens
    for endpoint in search.endpoints:
        state = fleet.get_state(T, endpoint)
        load = fleet.get_load(T, endpoint)
        if not _costs.fits_kv_cache(
            endpoint, load, engine, tokens, span, search.limit
        ):
            continue
        cost = _costs.compute_layer_cost(endpoint, load, engine, request_size)
        run_id = endpoint.id, endpoint.born_ms
        cost *= T.speeds.get_slowness(run_id, search.now)
        candidate = endpoint, cost * search.draw_factor()
        (avoided if search.now < state.avoid_until else usable).append(
            candidate
        )
    utilisations = {}

    def get_crossing_cost(data_centre, other):
        pair = tuple(sorted((data_centre, other)))
        utilisation = utilisations.get(pair)
        if utilisation is None:
            rate = T.crossings.get_rate(pair, search.now)
            rate += T.peers.get_crossing_rate(pair)
            utilisation = utilisations[pair] = (
                rate * _costs.get_transfer_ms(engine) / _MS_PER_S
            )
        if utilisation > search.limit * _LINK_SHARE:
            return math.inf
        return _costs.compute_crossing_cost(engine, request_size, utilisation)

    for candidates in (usable, usable + avoided):
        chain = _chain_search.find_chain(
            candidates,
            *span,
            origin,
            get_crossing_cost,
            remote_first_stage_ms,
            not_first,
        )
        if chain or not avoided:
            return chain
    return ()


def replace_stages(
    T, endpoints, engine, request_size, stages, excluded, now, rng
):
    """Replace stages of a chain that is running a stream.

    Needed when a stage dies or leaves during a stream. The remaining stages
    keep their KV cache, whereas new ones have to prefill all tokens again,
    so as few stages as possible are replaced. The first stage cannot be
    replaced. All instances replace a dead stage at the same moment, before
    they learn of each other's choices, so the choice is spread.

    Parameters
    ----------
    T, endpoints, engine, request_size, now, rng
        See `choose_chain`.
    stages : tuple of sniperudder.fleet.Stage
    excluded : set of str
        Addresses of the failed and leaving stages to replace.

    Returns
    -------
    tuple of sniperudder.fleet.Stage
        Empty if the stages cannot be replaced.
    """
    if stages[0].endpoint.address in excluded:
        return ()
    kept = [s for s in stages if s.endpoint.address not in excluded]
    used = {stage.endpoint.address for stage in kept} | excluded
    chain = []
    for stage in stages:
        if stage.endpoint.address not in excluded:
            chain.append(stage)
            continue
        unused = [e for e in endpoints if e.address not in used]
        substitutes = _find_chain(
            _Search(T, unused, engine, request_size, now, rng, math.inf, True),
            (stage.layers.start, stage.layers.end),
            chain[-1].endpoint.data_centre,
        )
        if not substitutes:
            break
        chain.extend(substitutes)
        used.update(substitute.endpoint.address for substitute in substitutes)
    else:
        return tuple(chain)
    # No unused endpoints cover just these layers: replace all stages after
    # the first one.
    first = stages[0]
    others = [
        endpoint
        for endpoint in endpoints
        if endpoint.address not in excluded
        and endpoint.address != first.endpoint.address
    ]
    rest = _find_chain(
        _Search(T, others, engine, request_size, now, rng, math.inf, True),
        (first.layers.end, engine.layer_count),
        first.endpoint.data_centre,
    )
    return (first, *rest) if rest else ()


def check_chain(stages, layer_count):
    """Assert that a chain runs each layer exactly once and in order.

    Raises
    ------
    AssertionError
    """
    position = 0
    addresses = set()
    for stage in stages:
        assert stage.layers.start == position, stages
        assert stage.endpoint.layers.start <= stage.layers.start, stages
        assert stage.layers.end <= stage.endpoint.layers.end, stages
        addresses.add(stage.endpoint.address)
        position = stage.layers.end
    assert position == layer_count, stages
    assert len(addresses) == len(stages), stages
