"""Query rows generated from the tables of an instance."""

import math

from sniperudder.outcomes import describe_code
from sniperudder.tables import InstanceState
from sniperudder.tables import Rank
from sniperudder.tables import RequestState

_CONFIG_MAPS = (
    'shed_ranks',
    'shed_organisations',
    'shed_models',
    'allowed_ranks',
    'floors',
    'weights',
)


def list_rows(T, table, now):
    """Generate the rows of a queryable table at this instance.

    Parameters
    ----------
    T : Tables
    table : str
    now : float
        Seconds on the instance's clock.

    Returns
    -------
    iterator of tuple
        Values in the order of the table's columns; None for a missing
        value.

    Raises
    ------
    KeyError
        If no such table exists.

    Notes
    -----
    Linear in the number of records.
    """
    return _ROW_GENERATORS[table](T, now)


def _compute_age(now, at):
    """Return the seconds since `at`, or None if it never occurred."""
    return None if at is None or math.isinf(at) else now - at


def _compute_time_left(work, now):
    """Return the seconds until the deadline, or None without one."""
    return None if math.isinf(work.deadline) else work.deadline - now


def _list_requests(T, now):
    for req in T.requests.values():
        wait_end = (
            now if req.attempt_started_at is None else req.attempt_started_at
        )
        endpoint = req.chain[req.stage].endpoint if req.chain else ''
        yield (
            T.me,
            req.name,
            req.organisation,
            req.rank.name.lower(),
            req.model,
            req.state.value,
            endpoint,
            req.attempt,
            len(req.tokens),
            wait_end - req.arrived_at,
            now - req.arrived_at,
            _compute_time_left(req, now),
        )


def _list_orders(T, now):
    for order in T.orders.values():
        yield (
            T.me,
            order.name,
            order.organisation,
            order.rank.name.lower(),
            order.service,
            order.key,
            order.state.value,
            order.tries,
            now - order.arrived_at,
            _compute_time_left(order, now),
        )


def _list_endpoints(T, now):
    for ep in T.endpoints.values():
        yield (
            T.me,
            ep.name,
            ep.data_centre,
            ep.accelerator,
            ep.model,
            ep.version,
            ep.first_layer,
            ep.end_layer,
            ep.state.value,
            ep.name in T.config.withdrawn,
            ep.streams,
            ep.reported_streams,
            ep.max_streams,
            ep.failures,
            ep.step_s,
            _compute_age(now, ep.reported_at or None),
            _compute_age(now, ep.last_sent_at or None),
        )


def _list_instances(T, now):
    for inst in T.instances.values():
        if inst.name == T.me:
            yield _create_own_row(T, inst, now)
            continue
        yield (
            T.me,
            inst.name,
            inst.data_centre,
            inst.state.value,
            inst.listed,
            inst.config_version,
            inst.streams,
            inst.incarnation,
            _compute_age(now, inst.heard_at),
            _compute_age(now, inst.platform_at),
        )


def _create_own_row(T, inst, now):
    # An instance does not update its own record in T.instances, so the
    # current values come from its other tables.
    return (
        T.me,
        inst.name,
        inst.data_centre,
        _get_own_state(T),
        inst.listed,
        T.config.version,
        len(T.requests),
        inst.incarnation,
        0.0,
        _compute_age(now, T.platform_at),
    )


def _get_own_state(T):
    leaving = T.stopping or T.me in T.config.stopping
    return (InstanceState.LEAVING if leaving else InstanceState.LIVE).value


def _list_organisations(T, now):
    counts = {name: [0, 0, 0] for name in T.organisations}
    for req in T.requests.values():
        running = req.state is RequestState.RUNNING
        counts.setdefault(req.organisation, [0, 0, 0])[running] += 1
    for order in T.orders.values():
        counts.setdefault(order.organisation, [0, 0, 0])[2] += 1
    for name, (queued, running, orders) in counts.items():
        yield (T.me, name, _get_weight(T, name), queued, running, orders)


def _get_weight(T, name):
    if name in T.config.weights:
        return T.config.weights[name]
    org = T.organisations.get(name)
    return org.weight if org else 1.0


def _list_refusals(T, now):
    for refusal in T.refusals:
        entry = describe_code(refusal.code)
        yield (
            T.me,
            refusal.name,
            refusal.organisation,
            refusal.rank.name.lower(),
            refusal.target,
            int(refusal.code),
            entry.code.name.lower(),
            entry.execution.value,
            refusal.detail,
            now - refusal.at,
        )


def _list_intents(T, now):
    for change in T.changes:
        yield (
            T.me,
            change.version,
            change.command_id,
            change.operator,
            change.kind,
            change.body,
            change.version <= T.config.version,
        )


def _list_config(T, now):
    config = T.config
    for name in sorted(config.withdrawn):
        yield (T.me, config.version, 'withdrawn', name, 'true')
    for name in sorted(config.stopping):
        yield (T.me, config.version, 'stopping', name, 'true')
    for setting in _CONFIG_MAPS:
        for name, value in getattr(config, setting).items():
            yield (
                T.me,
                config.version,
                setting,
                name.name.lower() if isinstance(name, Rank) else name,
                _format_value(value),
            )


def _format_value(value):
    if isinstance(value, frozenset):
        return ', '.join(rank.name.lower() for rank in sorted(value))
    return f'{value:g}'


_ROW_GENERATORS = {
    'requests': _list_requests,
    'orders': _list_orders,
    'endpoints': _list_endpoints,
    'instances': _list_instances,
    'organisations': _list_organisations,
    'refusals': _list_refusals,
    'intents': _list_intents,
    'config': _list_config,
}
