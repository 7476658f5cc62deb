"""Decoding of the platform's documents into records."""

import json

from sniperudder import fleet

_MS_PER_S = 1000.0

# Where a deployment has no engines, no stage can stall.
_NO_STALL_MS = 0.0

_REPEATABLE = 'safe'
_STREAMING = 'streaming'
_READY = 'ready'
_STATES = (_READY, 'draining')


class DocumentError(ValueError):
    """A document that cannot be read or lacks what it must hold."""


def read_settings(data):
    """Return the settings of this instance.

    Parameters
    ----------
    data : bytes
        The settings file.

    Returns
    -------
    sniperudder.fleet.InstanceSettings

    Raises
    ------
    DocumentError
        With the name of the field.
    """
    value = parse(data)
    bounds = take(value, 'bounds', dict)
    listen = take(value, 'listen', dict)
    return fleet.InstanceSettings(
        name=take(value, 'node', str),
        data_centre=take(value, 'zone', str),
        host=take(value, 'ip', str),
        callers_address=take(listen, 'front', str),
        ready_address=take(listen, 'ready', str),
        peer_port=take(value, 'port_range', list)[0],
        platform_address=take(take(value, 'platform', dict), 'address', str),
        bounds=fleet.Bounds(
            drain_s=take_s(bounds, 'drain_ms'),
            grace_s=take(bounds, 'grace_s', float),
            stall_s=take_s(bounds, 'stall_ms', _NO_STALL_MS),
            repeat_ratio=take(bounds, 'budget_ratio', float),
            repeat_window_s=take(bounds, 'budget_window_s', float),
            repeat_slack=take(bounds, 'budget_slack', float),
        ),
    )


def read_configuration(data):
    """Return the configuration that a row holds.

    Raises
    ------
    DocumentError
    """
    value = parse(data)
    routes = {}
    for entry in take(value, 'routes', list):
        route = _read_route(entry)
        routes.setdefault(route.host, []).append(route)
    for of_host in routes.values():
        of_host.sort(key=lambda route: -len(route.prefix))
    services = [_read_service(s) for s in take(value, 'services', list)]
    return fleet.Configuration(
        version=take(value, 'version', int),
        routes={host: tuple(found) for host, found in routes.items()},
        services={service.name: service for service in services},
        keys=_read_keys(value),
        limits=_read_limits(take(value, 'limits', dict)),
    )


def read_endpoint(name, data):
    """Return the endpoint that a row names.

    Parameters
    ----------
    name : str
        Key of the row.
    data : bytes

    Raises
    ------
    DocumentError
        Where another program wrote it; it names no endpoint to use.
    """
    value = parse(data)
    state = take(value, 'state', str)
    if state not in _STATES:
        raise DocumentError(f'state: {state!r}')
    address = take(value, 'address', str)
    host, _, port = address.rpartition(':')
    if not host or not port.isdigit():
        raise DocumentError(f'address: {address!r}')
    return fleet.Endpoint(
        id=name,
        service=take(value, 'service', str),
        address=address,
        data_centre=take(value, 'zone', str),
        slots=take(value, 'slots', int),
        leaving=state != _READY,
        card=take(value, 'kind', str, ''),
        layers=read_layers(value),
        born_ms=take(value, 'born', int, 0),
    )


def read_layers(value):
    """Return the layers that an endpoint tells of, or None."""
    layers = value.get('layers')
    if layers is None:
        return None
    start, end = take(layers, 'from', int), take(layers, 'to', int)
    if start < 0:
        raise DocumentError(f'from: {start}')
    return fleet.Layers(start, end) if start < end else None


def parse(data):
    """Return the object that a document holds.

    Raises
    ------
    DocumentError
    """
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise DocumentError(f'not JSON: {error}') from error
    if not isinstance(value, dict):
        raise DocumentError('not an object')
    return value


def take(value, field, kind, default=None):
    """Return a field of an object, which must be of a kind.

    Raises
    ------
    DocumentError
        With the name of the field.
    """
    if not isinstance(value, dict):
        raise DocumentError(f'{field}: not within an object')
    found = value.get(field, default)
    if kind is float and type(found) is int:
        found = float(found)
    # bool is a subclass of int, but never a number here.
    if not isinstance(found, kind) or (
        isinstance(found, bool) and kind is not bool
    ):
        raise DocumentError(f'{field}: {found!r}')
    return found


def take_s(value, field, default=None):
    """Return a field in milliseconds as seconds; see `take`."""
    return take(value, field, float, default) / _MS_PER_S


def _read_route(value):
    kind = take(value, 'kind', str)
    targets = take(value, 'split', list, [])
    if not targets:
        targets = [{'service': take(value, 'service', str), 'weight': 1}]
    return fleet.Route(
        name=take(value, 'name', str),
        host=take(value, 'host', str).lower(),
        prefix=take(value, 'prefix', str),
        targets=tuple(
            fleet.Target(
                take(target, 'service', str), take(target, 'weight', float)
            )
            for target in targets
        ),
        repeatable=kind == _REPEATABLE,
        streaming=kind == _STREAMING,
        resumable=take(value, 'resumable', bool, False),
        public=take(value, 'public', bool, False),
        timeout_s=take_s(value, 'timeout_ms'),
        pause_goal_s=take_s(value, 'gap_target_ms', 0.0),
        rank=take(value, 'priority', int, 0),
        max_attempts=max(1, take(value, 'max_attempts', int, 1)),
    )


def _read_service(value):
    name = take(value, 'name', str)
    engine = value.get('engine')
    return fleet.Service(
        name=name,
        max_channels=take(value, 'max_conns', int, 0),
        engine=_read_engine(engine) if isinstance(engine, dict) else None,
    )


def _read_engine(value):
    usual = take(value, 'usual', dict, {})
    models = take(value, 'models', list, [])
    cards = [
        fleet.Card(
            name=take(kind, 'name', str),
            memory_mb=take(kind, 'size_mb', float),
            step_factor=take(kind, 'pace', float),
            read_factor=take(kind, 'read_factor', float),
        )
        for kind in take(value, 'kinds', list, [])
    ]
    return fleet.Engine(
        layers=take(value, 'layers', int, 0),
        layer_mb=take(value, 'layer_mb', float, 0.0),
        kv_token_bytes=take(value, 'kv_token_bytes', float, 0.0),
        step_ms=take(value, 'step_ms', float, 1.0),
        per_request_ms=take(value, 'per_seq_ms', float, 0.0),
        context_per_k_ms=take(value, 'context_per_k', float, 0.0),
        read_per_ms=take_s(value, 'read_per_s', 1000.0),
        usual_prompt=take(usual, 'prompt', float, 0.0),
        usual_answer=take(usual, 'answer', float, 0.0),
        load_s=max(
            (take(model, 'load_s', float, 0.0) for model in models),
            default=0.0,
        ),
        activation_bytes=take(value, 'activation_bytes', float, 0.0),
        pipe_mbps=take(value, 'pipe_mbps', float, 0.0),
        cards={card.name: card for card in cards},
    )


def _read_keys(value):
    if 'tenants' not in value:
        return None
    keys = {}
    for tenant in take(value, 'tenants', list):
        name = take(tenant, 'name', str)
        rank = tenant.get('priority')
        organisation = fleet.Organisation(
            name, rank if type(rank) is int else None
        )
        for key in take(tenant, 'api_keys', list):
            if not isinstance(key, str):
                raise DocumentError(f'api_keys: {key!r}')
            keys[key] = organisation
    return keys


def _read_limits(value):
    return fleet.Limits(
        max_header_bytes=take(value, 'max_header_bytes', int),
        max_body_bytes=take(value, 'max_body_bytes', int),
        header_timeout_s=take_s(value, 'header_timeout_ms'),
        idle_timeout_s=take_s(value, 'idle_timeout_ms'),
    )
