"""Choice of the chain of endpoints that serves an attempt."""

import hashlib

from sniperudder import tables

# Cost of a hop between data centres where nothing was measured.
_HOP_S = 0.001
_DEFAULT_STEP_S = 0.02
# Load above an instance's own share is only placed while the engine
# reported this share of its streams as free.
_BORROW_FREE_SHARE = 0.1
_REPORT_AGE_S = 5.0


def score_home(instance, subject):
    """Return the rendezvous weight of an instance for a subject."""
    text = f'{instance}\0{subject}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def list_live(T):
    """Return the names of the instances that share the endpoints."""
    gone = tables.InstanceState.GONE
    names = [n for n, inst in T.instances.items() if inst.state is not gone]
    if T.me not in names:
        names.append(T.me)
    return names


def count_share(T, ep):
    """Return the streams of an endpoint that are this instance's own.

    The limit is split evenly; the remainder goes to the instances with
    the highest rendezvous weight for the endpoint.

    Notes
    -----
    O(n) in the number of live instances.
    """
    live = list_live(T)
    base, rest = divmod(ep.max_streams, len(live))
    if not rest:
        return base
    live.sort(key=lambda name: score_home(name, ep.name), reverse=True)
    return base + (T.me in live[:rest])


def has_slot(T, ep, now):
    """Return whether a new stream may be placed on an endpoint."""
    if ep.state is tables.EndpointState.PROBING:
        return ep.streams == 0
    if ep.streams < count_share(T, ep):
        return True
    if now - ep.reported_at > _REPORT_AGE_S:
        return False
    others = max(0, ep.reported_streams - ep.reported_own)
    free = ep.max_streams - others - ep.streams
    return free > ep.max_streams * _BORROW_FREE_SHARE


def is_usable(T, ep, rank, now):
    """Return whether new work of a rank may go to an endpoint."""
    if ep.name in T.config.withdrawn:
        return False
    allowed = T.config.allowed_ranks.get(ep.name)
    if allowed is not None and rank not in allowed:
        return False
    if ep.state is tables.EndpointState.DOWN:
        return False
    return True


def list_candidates(T, model, rank, now):
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
        if is_usable(T, ep, rank, now):
            key = (ep.first_layer, ep.end_layer)
            groups.setdefault(key, []).append(ep)
    return groups


def has_chain(T, model, rank, now):
    """Return whether endpoints cover a model, busy ones counted."""
    groups = list_candidates(T, model, rank, now)
    picks = {key: eps[0] for key, eps in groups.items()}
    return _tile_layers(T, model, picks) is not None


def choose_chain(T, model, rank, now, usable=None):
    """Choose a chain whose layer ranges tile a model exactly.

    Of each layer range, the better of two random endpoints with a free
    slot is taken; of all tilings, the one with the least expected time
    for a token.

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
    O(e + g) for e endpoints in g distinct layer ranges. The better of
    two random choices keeps instances with stale load reports from
    all choosing the same endpoint.

    References
    ----------
    .. [1] M. Mitzenmacher, "The power of two choices in randomized
       load balancing", IEEE TPDS 12(10), 2001.
    """
    picks = {}
    for key, eps in list_candidates(T, model, rank, now).items():
        free = [ep for ep in eps if has_slot(T, ep, now)]
        if usable is not None:
            free = [ep for ep in free if usable(ep)]
        if free:
            picks[key] = _pick_endpoint(T, free)
    best = _tile_layers(T, model, picks)
    if best is None:
        return None
    return tuple(
        tables.Stage(ep.name, ep.first_layer, ep.end_layer) for ep in best
    )


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


def _pick_endpoint(T, eps):
    if len(eps) > 2:
        eps = T.rng.sample(eps, 2)
    return min(eps, key=_expect_step)


def _expect_step(ep):
    step_s = ep.step_s or _DEFAULT_STEP_S
    streams = max(ep.streams, ep.reported_streams)
    return step_s * (1 + streams / ep.max_streams)


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
            total = cost + hop + _expect_step(ep)
            if key not in best or total < best[key][0]:
                best[key] = (total, chain + (ep,))
    whole = [v for (end, _), v in best.items() if end == model.layers]
    if not whole:
        return None
    return min(whole, key=lambda entry: entry[0])[1]
