"""Search for the cheapest chain of endpoints that covers a span of layers."""

import math

from sniperudder import fleet

# Fixed cost of each stage, ms: keeps the layers of one endpoint from being
# split into two stages.
_STAGE_COST_MS = 2.0


def find_chain(
    candidates,
    start,
    end,
    origin,
    get_crossing_cost,
    remote_first_stage_ms=None,
    not_first=(),
):
    """Return the cheapest chain over a span of layers.

    Uses dynamic programming over the boundaries of the endpoints' ranges.
    Takes time linear in the number of pairs of an endpoint and two
    boundaries within its range.

    Parameters
    ----------
    candidates : sequence of (sniperudder.fleet.Endpoint, float)
        Endpoints, and the cost of one layer at each, ms.
    start, end : int
        Layers to run; the end is exclusive.
    origin : str
        Data centre that the request comes from.
    get_crossing_cost : callable
        Returns the cost of a crossing between two data centres, ms;
        infinite if the link may not be used.
    remote_first_stage_ms : float, optional
        Cost of a first stage outside of the origin, ms. For new requests,
        which send no activations to their first stage; by default it costs
        as much as any crossing.
    not_first : collection of str, optional
        Ids of endpoints that cannot be the first stage.

    Returns
    -------
    tuple of sniperudder.fleet.Stage
        Empty if no chain exists.

    Examples
    --------
    >>> left = fleet.Endpoint(
    ...     'a', 's', 'h:1', 'north', 8, False, '', fleet.Layers(0, 4), 0)
    >>> right = fleet.Endpoint(
    ...     'b', 's', 'h:2', 'north', 8, False, '', fleet.Layers(2, 8), 0)
    >>> chain = find_chain(
    ...     [(left, 1.0), (right, 2.0)], 0, 8, 'north', lambda *_: 9.0)
    >>> [(stage.endpoint.id, len(stage.layers)) for stage in chain]
    [('a', 4), ('b', 4)]
    """
    overlapping = [
        (endpoint, layer_cost)
        for endpoint, layer_cost in candidates
        if endpoint.layers is not None
        and endpoint.layers.start < end
        and endpoint.layers.end > start
    ]
    boundaries = {start, end}
    for endpoint, _ in overlapping:
        boundaries.add(max(endpoint.layers.start, start))
        boundaries.add(min(endpoint.layers.end, end))
    boundaries = sorted(boundaries)
    # Cheapest partial chain up to each boundary, by the data centre of its
    # last stage: cost, (boundary, data centre) before that stage, endpoint.
    best = {position: {} for position in boundaries}
    best[start][origin] = (0.0, None, None)
    for index, position in enumerate(boundaries):
        if not best[position]:
            continue
        fixed_ms = remote_first_stage_ms if position == start else None
        for endpoint, layer_cost in overlapping:
            if not endpoint.layers.start <= position < endpoint.layers.end:
                continue
            if position == start and endpoint.id in not_first:
                continue
            cost, previous = min(
                (
                    cost
                    + _get_hop_cost(
                        data_centre, endpoint, get_crossing_cost, fixed_ms
                    ),
                    data_centre,
                )
                for data_centre, (cost, _, _) in best[position].items()
            )
            if cost == math.inf:
                continue
            for reached in boundaries[index + 1 :]:
                if reached > endpoint.layers.end:
                    break
                total = (
                    cost + _STAGE_COST_MS + layer_cost * (reached - position)
                )
                known = best[reached].get(endpoint.data_centre)
                if known is None or total < known[0]:
                    best[reached][endpoint.data_centre] = (
                        total,
                        (position, previous),
                        endpoint,
                    )
    if not best[end]:
        return ()
    return _merge_repeated(_trace_back(best, start, end))


def _get_hop_cost(data_centre, endpoint, get_crossing_cost, fixed_ms):
    """Return the cost of passing from a data centre to an endpoint, ms.

    Parameters
    ----------
    fixed_ms : float or None
        Cost of any crossing, in place of `get_crossing_cost`.
    """
    if data_centre == endpoint.data_centre:
        return 0.0
    if fixed_ms is not None:
        return fixed_ms
    return get_crossing_cost(data_centre, endpoint.data_centre)


def _trace_back(best, start, end):
    """Return the stages of the cheapest chain in the order of layers."""
    stages = []
    position = end
    data_centre = min(best[end], key=lambda key: best[end][key][0])
    while position != start:
        _, (before, previous), endpoint = best[position][data_centre]
        stages.append(fleet.Stage(endpoint, fleet.Layers(before, position)))
        position, data_centre = before, previous
    return stages[::-1]


def _merge_repeated(stages):
    """Merge two stages at one endpoint, and all between them, into one.

    An endpoint may occur only once in a chain. It holds all layers between
    two of its own, since its range is contiguous.
    """
    merged = []
    for stage in stages:
        for index, earlier in enumerate(merged):
            if earlier.endpoint.id == stage.endpoint.id:
                layers = fleet.Layers(earlier.layers.start, stage.layers.end)
                merged[index:] = [fleet.Stage(stage.endpoint, layers)]
                break
        else:
            merged.append(stage)
    return tuple(merged)
