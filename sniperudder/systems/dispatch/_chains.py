"""Choice of the chain of endpoints that serves an attempt."""

import dataclasses

from sniperudder.systems.dispatch import _placements
from sniperudder import tables

# Cost of a hop between data centres where nothing was measured.
_HOP_S = 0.001
# An instance that shares an endpoint places load above its own share
# only while the engine reported this share of its streams as free.
_BORROW_FREE_SHARE = 0.1
_REPORT_AGE_S = 5.0


def has_slot(T, ep, now):
    """Return whether a new stream may be placed on an endpoint."""
    if ep.state is tables.EndpointState.PROBING:
        return ep.streams == 0
    limit = _placements.get_placement(T).count_limit(T, ep)
    if ep.streams < limit:
        return True
    if limit == ep.max_streams or now - ep.reported_at > _REPORT_AGE_S:
        return False
    others = max(0, ep.reported_streams - ep.reported_own)
    free = ep.max_streams - others - ep.streams
    return free > ep.max_streams * _BORROW_FREE_SHARE


def is_usable(T, ep, rank):
    """Return whether new work of a rank may go to an endpoint."""
    if ep.name in T.config.withdrawn:
        return False
    allowed = T.config.allowed_ranks.get(ep.name)
    if allowed is not None and rank not in allowed:
        return False
    return ep.state is not tables.EndpointState.DOWN


def list_candidates(T, model, rank):
    """Return the endpoints that may serve a model, by layer range.

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
    """Return whether endpoints cover a model, busy ones counted."""
    groups = list_candidates(T, model, rank)
    picks = {key: eps[0] for key, eps in groups.items()}
    return _tile_layers(T, model, picks) is not None


def choose_chain(T, model, rank, now, usable=None):
    """Choose a chain whose layer ranges tile a model exactly.

    The placement picks endpoints with free slots, one of each layer
    range, in one or more ways; of all tilings of the first way that
    has any, the one with the least expected time for a token is taken.

    Parameters
    ----------
    T : Tables
    model : Model
    rank : Rank
    now : float
        Seconds.
    usable : callable, optional
        Further condition on an endpoint.

    Returns
    -------
    tuple of Stage or None

    Notes
    -----
    O(e log e + l g²) for e endpoints in g distinct layer ranges with l
    endpoints each.
    """
    groups = list_candidates(T, model, rank)
    if usable is not None:
        # Lanes are formed of what is left, lest each miss an endpoint.
        groups = {
            key: [ep for ep in eps if usable(ep)]
            for key, eps in groups.items()
        }
    free = {
        ep.name
        for eps in groups.values()
        for ep in eps
        if has_slot(T, ep, now)
    }
    for ways in _placements.get_placement(T).list_ways(T, groups, free):
        found = [_tile_layers(T, model, picks) for picks in ways]
        whole = [tiling for tiling in found if tiling is not None]
        if whole:
            return min(whole, key=lambda tiling: tiling.cost_s).list_stages()
    return None


@dataclasses.dataclass(frozen=True, slots=True)
class Tiling:
    """Endpoints whose layer ranges tile a model.

    Attributes
    ----------
    cost_s : float
        Expected time for a token, seconds.
    eps : tuple of Endpoint
    """

    cost_s: float
    eps: tuple

    def list_stages(self):
        """Return the chain of stages."""
        return tuple(
            tables.Stage(ep.name, ep.first_layer, ep.end_layer)
            for ep in self.eps
        )


def expect_speed(T, chain):
    """Return the tokens a second of a chain with one stream."""
    eps = [T.endpoints.get(stage.endpoint) for stage in chain]
    time_s = sum(
        ep.step_s or _placements.DEFAULT_STEP_S for ep in eps if ep is not None
    )
    return 1.0 / time_s if time_s else 0.0


def is_chain_whole(chain, layers):
    """Return whether stages tile ``[0, layers)`` without gap or overlap.

    Examples
    --------
    >>> from sniperudder.tables import Stage
    >>> is_chain_whole((Stage('a', 0, 4), Stage('b', 4, 8)), 8)
    True
    >>> is_chain_whole((Stage('a', 0, 4), Stage('b', 5, 8)), 8)
    False
    """
    layer = 0
    for stage in chain:
        if stage.first_layer != layer or stage.end_layer <= layer:
            return False
        layer = stage.end_layer
    return layer == layers


def _tile_layers(T, model, picks):
    # Shortest path over layer borders; edges only lead upwards, so one
    # pass in the order of the first layers settles every border. The
    # data centre belongs to the state, since hops between them cost.
    best = {(0, T.data_centre): (0.0, ())}
    for first, end in sorted(picks):
        ep = picks[(first, end)]
        key = (end, ep.data_centre)
        for (border, centre), (cost, chain) in list(best.items()):
            if border != first:
                continue
            hop = 0.0 if centre == ep.data_centre else _HOP_S
            total = cost + hop + _placements.expect_step(ep)
            if key not in best or total < best[key][0]:
                best[key] = (total, chain + (ep,))
    whole = [v for (end, _), v in best.items() if end == model.layers]
    if not whole:
        return None
    return Tiling(*min(whole, key=lambda entry: entry[0]))
