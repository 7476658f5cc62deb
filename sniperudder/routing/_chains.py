"""Choosing a chain of endpoints for a request.

Pattern: prompts and answers of unequal size meet endpoints of unequal
speed in several data centres, which have room for some of them. The
cheapest chain with room is chosen; what has no room is not used.
"""

import dataclasses
import math
import random

from sniperudder import fleet
from sniperudder.routing import _limits
from sniperudder.routing import _paths
from sniperudder.routing import _prices

# Price of leaving the instance's own data centre for the first stage, ms;
# only events pass there, not activations.
_FIRST_CROSSING_MS = 30.0

# Largest share of an endpoint's KV cache and of a pipe that requests of
# the most and of the least urgent rank may fill. Reservations count a whole
# answer from the beginning, which takes half of that on average.
_MOST_FILL = 1.1
_LEAST_FILL = 0.85

# Share of a pipe's bandwidth that new requests may fill: transfers pass one
# after another, a usual prompt alone takes a sixth of a timely pause.
_PIPE_SHARE = 0.4

# Random share of a price: independent instances with like knowledge do
# not all choose the same endpoint.
_JITTER = 0.15

_MS_PER_S = 1000.0


def choose_chain(T, endpoints, engine, demand, home, now, rng, urgency=1.0):
    """Choose a chain for a new request.

    Endpoints that were set aside are used only where no chain exists
    without them. Endpoints and pipes without room are not used at all.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    endpoints : list of sniperudder.fleet.Endpoint
    engine : sniperudder.fleet.Engine
    demand : Demand
    home : str
        Data centre of this instance.
    now : float
        Seconds.
    rng : random.Random
    urgency : float
        1 for the most urgent rank, 0 for the least; a part of all room
        is kept for those more urgent.

    Returns
    -------
    tuple of sniperudder.fleet.Part
        Empty where the layers are not covered.
    """
    limit = _LEAST_FILL + (_MOST_FILL - _LEAST_FILL) * urgency
    return _extend_chain(
        _Search(T, endpoints, engine, demand, now, rng, limit),
        (0, engine.layers),
        home,
        _FIRST_CROSSING_MS,
        {e.id for e in endpoints if not _limits.has_channel(T, e)},
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Search:
    """What a chain is looked for with; see `choose_chain`.

    Attributes
    ----------
    limit : float
        Largest share of KV cache and of pipes in use.
    """

    T: fleet.FleetTables
    endpoints: list
    engine: fleet.Engine
    demand: _prices.Demand
    now: float
    rng: random.Random
    limit: float


def _extend_chain(search, span, origin, first_ms=None, no_first=()):
    """Choose a chain over a span of layers."""
    T, engine, demand = search.T, search.engine, search.demand
    usable, avoided = [], []
    tokens = demand.prompt + demand.answer
    for endpoint in search.endpoints:
        state = fleet.get_state(T, endpoint)
        load = fleet.get_load(T, endpoint)
        if not _prices.has_room(
            endpoint, load, engine, tokens, span, search.limit
        ):
            continue
        price = _prices.price_layer(endpoint, load, engine, demand)
        run = endpoint.id, endpoint.born_ms
        price *= T.speeds.get_slowness(run, search.now)
        entry = endpoint, price * (1.0 + _JITTER * search.rng.random())
        (avoided if search.now < state.avoid_until else usable).append(entry)
    fills = {}

    def price_way(centre, other):
        pair = tuple(sorted((centre, other)))
        fill = fills.get(pair)
        if fill is None:
            rate = T.crossings.get_rate(pair, search.now)
            rate += T.peers.get_crossing_rate(pair)
            fill = fills[pair] = (
                rate * _prices.get_token_ms(engine) / _MS_PER_S
            )
        if fill > search.limit * _PIPE_SHARE:
            return math.inf
        return _prices.price_crossing(engine, demand, fill)

    for candidates in (usable, usable + avoided):
        chain = _paths.find_chain(
            candidates, *span, origin, price_way, first_ms, no_first
        )
        if chain or not avoided:
            return chain
    return ()


def replace_parts(T, endpoints, engine, demand, parts, broken, now, rng):
    """Replace stages of a chain that is under way.

    Pattern: a stage dies or leaves under a stream. The stages that stay
    keep their KV cache; the new ones read all tokens again, so as few as
    possible are replaced. The first stage cannot be.

    Parameters
    ----------
    T, endpoints, engine, demand, now, rng
        See `choose_chain`.
    parts : tuple of sniperudder.fleet.Part
    broken : set of str
        Addresses of the stages to replace.

    Returns
    -------
    tuple of sniperudder.fleet.Part
        Empty where that is impossible.
    """
    if parts[0].endpoint.address in broken:
        return ()
    kept = [p for p in parts if p.endpoint.address not in broken]
    used = {part.endpoint.address for part in kept} | broken
    made = []
    for part in parts:
        if part.endpoint.address not in broken:
            made.append(part)
            continue
        unused = [e for e in endpoints if e.address not in used]
        fresh = _extend_chain(
            _Search(T, unused, engine, demand, now, rng, math.inf),
            (part.layers.start, part.layers.end),
            made[-1].endpoint.data_centre,
        )
        if not fresh:
            break
        made.extend(fresh)
        used.update(stage.endpoint.address for stage in fresh)
    else:
        return tuple(made)
    # No endpoint is left for just these layers: replace all behind the
    # first stage.
    first = parts[0]
    others = [
        endpoint
        for endpoint in endpoints
        if endpoint.address not in broken
        and endpoint.address != first.endpoint.address
    ]
    rest = _extend_chain(
        _Search(T, others, engine, demand, now, rng, math.inf),
        (first.layers.end, engine.layers),
        first.endpoint.data_centre,
    )
    return (first, *rest) if rest else ()


def check_chain(parts, layers):
    """Assert that a chain runs every layer once and in order.

    Raises
    ------
    AssertionError
    """
    position = 0
    addresses = set()
    for part in parts:
        assert part.layers.start == position, parts
        assert part.endpoint.layers.start <= part.layers.start, parts
        assert part.layers.end <= part.endpoint.layers.end, parts
        addresses.add(part.endpoint.address)
        position = part.layers.end
    assert position == layers, parts
    assert len(addresses) == len(parts), parts
