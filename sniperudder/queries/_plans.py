"""What an intent would change, touch and risk."""

import dataclasses

from sniperudder import intents
from sniperudder.outcomes import Code
from sniperudder.queries import _partials
from sniperudder.queries import _problems
from sniperudder.tables import EndpointState
from sniperudder.tables import InstanceState
from sniperudder.tables import RANKS

_COLUMNS = ('what', 'name', 'now', 'then')


@dataclasses.dataclass(frozen=True, slots=True)
class Objection:
    """A reason why an intent should not be carried out.

    Attributes
    ----------
    code : Code
    detail : str
        One sentence for people.
    forcible : bool
        Whether the intent may be forced all the same.
    """

    code: Code
    detail: str
    forcible: bool


@dataclasses.dataclass(slots=True)
class IntentPlan:
    """What an intent would do.

    Attributes
    ----------
    result : Result
        Columns ``what``, ``name``, ``now`` and ``then``.
    objections : list of Objection
    """

    result: _partials.Result
    objections: list

    def list_refusals(self, force):
        """Return the objections that stand, with or without force."""
        return [o for o in self.objections if not (force and o.forcible)]


def plan_intent(T, intent):
    """Return what an intent would do, without doing it.

    Parameters
    ----------
    T : Tables
    intent : Intent

    Returns
    -------
    IntentPlan

    Notes
    -----
    The fleet's load comes from the endpoints' load reports, which lag;
    the work that is touched is this instance's own. Linear in endpoints
    and requests.

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
        objections = list(_check_cover(T, intent))
    detail = '; '.join(objection.detail for objection in objections)
    return IntentPlan(
        _partials.Result(_COLUMNS, rows, detail=detail), objections
    )


# Whether the intent's subject exists.

_SUBJECTS = (
    ('instance', 'instances', Code.UNKNOWN_INSTANCE),
    ('organisation', 'organisations', Code.UNKNOWN_ORGANISATION),
    ('model', 'models', Code.UNKNOWN_MODEL),
)


def _check_subject(T, intent):
    endpoint = getattr(intent, 'endpoint', None)
    known = endpoint in T.endpoints or find_service(T, endpoint)
    if endpoint is not None and not known:
        yield _refuse_unknown(Code.UNKNOWN_ENDPOINT, 'endpoint', endpoint)
    for attribute, table, code in _SUBJECTS:
        name = getattr(intent, attribute, None)
        if name and name not in getattr(T, table):
            yield _refuse_unknown(code, attribute, name)


def _refuse_unknown(code, kind, name):
    return Objection(code, f'no {kind} is called {name}', forcible=False)


def find_service(T, address):
    """Return the service that has a worker at an address, or None."""
    for service in T.services.values():
        if address in service.addresses:
            return service
    return None


# Whether every model and rank keeps a whole chain, and every service a
# worker.


def _check_cover(T, intent):
    match intent:
        case intents.Withdraw(endpoint=name):
            lost = RANKS
        case intents.Allow(endpoint=name, ranks=ranks):
            lost = [rank for rank in RANKS if rank not in ranks]
        case _:
            return
    if name not in T.endpoints:
        yield from _check_workers(T, name)
        return
    model = T.endpoints[name].model
    bare = [rank for rank in lost if _needs(T, name, model, rank)]
    if bare:
        words = _problems.describe_choice([r.name.lower() for r in bare])
        yield Objection(
            Code.MODEL_UNCOVERED,
            f'without {name} no whole chain of {model} is left '
            f'for work of rank {words}',
            forcible=True,
        )


def _needs(T, name, model, rank):
    """Tell whether a rank has a chain, but none without an endpoint."""
    before = list_candidates(T, model, rank)
    after = [ep for ep in before if ep.name != name]
    return has_chain(T, model, before) and not has_chain(T, model, after)


def _check_workers(T, address):
    service = find_service(T, address)
    left = set(service.addresses) - T.config.withdrawn - {address}
    if not left:
        yield Objection(
            Code.MODEL_UNCOVERED,
            f'without {address} no worker of {service.name} is left',
            forcible=True,
        )


def list_candidates(T, model, rank):
    """Return the endpoints of a model that may serve a rank now."""
    allowed = T.config.allowed_ranks
    return [
        ep
        for ep in _list_serving(T, model)
        if rank in allowed.get(ep.name, RANKS)
    ]


def _list_serving(T, model):
    """Return the endpoints that may run new chains of a model now."""
    version = T.models[model].version if model in T.models else None
    return [
        ep
        for ep in T.endpoints.values()
        if (ep.model, ep.version) == (model, version)
        and ep.state is not EndpointState.DOWN
        and ep.name not in T.config.withdrawn
    ]


def has_chain(T, model, endpoints):
    """Tell whether endpoints of a model cover all its layers in turn.

    Notes
    -----
    A chain joins ranges end to end, with no gap and no overlap, so it
    is a path over layer numbers; O(n log n) in the endpoints.
    """
    layers = T.models[model].layers if model in T.models else 0
    reached = {0}
    for ep in sorted(endpoints, key=lambda ep: ep.first_layer):
        if ep.first_layer in reached:
            reached.add(ep.end_layer)
    return layers in reached


# What would change and which work would be touched.


def _plan_withdrawal(T, intent):
    name = intent.endpoint
    yield _show_flag('withdrawn', name, name in T.config.withdrawn, True)
    if name in T.endpoints:
        yield from _count_touched(T, name)
        yield from _compare_capacity(T, name, removed=True)


def _plan_return(T, intent):
    name = intent.endpoint
    yield _show_flag('withdrawn', name, name in T.config.withdrawn, False)
    if name in T.endpoints:
        yield from _compare_capacity(T, name, removed=False)


def _plan_stop(T, intent):
    name = intent.instance
    inst = T.instances[name]
    yield _show_flag('stopping', name, name in T.config.stopping, True)
    yield ('streams that finish first', name, inst.streams, 0)
    others = [
        other.name
        for other in T.instances.values()
        if other.name != name
        and other.name not in T.config.stopping
        and (other.name == T.me or other.state is InstanceState.LIVE)
    ]
    yield ('live instances', 'all', len(others) + 1, len(others))


def _plan_allowed(T, intent):
    before = T.config.allowed_ranks.get(intent.endpoint, RANKS)
    yield (
        'ranks',
        intent.endpoint,
        _name_ranks(before),
        _name_ranks(intent.ranks),
    )
    yield from _count_touched(T, intent.endpoint)


def _plan_shed(T, intent):
    config = T.config
    if intent.rank is not None:
        name, key = intent.rank.name.lower(), 'rank'
        now = config.shed_ranks.get(intent.rank, 0.0)
    elif intent.organisation:
        name, key = intent.organisation, 'organisation'
        now = config.shed_organisations.get(name, 0.0)
    else:
        name, key = intent.model, 'model'
        now = config.shed_models.get(name, 0.0)
    yield ('share shed', name, now, intent.share)
    wanted = getattr(intent, key)
    count = sum(getattr(req, key) == wanted for req in T.requests.values())
    yield ('requests here that keep their place', name, count, count)


def _plan_floor(T, intent):
    rank = intent.rank
    now = T.config.floors.get(rank, T.policy.ranks[rank].floor)
    yield ('floor', rank.name.lower(), now, intent.share)


def _plan_weight(T, intent):
    name = intent.organisation
    now = T.config.weights.get(name, T.organisations[name].weight)
    yield ('weight', name, now, intent.weight)


_PLANNERS = {
    intents.Withdraw: _plan_withdrawal,
    intents.Return: _plan_return,
    intents.StopInstance: _plan_stop,
    intents.Allow: _plan_allowed,
    intents.Shed: _plan_shed,
    intents.SetFloor: _plan_floor,
    intents.SetWeight: _plan_weight,
}


def _show_flag(what, name, now, then):
    words = {True: 'yes', False: 'no'}
    return (what, name, words[now], words[then])


def _name_ranks(ranks):
    return ', '.join(rank.name.lower() for rank in sorted(ranks))


def _count_touched(T, name):
    """Count this instance's running requests on an endpoint."""
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
    after = [ep for ep in serving if ep.name != name]
    if not removed:
        after.append(T.endpoints[name])
    load = _measure_load(T, model, serving)
    capacity = _measure_capacity(T, model, after)
    yield (
        'streams that the fleet can hold',
        model,
        _measure_capacity(T, model, serving),
        capacity,
    )
    enough = 'enough' if load <= capacity else 'not enough'
    yield ('streams in the fleet, as reported', model, load, enough)


def _sum_layers(T, model, endpoints, attribute):
    """Return the sums of an attribute over each layer's endpoints."""
    layers = T.models[model].layers if model in T.models else 0
    return [
        sum(
            getattr(ep, attribute)
            for ep in endpoints
            if ep.first_layer <= layer < ep.end_layer
        )
        for layer in range(layers)
    ] or [0]


def _measure_capacity(T, model, endpoints):
    """Return the streams that the scarcest layer can hold."""
    return min(_sum_layers(T, model, endpoints, 'max_streams'))


def _measure_load(T, model, endpoints):
    """Return the streams at the busiest layer, by load reports."""
    return max(_sum_layers(T, model, endpoints, 'reported_streams'))
