"""Selection of the chain of endpoints that serves an attempt."""

import dataclasses

from sniperudder.systems.dispatch import _placements
from sniperudder import tables

# Assumed latency between data centres, in the absence of measurements.
_DEFAULT_HOP_S = 0.001
# An instance that shares an endpoint exceeds its own share of the streams
# only while more than this fraction of all its streams is free according
# to its last load report.
_MIN_FREE_SHARE = 0.1
_MAX_REPORT_AGE_S = 5.0


def has_free_slot(T, ep, now):
    """Return whether an endpoint has capacity for a new stream."""
    if ep.state is tables.EndpointState.PROBING:
        return ep.streams == 0
    limit = _placements.get_placement(T).count_limit(T, ep)
    if ep.streams < limit:
        return True
    if limit == ep.max_streams or now - ep.reported_at > _MAX_REPORT_AGE_S:
        return False
    others = max(0, ep.reported_streams - ep.streams_at_report)
    free = ep.max_streams - others - ep.streams
    return free > ep.max_streams * _MIN_FREE_SHARE


def is_usable(T, ep, rank):
    """Return whether an endpoint may be given new work of a rank."""
    if ep.name in T.config.withdrawn:
        return False
    allowed = T.config.allowed_ranks.get(ep.name)
    if allowed is not None and rank not in allowed:
        return False
    return ep.state is not tables.EndpointState.DOWN


def group_candidates(T, model, rank):
    """Return the endpoints that may serve a model, grouped by layer range.

    Returns
    -------
    dict of (int, int) to list of Endpoint
        Keys are ``(first_layer, end_layer)``.
    """
    groups = {}
    for ep in T.endpoints.values():
        if ep.model != model.name or ep.version != model.version:
            continue
        if is_usable(T, ep, rank):
            key = (ep.first_layer, ep.end_layer)
            groups.setdefault(key, []).append(ep)
    return groups


def has_chain(T, model, rank):
    """Return whether usable endpoints, free or busy, cover a model."""
    groups = group_candidates(T, model, rank)
    selection = {key: eps[0] for key, eps in groups.items()}
    return _find_cheapest_cover(T, model, selection) is not None


def choose_chain(T, model, rank, now, is_allowed=None):
    """Choose a chain that covers the layers of a model exactly once.

    The placement proposes lists of selections, each of which holds at
    most one endpoint with a free slot per layer range. The first list
    from which the model can be covered is used, and of its covers the
    one with the lowest expected time per token.

    Parameters
    ----------
    T : Tables
    model : Model
    rank : Rank
    now : float
        Seconds.
    is_allowed : callable, optional
        Additional predicate on an endpoint.

    Returns
    -------
    tuple of Stage or None

    Notes
    -----
    O(e log e + l g²) for e endpoints in g distinct layer ranges with l
    endpoints each.
    """
    groups = group_candidates(T, model, rank)
    if is_allowed is not None:
        # Filter before replicas are formed: otherwise each replica might
        # contain an endpoint that is not allowed.
        groups = {
            key: [ep for ep in eps if is_allowed(ep)]
            for key, eps in groups.items()
        }
    free = {
        ep.name
        for eps in groups.values()
        for ep in eps
        if has_free_slot(T, ep, now)
    }
    for selections in _placements.get_placement(T).list_selections(
        T, groups, free
    ):
        covers = [
            _find_cheapest_cover(T, model, selection)
            for selection in selections
        ]
        complete = [cover for cover in covers if cover is not None]
        if complete:
            return min(complete, key=lambda cover: cover.cost_s).list_stages()
    return None


@dataclasses.dataclass(frozen=True, slots=True)
class Cover:
    """Endpoints whose layer ranges cover a model exactly once.

    Attributes
    ----------
    cost_s : float
        Expected time per token, seconds.
    eps : tuple of Endpoint
        In the order of their layers.
    """

    cost_s: float
    eps: tuple

    def list_stages(self):
        """Return the chain of stages."""
        return tuple(
            tables.Stage(ep.name, ep.first_layer, ep.end_layer)
            for ep in self.eps
        )


def estimate_speed(T, chain):
    """Return the tokens per second of a single stream on a chain."""
    eps = [T.endpoints.get(stage.endpoint) for stage in chain]
    time_s = sum(
        ep.step_s or _placements.DEFAULT_STEP_S for ep in eps if ep is not None
    )
    return 1.0 / time_s if time_s else 0.0


def is_chain_complete(chain, layers):
    """Return whether stages cover ``[0, layers)`` without gap or overlap.

    Examples
    --------
    >>> from sniperudder.tables import Stage
    >>> is_chain_complete((Stage('a', 0, 4), Stage('b', 4, 8)), 8)
    True
    >>> is_chain_complete((Stage('a', 0, 4), Stage('b', 5, 8)), 8)
    False
    """
    layer = 0
    for stage in chain:
        if stage.first_layer != layer or stage.end_layer <= layer:
            return False
        layer = stage.end_layer
    return layer == layers


def _find_cheapest_cover(T, model, selection):
    # Shortest path whose nodes are the boundaries between layer ranges.
    # Edges lead only to higher layers, so one pass in order of the first
    # layer is enough. The data centre is part of a node, since a hop
    # between data centres adds latency.
    best = {(0, T.data_centre): (0.0, ())}
    for first, end in sorted(selection):
        ep = selection[(first, end)]
        key = (end, ep.data_centre)
        for (boundary, centre), (cost, chain) in list(best.items()):
            if boundary != first:
                continue
            hop_s = 0.0 if centre == ep.data_centre else _DEFAULT_HOP_S
            total_s = cost + hop_s + _placements.estimate_step_time(ep)
            if key not in best or total_s < best[key][0]:
                best[key] = (total_s, chain + (ep,))
    complete = [v for (end, _), v in best.items() if end == model.layers]
    if not complete:
        return None
    return Cover(*min(complete, key=lambda item: item[0]))
