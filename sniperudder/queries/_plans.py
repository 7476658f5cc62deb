"""What a command would change, touch and risk."""

import dataclasses

from sniperudder.outcomes import Code
from sniperudder.queries import _commands
from sniperudder.queries import _partials
from sniperudder.tables import EndpointState
from sniperudder.tables import RANKS

_COLUMNS = ('what', 'name', 'now', 'then')


@dataclasses.dataclass(frozen=True, slots=True)
class Objection:
    """A reason why a command should not be carried out.

    Attributes
    ----------
    code : Code
    detail : str
        One sentence for people.
    forcible : bool
        Whether the command may be forced all the same.
    """

    code: Code
    detail: str
    forcible: bool


@dataclasses.dataclass(slots=True)
class CommandPlan:
    """What a command would do.

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


def plan_command(T, command):
    """Return what a command would do, without doing it.

    Parameters
    ----------
    T : Tables
    command : Change

    Returns
    -------
    CommandPlan

    Notes
    -----
    The fleet's load comes from the endpoints' load reports, which lag;
    the work that is touched is this instance's own. Linear in endpoints
    and requests.

    Examples
    --------
    >>> from sniperudder import tables
    >>> T = tables.create_tables('entry-1', 'milan')
    >>> plan = plan_command(T, _commands.StopInstance('entry-9'))
    >>> plan.objections[0].detail
    'no instance is called entry-9'
    """
    objections = list(_check_subject(T, command))
    rows = [] if objections else list(_PLANNERS[type(command)](T, command))
    if not objections:
        objections = list(_check_chains(T, command))
    detail = '; '.join(objection.detail for objection in objections)
    return CommandPlan(
        _partials.Result(_COLUMNS, rows, detail=detail), objections
    )


# Whether the command's subject exists.

_SUBJECTS = (
    ('endpoint', 'endpoints'),
    ('instance', 'instances'),
    ('organisation', 'organisations'),
    ('model', 'models'),
)


def _check_subject(T, command):
    for attribute, table in _SUBJECTS:
        name = getattr(command, attribute, None)
        if name is not None and name not in getattr(T, table):
            yield Objection(
                Code.UNKNOWN_SUBJECT,
                f'no {attribute} is called {name}',
                forcible=False,
            )


# Whether every model and rank keeps a whole chain.


def _check_chains(T, command):
    match command:
        case _commands.WithdrawEndpoint(name, _):
            lost = frozenset(RANKS)
        case _commands.AllowRanks(name, ranks, _):
            lost = frozenset(RANKS) - frozenset(ranks)
        case _:
            return
    model = T.endpoints[name].model
    for rank in sorted(lost):
        before = list_candidates(T, model, rank)
        after = [ep for ep in before if ep.name != name]
        if has_chain(T, model, before) and not has_chain(T, model, after):
            yield Objection(
                Code.NO_CHAIN_LEFT,
                f'without {name} no whole chain of {model} is left '
                f'for the {rank.name.lower()} rank',
                forcible=True,
            )


def list_candidates(T, model, rank):
    """Return the endpoints of a model that may serve a rank now."""
    allowed = T.config.allowed_ranks
    return [
        ep
        for ep in T.endpoints.values()
        if ep.model == model
        and ep.state is not EndpointState.DOWN
        and ep.name not in T.config.withdrawn
        and rank in allowed.get(ep.name, RANKS)
    ]


def has_chain(T, model, endpoints):
    """Tell whether endpoints of one version cover all layers in turn.

    Notes
    -----
    A chain joins ranges end to end, with no gap and no overlap, so it
    is a path over layer numbers; O(n log n) in the endpoints.
    """
    layers = T.models[model].layers if model in T.models else 0
    return any(
        _reaches_end([ep for ep in endpoints if ep.version == version], layers)
        for version in {ep.version for ep in endpoints}
    )


def _reaches_end(endpoints, layers):
    reached = {0}
    for ep in sorted(endpoints, key=lambda ep: ep.first_layer):
        if ep.first_layer in reached:
            reached.add(ep.end_layer)
    return layers in reached


# What would change and which work would be touched.


def _plan_withdrawal(T, command):
    name = command.endpoint
    yield _show_flag('withdrawn', name, name in T.config.withdrawn, True)
    yield from _count_touched(T, name)
    yield from _compare_capacity(T, name, removed=True)


def _plan_return(T, command):
    name = command.endpoint
    yield _show_flag('withdrawn', name, name in T.config.withdrawn, False)
    yield from _compare_capacity(T, name, removed=False)


def _plan_stop(T, command):
    name = command.instance
    inst = T.instances[name]
    yield _show_flag('stopping', name, name in T.config.stopping, True)
    yield ('streams that finish first', name, inst.streams, 0)
    others = [
        other.name
        for other in T.instances.values()
        if other.name != name
        and other.name not in T.config.stopping
        and (other.name == T.me or other.state.value == 'live')
    ]
    yield ('live instances', 'all', len(others) + 1, len(others))


def _plan_allowed(T, command):
    before = T.config.allowed_ranks.get(command.endpoint, RANKS)
    yield (
        'ranks',
        command.endpoint,
        _name_ranks(before),
        _name_ranks(command.ranks),
    )
    yield from _count_touched(T, command.endpoint)


def _plan_shed_rank(T, command):
    rank = command.rank
    name = rank.name.lower()
    now = T.config.shed_ranks.get(rank, 0.0)
    yield ('share shed', name, now, command.share)
    yield _count_queued(T, name, lambda req: req.rank == rank)


def _plan_shed_organisation(T, command):
    name = command.organisation
    now = T.config.shed_organisations.get(name, 0.0)
    yield ('share shed', name, now, command.share)
    yield _count_queued(T, name, lambda req: req.organisation == name)


def _plan_shed_model(T, command):
    name = command.model
    now = T.config.shed_models.get(name, 0.0)
    yield ('share shed', name, now, command.share)
    yield _count_queued(T, name, lambda req: req.model == name)


def _plan_floor(T, command):
    rank = command.rank
    now = T.config.floors.get(rank, T.policy.ranks[rank].floor)
    yield ('floor', rank.name.lower(), now, command.share)


def _plan_weight(T, command):
    name = command.organisation
    now = T.config.weights.get(name, T.organisations[name].weight)
    yield ('weight', name, now, command.weight)


_PLANNERS = {
    _commands.WithdrawEndpoint: _plan_withdrawal,
    _commands.ReturnEndpoint: _plan_return,
    _commands.StopInstance: _plan_stop,
    _commands.AllowRanks: _plan_allowed,
    _commands.ShedRank: _plan_shed_rank,
    _commands.ShedOrganisation: _plan_shed_organisation,
    _commands.ShedModel: _plan_shed_model,
    _commands.SetFloor: _plan_floor,
    _commands.SetWeight: _plan_weight,
}


def _show_flag(what, name, now, then):
    words = {True: 'yes', False: 'no'}
    return (what, name, words[now], words[then])


def _name_ranks(ranks):
    return ', '.join(rank.name.lower() for rank in sorted(ranks))


def _count_queued(T, name, belongs):
    count = sum(map(belongs, T.requests.values()))
    return ('requests here that keep their place', name, count, count)


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
    serving = [
        ep
        for ep in T.endpoints.values()
        if ep.model == model
        and ep.state is not EndpointState.DOWN
        and ep.name not in T.config.withdrawn
    ]
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
