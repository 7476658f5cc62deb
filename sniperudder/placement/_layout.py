"""Assignment of layers to endpoints.

Endpoints start empty, and come and go. Their ranges are made of whole
groups of consecutive layers. The ranges of all kinds of accelerator are
thus aligned, and any endpoint that holds a group can replace another one
that does. Each data centre gets the whole model first, because activations
between data centres share a link of low bandwidth.
"""

import collections
import math

from sniperudder import fleet

# Share of an accelerator's memory for layers; the rest is for the KV cache.
_LAYER_SHARE = 0.65

# Bounds of the number of groups in a model: with fewer, small accelerators
# cannot hold any; with more, ranges are rarely aligned.
_MIN_GROUPS = 4
_MAX_GROUPS = 16

# Weight of coverage in other data centres, relative to the same one.
_REMOTE_WEIGHT = 0.3

_INFINITE_COST = float('inf')


def choose_group_size(engine, endpoints):
    """Return the number of layers in a group.

    Maximises the number of layers that the endpoints hold together, and
    prefers the largest group among equals. The last group of a model may
    be shorter.

    Parameters
    ----------
    engine : sniperudder.fleet.EngineProfile
    endpoints : iterable of sniperudder.fleet.Endpoint

    Returns
    -------
    int
    """
    counts = collections.Counter(
        endpoint.accelerator for endpoint in endpoints
    )
    best, best_total = engine.layer_count, -1
    for groups in range(_MAX_GROUPS, _MIN_GROUPS - 1, -1):
        size = math.ceil(engine.layer_count / groups)
        total = sum(
            count * count_groups(engine, accelerator, size) * size
            for accelerator, count in counts.items()
        )
        if total >= best_total:
            best, best_total = size, total
    return best


def count_groups(engine, accelerator_name, group_size):
    """Return how many groups of layers fit on a kind of accelerator."""
    accelerator = engine.accelerators.get(accelerator_name)
    if accelerator is None or engine.layer_mb <= 0:
        return 0
    max_layers = int(accelerator.memory_mb * _LAYER_SHARE / engine.layer_mb)
    return min(max_layers, engine.layer_count) // group_size


def plan_layers(engine, endpoints, assigned):
    """Return the ranges of layers for empty endpoints.

    Parameters
    ----------
    engine : sniperudder.fleet.EngineProfile
    endpoints : list of sniperudder.fleet.Endpoint
        Endpoints of one service that accept new requests.
    assigned : dict of str to sniperudder.fleet.Layers
        Layers that endpoints hold or were ordered to load, by endpoint id.

    Returns
    -------
    dict of str to sniperudder.fleet.Layers
        By endpoint id.
    """
    size = choose_group_size(engine, endpoints)
    groups = math.ceil(engine.layer_count / size)
    coverage = collections.defaultdict(lambda: [0.0] * groups)
    for endpoint in endpoints:
        layers = assigned.get(endpoint.id)
        if layers is not None:
            _add_coverage(coverage[endpoint.data_centre], layers, size)
    empty = [e for e in endpoints if e.id not in assigned]
    empty.sort(
        key=lambda e: (-count_groups(engine, e.accelerator, size), e.id)
    )
    plan = {}
    for endpoint in empty:
        count = min(count_groups(engine, endpoint.accelerator, size), groups)
        if count == 0:
            continue
        start = _find_start(coverage, endpoint.data_centre, groups, count)
        end = min((start + count) * size, engine.layer_count)
        layers = fleet.Layers(start * size, end)
        plan[endpoint.id] = layers
        _add_coverage(coverage[endpoint.data_centre], layers, size)
    return plan


def plan_move(engine, endpoints, assigned, data_centre):
    """Return one endpoint of a data centre to move to other layers.

    When endpoints leave, a data centre may lack some layers while it holds
    others more than once. All of its requests then cross the links to other
    data centres.

    Parameters
    ----------
    engine, endpoints, assigned
        See `plan_layers`; ``assigned`` includes endpoints that are loading.
    data_centre : str

    Returns
    -------
    endpoint : sniperudder.fleet.Endpoint or None
        None if no move improves the coverage.
    layers : sniperudder.fleet.Layers or None
        New range of the endpoint.
    """
    size = choose_group_size(engine, endpoints)
    groups = math.ceil(engine.layer_count / size)
    local = [
        e
        for e in endpoints
        if e.data_centre == data_centre and e.id in assigned
    ]
    coverage = [0.0] * groups
    for endpoint in local:
        _add_coverage(coverage, assigned[endpoint.id], size)
    missing = [index for index in range(groups) if coverage[index] < 0.5]
    if not missing:
        return None, None
    best, best_gain = (None, None), 0.0
    for endpoint in local:
        count = min(count_groups(engine, endpoint.accelerator, size), groups)
        remaining = list(coverage)
        _add_coverage(remaining, assigned[endpoint.id], size, -1.0)
        for start in range(groups - count + 1):
            filled = sum(start <= index < start + count for index in missing)
            uncovered = sum(
                remaining[index] < 0.5
                and coverage[index] >= 0.5
                and not start <= index < start + count
                for index in range(groups)
            )
            # Among equals, prefer the smallest range: it loads fastest, and
            # the fewest requests pass it.
            gain = filled - uncovered - count / (2.0 * groups)
            if gain > best_gain:
                end = min((start + count) * size, engine.layer_count)
                best = endpoint, fleet.Layers(start * size, end)
                best_gain = gain
    return best


def fits_memory(engine, accelerator_name, layers):
    """Return whether a range of layers fits in an accelerator's memory."""
    accelerator = engine.accelerators.get(accelerator_name)
    return (
        accelerator is not None
        and len(layers) * engine.layer_mb <= accelerator.memory_mb
        and 0 <= layers.start < layers.end <= engine.layer_count
    )


def _add_coverage(coverage, layers, group_size, sign=1.0):
    """Add the share of each group that a range covers, in place."""
    for index in range(len(coverage)):
        first = max(layers.start, index * group_size)
        last = min(layers.end, (index + 1) * group_size)
        if last > first:
            coverage[index] += sign * (last - first) / group_size


def _find_start(coverage, data_centre, groups, count):
    """Return the first group of the range with the least coverage."""
    local = coverage[data_centre]
    others = [row for name, row in coverage.items() if name != data_centre]
    best, best_cost = 0, _INFINITE_COST
    for start in range(groups - count + 1):
        cost = 0.0
        for index in range(start, start + count):
            remote = sum(row[index] for row in others)
            level = local[index] + _REMOTE_WEIGHT * remote
            # Squared: one group covered twice is worse than two groups
            # covered once.
            cost += level * level
        if cost < best_cost - 1e-9:
            best, best_cost = start, cost
    return best
