"""Which endpoint holds which layers.

Pattern: endpoints start empty, come and go. Ranges are whole numbers of
units, so that ranges of all kinds of card line up and every endpoint of
a unit can stand in for another one; each data centre gets the whole
model first, because activations between data centres share a narrow
pipe.
"""

import collections
import math

from sniperudder import fleet

# Share of a card's memory that layers may take; the rest is KV cache.
_LAYER_SHARE = 0.65

# Bounds of the number of units in a model: with few, small cards hold
# none; with many, ranges seldom line up.
_MIN_UNITS = 4
_MAX_UNITS = 16

# Weight of coverage elsewhere beside that in the same data centre.
_ELSEWHERE_WEIGHT = 0.3

_NEVER = float('inf')


def choose_unit(engine, endpoints):
    """Return the number of layers in a unit.

    Chosen so that the endpoints hold the model most often; the longest
    of equals. The last unit of a model may be shorter.

    Parameters
    ----------
    engine : sniperudder.fleet.Engine
    endpoints : iterable of sniperudder.fleet.Endpoint

    Returns
    -------
    int
    """
    counts = collections.Counter(endpoint.card for endpoint in endpoints)
    best, best_held = engine.layers, -1
    for units in range(_MAX_UNITS, _MIN_UNITS - 1, -1):
        unit = math.ceil(engine.layers / units)
        held = sum(
            count * count_units(engine, card, unit) * unit
            for card, count in counts.items()
        )
        if held >= best_held:
            best, best_held = unit, held
    return best


def count_units(engine, card_name, unit):
    """Return how many units of layers a kind of card takes."""
    card = engine.cards.get(card_name)
    if card is None or engine.layer_mb <= 0:
        return 0
    most = int(card.memory_mb * _LAYER_SHARE / engine.layer_mb)
    return min(most, engine.layers) // unit


def plan_layers(engine, endpoints, held):
    """Return the ranges that empty endpoints should be given.

    Parameters
    ----------
    engine : sniperudder.fleet.Engine
    endpoints : list of sniperudder.fleet.Endpoint
        Those of one service that take new work.
    held : dict of str to sniperudder.fleet.Layers
        By endpoint id: what endpoints hold, or were ordered to hold.

    Returns
    -------
    dict of str to sniperudder.fleet.Layers
        By endpoint id.
    """
    unit = choose_unit(engine, endpoints)
    units = math.ceil(engine.layers / unit)
    coverage = collections.defaultdict(lambda: [0.0] * units)
    for endpoint in endpoints:
        layers = held.get(endpoint.id)
        if layers is not None:
            _add_coverage(coverage[endpoint.data_centre], layers, unit)
    empty = [e for e in endpoints if e.id not in held]
    empty.sort(key=lambda e: (-count_units(engine, e.card, unit), e.id))
    plan = {}
    for endpoint in empty:
        count = min(count_units(engine, endpoint.card, unit), units)
        if count == 0:
            continue
        start = _find_start(coverage, endpoint.data_centre, units, count)
        end = min((start + count) * unit, engine.layers)
        layers = fleet.Layers(start * unit, end)
        plan[endpoint.id] = layers
        _add_coverage(coverage[endpoint.data_centre], layers, unit)
    return plan


def plan_move(engine, endpoints, held, centre):
    """Return one endpoint to move within a data centre, if any should.

    Pattern: endpoints leave, and a data centre no longer holds some of
    the layers, so that all its requests cross the pipes; other layers
    are held there more often than once.

    Parameters
    ----------
    engine, endpoints, held
        See `plan_layers`; ``held`` names endpoints that load as well.
    centre : str

    Returns
    -------
    endpoint : sniperudder.fleet.Endpoint or None
    layers : sniperudder.fleet.Layers or None
        What it should hold instead.
    """
    unit = choose_unit(engine, endpoints)
    units = math.ceil(engine.layers / unit)
    here = [e for e in endpoints if e.data_centre == centre and e.id in held]
    coverage = [0.0] * units
    for endpoint in here:
        _add_coverage(coverage, held[endpoint.id], unit)
    missing = [index for index in range(units) if coverage[index] < 0.5]
    if not missing:
        return None, None
    best, best_rate = (None, None), 0.0
    for endpoint in here:
        count = min(count_units(engine, endpoint.card, unit), units)
        rest = list(coverage)
        _add_coverage(rest, held[endpoint.id], unit, -1.0)
        for start in range(units - count + 1):
            filled = sum(start <= index < start + count for index in missing)
            opened = sum(
                rest[index] < 0.5
                and coverage[index] >= 0.5
                and not start <= index < start + count
                for index in range(units)
            )
            # Among equals the smallest: it loads fastest, and the fewest
            # requests pass it.
            rate = filled - opened - count / (2.0 * units)
            if rate > best_rate:
                end = min((start + count) * unit, engine.layers)
                best = endpoint, fleet.Layers(start * unit, end)
                best_rate = rate
    return best


def fits_memory(engine, card_name, layers):
    """Tell whether a card's memory holds a range of layers."""
    card = engine.cards.get(card_name)
    return (
        card is not None
        and len(layers) * engine.layer_mb <= card.memory_mb
        and 0 <= layers.start < layers.end <= engine.layers
    )


def _add_coverage(coverage, layers, unit, sign=1.0):
    for index in range(len(coverage)):
        first = max(layers.start, index * unit)
        last = min(layers.end, (index + 1) * unit)
        if last > first:
            coverage[index] += sign * (last - first) / unit


def _find_start(coverage, centre, units, count):
    """Return the first unit of the range that is covered least."""
    here = coverage[centre]
    others = [row for name, row in coverage.items() if name != centre]
    best, best_rate = 0, _NEVER
    for start in range(units - count + 1):
        rate = 0.0
        for index in range(start, start + count):
            elsewhere = sum(row[index] for row in others)
            level = here[index] + _ELSEWHERE_WEIGHT * elsewhere
            # Squared: one unit covered twice is worse than two once.
            rate += level * level
        if rate < best_rate - 1e-9:
            best, best_rate = start, rate
    return best
