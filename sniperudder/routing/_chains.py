"""Choosing a chain of endpoints whose ranges tile the layers.

Pattern: prompts and answers of unequal size meet endpoints of unequal
speed in several data centres. A chain's price is the time that its
stages take at their present load, with the load weighed twice (the
request slows the others down as well), and the transfers between data
centres, whose pipes all requests share.
"""

import dataclasses
import math
import random

from sniperudder import fleet

# Fixed price of a stage, ms: keeps an endpoint from being split in two.
_STAGE_MS = 2.0

# Price of leaving the instance's own data centre for the first stage, ms;
# only events pass there, not activations.
_FIRST_CROSSING_MS = 30.0

# How much of a pipe's time a request may cost beyond its own transfer.
_PIPE_WEIGHT = 30.0

# Delay of each token between data centres, ms (the sites' one-way time).
_CROSSING_DELAY_MS = 0.5

# Weight of the delay that a request causes to those beside it.
_LOAD_WEIGHT = 2.0

# Largest share of the KV cache counted in the price; above it the price
# stays finite, so that a full fleet still has an order of preference.
_MAX_FILL = 0.95

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

_BITS_PER_MEGABIT = 1e6
_MS_PER_S = 1000.0
_BYTES_PER_MB = 1e6
_TOKENS_PER_K = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Size of a generation, tokens."""

    prompt: float
    answer: float


def get_room(endpoint, engine):
    """Return the KV cache of an endpoint, tokens x layers."""
    card = engine.cards.get(endpoint.card)
    if card is None or endpoint.layers is None or not engine.kv_token_bytes:
        return math.inf
    used_mb = len(endpoint.layers) * engine.layer_mb
    left = max(card.memory_mb - used_mb, 0.0) * _BYTES_PER_MB
    return left / (engine.kv_token_bytes / engine.layers)


def price_layer(endpoint, load, engine, demand):
    """Return the price of one layer at an endpoint, ms.

    Parameters
    ----------
    endpoint : sniperudder.fleet.Endpoint
    load : sniperudder.digests.Load
        What all instances have in flight there.
    engine : sniperudder.fleet.Engine
    demand : Demand

    Returns
    -------
    float
    """
    card = engine.cards.get(endpoint.card)
    step_factor = card.step_factor if card else 1.0
    read_factor = card.read_factor if card else 1.0
    context = (demand.prompt + demand.answer) / _TOKENS_PER_K
    beside_ms = engine.per_request_ms + engine.context_per_k_ms * context
    step_ms = engine.step_ms + beside_ms * load.requests * _LOAD_WEIGHT
    read_ms = demand.prompt / max(engine.read_per_ms, 1e-9)
    read_ms *= 1 + load.requests * _LOAD_WEIGHT / max(demand.answer, 1.0)
    whole_ms = step_factor * step_ms * demand.answer + read_factor * read_ms
    room = get_room(endpoint, engine)
    fill = min(load.token_layers / max(room, 1.0), _MAX_FILL)
    return whole_ms / engine.layers / (1.0 - fill)


def price_crossing(engine, demand, fill):
    """Return the price of passing between two data centres once, ms.

    Parameters
    ----------
    engine : sniperudder.fleet.Engine
    demand : Demand
    fill : float
        Share of the pipe between them that is in use.

    Returns
    -------
    float
    """
    tokens = demand.prompt + demand.answer
    price = demand.answer * _CROSSING_DELAY_MS
    if engine.pipe_mbps:
        ms = tokens * get_token_ms(engine)
        price += ms * _PIPE_WEIGHT / (1.0 - min(fill, _MAX_FILL))
    return price


def get_token_ms(engine):
    """Return the time that one token takes of a pipe, ms."""
    if not engine.pipe_mbps:
        return 0.0
    bits = engine.activation_bytes * 8
    return bits / (engine.pipe_mbps * _BITS_PER_MEGABIT) * _MS_PER_S


def find_chain(priced, start, end, origin, crossings, first_ms=None):
    """Return the cheapest chain over a range of layers.

    Dynamic programming over the ends of ranges: time is linear in the
    number of pairs of an endpoint and two ends within its range.

    Parameters
    ----------
    priced : sequence of (sniperudder.fleet.Endpoint, float)
        Candidates, and the price of a layer at each, ms.
    start, end : int
        Layers to run; the end is exclusive.
    origin : str
        Data centre that the request comes from.
    crossings : callable
        Price of passing between two data centres, ms.
    first_ms : float, optional
        Price of another data centre than the origin for the first stage,
        where no activations pass on the way to it, ms.

    Returns
    -------
    tuple of sniperudder.fleet.Part
        Empty where no chain exists.

    Examples
    --------
    >>> left = fleet.Endpoint(
    ...     'a', 's', 'h:1', 'north', 8, False, '', fleet.Layers(0, 4), 0)
    >>> right = fleet.Endpoint(
    ...     'b', 's', 'h:2', 'north', 8, False, '', fleet.Layers(2, 8), 0)
    >>> chain = find_chain(
    ...     [(left, 1.0), (right, 2.0)], 0, 8, 'north', lambda *_: 9.0)
    >>> [(part.endpoint.id, len(part.layers)) for part in chain]
    [('a', 4), ('b', 4)]
    """
    holders = [
        (endpoint, price)
        for endpoint, price in priced
        if endpoint.layers is not None
        and endpoint.layers.start < end
        and endpoint.layers.end > start
    ]
    ends = {start, end}
    for endpoint, _ in holders:
        ends.add(max(endpoint.layers.start, start))
        ends.add(min(endpoint.layers.end, end))
    ends = sorted(ends)
    # Cheapest way to each end, by the data centre of its last stage.
    best = {position: {} for position in ends}
    best[start][origin] = (0.0, None, None)
    for index, position in enumerate(ends):
        if not best[position]:
            continue
        free = first_ms if position == start else None
        for endpoint, price in holders:
            if not endpoint.layers.start <= position < endpoint.layers.end:
                continue
            cost, origin_key = min(
                (cost + _step(centre, endpoint, crossings, free), centre)
                for centre, (cost, _, _) in best[position].items()
            )
            if cost == math.inf:
                continue
            for reached in ends[index + 1 :]:
                if reached > endpoint.layers.end:
                    break
                total = cost + _STAGE_MS + price * (reached - position)
                known = best[reached].get(endpoint.data_centre)
                if known is None or total < known[0]:
                    best[reached][endpoint.data_centre] = (
                        total,
                        (position, origin_key),
                        endpoint,
                    )
    if not best[end]:
        return ()
    return _merge_repeated(_trace_back(best, start, end))


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
    demand: Demand
    now: float
    rng: random.Random
    limit: float


def _extend_chain(search, span, origin, first_ms=None):
    """Choose a chain over a span of layers."""
    T, engine, demand = search.T, search.engine, search.demand
    usable, avoided = [], []
    tokens = demand.prompt + demand.answer
    for endpoint in search.endpoints:
        state = fleet.get_state(T, endpoint)
        load = fleet.get_load(T, endpoint)
        if not has_room(endpoint, load, engine, tokens, span, search.limit):
            continue
        price = price_layer(endpoint, load, engine, demand)
        entry = endpoint, price * (1.0 + _JITTER * search.rng.random())
        (avoided if search.now < state.avoid_until else usable).append(entry)
    fills = {}

    def price_way(centre, other):
        pair = tuple(sorted((centre, other)))
        fill = fills.get(pair)
        if fill is None:
            rate = T.crossings.get_rate(pair, search.now)
            rate += T.peers.get_crossing_rate(pair)
            fill = fills[pair] = rate * get_token_ms(engine) / _MS_PER_S
        if fill > search.limit * _PIPE_SHARE:
            return math.inf
        return price_crossing(engine, demand, fill)

    for candidates in (usable, usable + avoided):
        chain = find_chain(candidates, *span, origin, price_way, first_ms)
        if chain or not avoided:
            return chain
    return ()


def has_room(endpoint, load, engine, tokens, span, limit):
    """Tell whether a further request fits an endpoint's KV cache."""
    if endpoint.layers is None:
        return False
    if limit == math.inf:
        return True
    start = max(endpoint.layers.start, span[0])
    end = min(endpoint.layers.end, span[1])
    asked = tokens * max(end - start, 0)
    room = get_room(endpoint, engine)
    return load.token_layers + asked <= room * limit


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


def _step(centre, endpoint, crossings, free_ms):
    """Return the price of the way to an endpoint from a data centre."""
    if centre == endpoint.data_centre:
        return 0.0
    if free_ms is not None:
        return free_ms
    return crossings(centre, endpoint.data_centre)


def _trace_back(best, start, end):
    parts = []
    position = end
    centre = min(best[end], key=lambda key: best[end][key][0])
    while position != start:
        _, (before, came_from), endpoint = best[position][centre]
        parts.append(fleet.Part(endpoint, fleet.Layers(before, position)))
        position, centre = before, came_from
    return parts[::-1]


def _merge_repeated(parts):
    """Run all between two uses of an endpoint at that endpoint.

    An endpoint may stand in a chain only once, and it holds all layers
    between two of its own.
    """
    merged = []
    for part in parts:
        for index, earlier in enumerate(merged):
            if earlier.endpoint.id == part.endpoint.id:
                layers = fleet.Layers(earlier.layers.start, part.layers.end)
                merged[index:] = [fleet.Part(part.endpoint, layers)]
                break
        else:
            merged.append(part)
    return tuple(merged)
