"""The cheapest chain of endpoints whose ranges tile the layers."""

import math

from sniperudder import fleet

# Fixed price of a stage, ms: keeps an endpoint from being split in two.
_STAGE_MS = 2.0


def find_chain(
    priced, start, end, origin, crossings, first_ms=None, no_first=()
):
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
    no_first : collection of str, optional
        Ids of endpoints that cannot be the first stage.

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
            if position == start and endpoint.id in no_first:
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
