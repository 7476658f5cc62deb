"""Dry runs of intents: configuration changes, affected work and risks."""

import dataclasses

from sniperudder import intents
from sniperudder.outcomes import Code
from sniperudder.queries import _partials
from sniperudder.queries import _syntax_errors
from sniperudder.tables import EndpointState
from sniperudder.tables import InstanceState
from sniperudder.tables import RANKS

_COLUMNS = ('what', 'name', 'now', 'then')


@dataclasses.dataclass(frozen=True, slots=True)
class Objection:
    """A reason not to apply an intent.

    Attributes
    ----------
    code : Code
    detail : str
        Human-readable explanation, one sentence.
    forcible : bool
        Whether the operator may override the objection.
    """

    code: Code
    detail: str
    forcible: bool


@dataclasses.dataclass(slots=True)
class IntentPlan:
    """The effects that an intent would have.

    Attributes
    ----------
    result : Result
        Columns ``what``, ``name``, ``now`` and ``then``.
    objections : list of Objection
    """

    result: _partials.Result
    objections: list

    def list_blocking_objections(self, force):
        """Return the objections that prevent the intent.

        With `force`, forcible objections are left out.
        """
        return [o for o in self.objections if not (force and o.forcible)]


def plan_intent(T, intent):
    """Compute the effects of an intent without applying it.

    Parameters
    ----------
    T : Tables
    intent : Intent

    Returns
    -------
    IntentPlan

    Notes
    -----
    The load of the fleet is taken from the load reports of the endpoints,
    which lag behind. Affected requests are counted at this instance only.
    Linear in the numbers of endpoints and requests.

    Examples
    --------
    >>> from sniperudder import tables
    >>> T = tables.create_tables('entry-1', 'milan')
    >>> plan = plan_intent(T, intents.StopInstance('entry-9'))
    >>> plan.objections[0].detail
    'no instance is called entry-9'
    """
    objections = list(_check_subject(T, intent))
    rows = [] if objections else list(_PLANNERS[type(intent)](T, intent))
    if not objections:
        objections = list(_check_coverage(T, intent))
    detail = '; '.join(objection.detail for objection in objections)
    return IntentPlan(
        _partials.Result(_COLUMNS, rows, detail=detail), objections
    )


# Checks that the subject of the intent exists.

_SUBJECTS = (
    ('instance', 'instances', Code.UNKNOWN_INSTANCE),
    ('organisation', 'organisations', Code.UNKNOWN_ORGANISATION),
    ('model', 'models', Code.UNKNOWN_MODEL),
)


def _check_subject(T, intent):
    endpoint = getattr(intent, 'endpoint', None)
    known = endpoint in T.endpoints or find_service(T, endpoint)
    if endpoint is not None and not known:
        yield _create_unknown_objection(
            Code.UNKNOWN_ENDPOINT, 'endpoint', endpoint
        )
    for attribute, table, code in _SUBJECTS:
        name = getattr(intent, attribute, None)
        if name and name not in getattr(T, table):
            yield _create_unknown_objection(code, attribute, name)


def _create_unknown_objection(code, kind, name):
    return Objection(code, f'no {kind} is called {name}', forcible=False)


def find_service(T, address):
    """Return the service with a worker at an address, or None."""
    for service in T.services.values():
        if address in service.addresses:
            return service
    return None


# Checks that every rank of a model keeps a complete chain and every
# service at least one worker.


def _check_coverage(T, intent):
    match intent:
        case intents.Withdraw(endpoint=name):
            removed_ranks = RANKS
        case intents.Allow(endpoint=name, ranks=ranks):
            removed_ranks = [rank for rank in RANKS if rank not in ranks]
        case _:
            return
    if name not in T.endpoints:
        yield from _check_workers(T, name)
        return
    model = T.endpoints[name].model
    uncovered_ranks = [
        rank for rank in removed_ranks if _depends_on(T, name, model, rank)
    ]
    if uncovered_ranks:
        rank_names = _syntax_errors.join_alternatives(
            [r.name.lower() for r in uncovered_ranks]
        )
        yield Objection(
            Code.MODEL_UNCOVERED,
            f'without {name} no whole chain of {model} is left '
            f'for work of rank {rank_names}',
            forcible=True,
        )


def _depends_on(T, name, model, rank):
    """Tell whether a rank has a chain, but none without the endpoint."""
    eligible = list_eligible_endpoints(T, model, rank)
    remaining = [ep for ep in eligible if ep.name != name]
    return can_form_chain(T, model, eligible) and not can_form_chain(
        T, model, remaining
    )


def _check_workers(T, address):
    service = find_service(T, address)
    remaining_workers = set(service.addresses) - T.config.withdrawn - {address}
    if not remaining_workers:
        yield Objection(
            Code.MODEL_UNCOVERED,
            f'without {address} no worker of {service.name} is left',
            forcible=True,
        )


def list_eligible_endpoints(T, model, rank):
    """Return the endpoints that currently accept requests of a rank."""
    allowed = T.config.allowed_ranks
    return [
        ep
        for ep in _list_serving(T, model)
        if rank in allowed.get(ep.name, RANKS)
    ]


def _list_serving(T, model):
    """Return the endpoints that currently accept new chains of a model."""
    version = T.models[model].version if model in T.models else None
    return [
        ep
        for ep in T.endpoints.values()
        if (ep.model, ep.version) == (model, version)
        and ep.state is not EndpointState.DOWN
        and ep.name not in T.config.withdrawn
    ]


def can_form_chain(T, model, endpoints):
    """Tell whether endpoints can form a complete chain of a model.

    Notes
    -----
    The layer ranges of a chain are contiguous, without gaps or overlaps,
    so a chain is a path over layer boundaries from 0 to the number of
    layers. Takes O(n log n) time for n endpoints.
    """
    layers = T.models[model].layers if model in T.models else 0
    reachable = {0}
    for ep in sorted(endpoints, key=lambda ep: ep.first_layer):
        if ep.first_layer in reachable:
            reachable.add(ep.end_layer)
    return layers in reachable


# Rows of the plan: configuration changes and affected work.


def _plan_withdrawal(T, intent):
    name = intent.endpoint
    yield _create_flag_row('withdrawn', name, name in T.config.withdrawn, True)
    if name in T.endpoints:
        yield from _count_affected(T, name)
        yield from _compare_capacity(T, name, removed=True)


def _plan_return(T, intent):
    name = intent.endpoint
    yield _create_flag_row(
        'withdrawn', name, name in T.config.withdrawn, False
    )
    if name in T.endpoints:
        yield from _compare_capacity(T, name, removed=False)


def _plan_stop(T, intent):
    name = intent.instance
    inst = T.instances[name]
    yield _create_flag_row('stopping', name, name in T.config.stopping, True)
    yield ('streams that finish first', name, inst.streams, 0)
    others = [
        other.name
        for other in T.instances.values()
        if other.name != name
        and other.name not in T.config.stopping
        and (other.name == T.me or other.state is InstanceState.LIVE)
    ]
    yield ('live instances', 'all', len(others) + 1, len(others))


def _plan_allow(T, intent):
    allowed_ranks = T.config.allowed_ranks.get(intent.endpoint, RANKS)
    yield (
        'ranks',
        intent.endpoint,
        _format_ranks(allowed_ranks),
        _format_ranks(intent.ranks),
    )
    yield from _count_affected(T, intent.endpoint)


def _plan_shed(T, intent):
    config = T.config
    if intent.rank is not None:
        name, key = intent.rank.name.lower(), 'rank'
        current = config.shed_ranks.get(intent.rank, 0.0)
    elif intent.organisation:
        name, key = intent.organisation, 'organisation'
        current = config.shed_organisations.get(name, 0.0)
    else:
        name, key = intent.model, 'model'
        current = config.shed_models.get(name, 0.0)
    yield ('share shed', name, current, intent.share)
    target = getattr(intent, key)
    count = sum(getattr(req, key) == target for req in T.requests.values())
    yield ('requests here that keep their place', name, count, count)


def _plan_floor(T, intent):
    rank = intent.rank
    current = T.config.floors.get(rank, T.policy.ranks[rank].floor)
    yield ('floor', rank.name.lower(), current, intent.share)


def _plan_weight(T, intent):
    name = intent.organisation
    current = T.config.weights.get(name, T.organisations[name].weight)
    yield ('weight', name, current, intent.weight)


_PLANNERS = {
    intents.Withdraw: _plan_withdrawal,
    intents.Return: _plan_return,
    intents.StopInstance: _plan_stop,
    intents.Allow: _plan_allow,
    intents.Shed: _plan_shed,
    intents.SetFloor: _plan_floor,
    intents.SetWeight: _plan_weight,
}


def _create_flag_row(what, name, current, planned):
    words = {True: 'yes', False: 'no'}
    return (what, name, words[current], words[planned])


def _format_ranks(ranks):
    return ', '.join(rank.name.lower() for rank in sorted(ranks))


def _count_affected(T, name):
    """Count the running requests of this instance on an endpoint."""
    counts = dict.fromkeys(RANKS, 0)
    for req in T.requests.values():
        if any(stage.endpoint == name for stage in req.chain):
            counts[req.rank] += 1
    for rank, count in counts.items():
        what = f'{rank.name.lower()} streams here that finish first'
        yield (what, name, count, 0)


def _compare_capacity(T, name, removed):
    model = T.endpoints[name].model
    serving = _list_serving(T, model)
    serving_after = [ep for ep in serving if ep.name != name]
    if not removed:
        serving_after.append(T.endpoints[name])
    load = _compute_load(T, model, serving)
    capacity = _compute_capacity(T, model, serving_after)
    yield (
        'streams that the fleet can hold',
        model,
        _compute_capacity(T, model, serving),
        capacity,
    )
    enough = 'enough' if load <= capacity else 'not enough'
    yield ('streams in the fleet, as reported', model, load, enough)


def _sum_layers(T, model, endpoints, attribute):
    """Sum an attribute over the endpoints that hold each layer."""
    layers = T.models[model].layers if model in T.models else 0
    return [
        sum(
            getattr(ep, attribute)
            for ep in endpoints
            if ep.first_layer <= layer < ep.end_layer
        )
        for layer in range(layers)
    ] or [0]


def _compute_capacity(T, model, endpoints):
    """Return the smallest capacity of any layer, in streams."""
    return min(_sum_layers(T, model, endpoints, 'max_streams'))


def _compute_load(T, model, endpoints):
    """Return the largest reported load of any layer, in streams."""
    return max(_sum_layers(T, model, endpoints, 'reported_streams'))
