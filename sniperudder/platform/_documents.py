"""Decoding of the platform's JSON documents into records."""

import ipaddress
import json
import math

from sniperudder import fleet

_MS_PER_S = 1000.0

# Range of whole numbers: they are passed on as signed 64-bit integers.
_MIN_INT = -(2**63)
_MAX_INT = 2**63 - 1

_MAX_PORT = 65_535

# Default for deployments without engines, in which no stage can stall.
_NO_STALL_MS = 0.0

# Bound for configurations in a deployment that states none, ms; the users'
# shortest one.
_DEFAULT_CONFIG_MS = 2_000.0

_REPEATABLE_KIND = 'safe'
_STREAMING_KIND = 'streaming'
_READY_STATE = 'ready'
_KNOWN_STATES = (_READY_STATE, 'draining')


class DocumentError(ValueError):
    """Raised for a document that is malformed or lacks a required field."""


# Used if the settings do not state it, ms.
_DEFAULT_HEARTBEAT_MS = 1_200.0

# Key of the row of the configurations' table that is in force.
CONFIGURATION_KEY = 'config'


def decode_settings(data):
    """Decode the settings of an instance.

    Parameters
    ----------
    data : bytes
        Content of the settings file.

    Returns
    -------
    sniperudder.fleet.InstanceSettings

    Raises
    ------
    DocumentError
        If the file is malformed; the message names the field.
    """
    value = parse_object(data)
    bounds = get_field(value, 'bounds', dict)
    listen = get_field(value, 'listen', dict)
    return fleet.InstanceSettings(
        name=get_field(value, 'node', str),
        data_centre=get_field(value, 'zone', str),
        host=get_field(value, 'ip', str),
        callers_address=get_field(listen, 'front', str),
        ready_address=get_field(listen, 'ready', str),
        peer_port=_decode_first_port(value),
        platform_address=get_field(
            get_field(value, 'platform', dict), 'address', str
        ),
        bounds=fleet.Bounds(
            drain_s=get_seconds(bounds, 'drain_ms'),
            grace_s=get_field(bounds, 'grace_s', float),
            stall_s=get_seconds(bounds, 'stall_ms', _NO_STALL_MS),
            retry_ratio=get_field(bounds, 'budget_ratio', float),
            retry_window_s=get_field(bounds, 'budget_window_s', float),
            retry_slack=get_field(bounds, 'budget_slack', float),
            config_s=get_seconds(bounds, 'config_ms', _DEFAULT_CONFIG_MS),
        ),
        link_mbps=get_field(
            get_field(value, 'limits', dict, {}), 'link_mbps', float, 0.0
        ),
        is_first_start=get_field(value, 'first_start', bool, False),
        heartbeat_s=get_seconds(value, 'heartbeat_ms', _DEFAULT_HEARTBEAT_MS),
    )


def decode_configuration(data):
    """Decode the configuration stored in a row.

    Parameters
    ----------
    data : bytes
        Value of the row.

    Returns
    -------
    sniperudder.fleet.Configuration

    Raises
    ------
    DocumentError
        If the value is malformed.
    """
    value = parse_object(data)
    routes = {}
    for entry in get_field(value, 'routes', list):
        route = _decode_route(entry)
        routes.setdefault(route.host, []).append(route)
    for host_routes in routes.values():
        host_routes.sort(key=lambda route: -len(route.prefix))
    services = [_decode_service(s) for s in get_field(value, 'services', list)]
    return fleet.Configuration(
        version=get_field(value, 'version', int),
        routes={host: tuple(routed) for host, routed in routes.items()},
        services={service.name: service for service in services},
        keys=_decode_keys(value),
        limits=_decode_limits(get_field(value, 'limits', dict)),
    )


def supersedes_configuration(row, known):
    """Return whether a row of the configurations' table replaces another one.

    The operators' version of a configuration decides, and not the state of the
    store at which it was written: a configuration that was confirmed stays in
    force if the store has lost it.

    Parameters
    ----------
    row, known : StoredRow
        Rows with the same key.

    Returns
    -------
    bool
    """
    if row.key != CONFIGURATION_KEY:
        return row.revision >= known.revision
    known_version = _get_configuration_version(known)
    if known_version is None:
        return True
    version = _get_configuration_version(row)
    return version is not None and version >= known_version


def _get_configuration_version(row):
    """Return the operators' version; None if there is none to be read."""
    if row.value is None:
        return None
    try:
        return get_field(parse_object(row.value), 'version', int)
    except DocumentError:
        return None


def decode_endpoint(name, data):
    """Decode an endpoint from its row.

    Parameters
    ----------
    name : str
        Key of the row, which is the endpoint id.
    data : bytes
        Value of the row.

    Returns
    -------
    sniperudder.fleet.Endpoint

    Raises
    ------
    DocumentError
        If the value does not describe a usable endpoint, for example
        because another program wrote the row.
    """
    value = parse_object(data)
    state = get_field(value, 'state', str)
    if state not in _KNOWN_STATES:
        raise DocumentError(f'state: unknown value: {state!r}')
    if not _is_visible_ascii(name):
        # The id is sent to the endpoint in a header.
        raise DocumentError(f'id: invalid characters: {name!r}')
    return fleet.Endpoint(
        id=name,
        service=get_field(value, 'service', str),
        address=_decode_address(value),
        data_centre=get_field(value, 'zone', str),
        slots=get_field(value, 'slots', int),
        leaving=state != _READY_STATE,
        accelerator=get_field(value, 'kind', str, ''),
        layers=decode_layers(value),
        born_ms=get_field(value, 'born', int, 0),
        report_number=get_field(value, 'sequence', int, 0),
    )


def decode_host(value):
    """Return the ``host`` of an object, which must be an IPv4 address.

    Host names are not accepted, since looking one up would block.
    """
    host = get_field(value, 'host', str)
    _check_ip_address('host', host)
    return host


def decode_port(value):
    """Return the ``port`` of an object."""
    port = get_field(value, 'port', int)
    if not 0 < port <= _MAX_PORT:
        raise DocumentError(f'port: out of range: {port}')
    return port


def _decode_first_port(value):
    ports = get_field(value, 'port_range', list)
    if not ports:
        raise DocumentError('port_range: empty')
    return decode_port({'port': ports[0]})


def _decode_address(value):
    address = get_field(value, 'address', str)
    host, _, port = address.rpartition(':')
    _check_ip_address('address', host)
    is_number = port.isascii() and port.isdigit() and len(port) <= 5
    if not is_number or not 0 < int(port) <= _MAX_PORT:
        raise DocumentError(f'address: expected host:port, got {address!r}')
    return address


def _check_ip_address(field, host):
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise DocumentError(f'{field}: {error}') from error


def _is_visible_ascii(text):
    return bool(text) and all('!' <= character <= '~' for character in text)


def decode_layers(value):
    """Return the layers that an endpoint reports, or None."""
    layers = value.get('layers')
    if layers is None:
        return None
    start, end = get_field(layers, 'from', int), get_field(layers, 'to', int)
    if start < 0:
        raise DocumentError(f'from: negative layer: {start}')
    return fleet.Layers(start, end) if start < end else None


def parse_object(data):
    """Parse a document that holds a JSON object.

    Raises
    ------
    DocumentError
        If the document is not JSON or not an object.
    """
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise DocumentError(f'document is not valid JSON: {error}') from error
    if not isinstance(value, dict):
        raise DocumentError('document is not a JSON object')
    return value


def get_field(value, field, expected_type, default=None):
    """Return a field of an object after checking its type and range.

    Whole numbers have at most 64 bits, other numbers are finite, and texts can
    be encoded, so that each value can be passed on.

    Raises
    ------
    DocumentError
        If the field has another type or is out of range, or is missing and
        has no default; the message names the field.
    """
    if not isinstance(value, dict):
        raise DocumentError(f'{field}: parent is not a JSON object')
    field_value = value.get(field, default)
    if type(field_value) is int and not _MIN_INT <= field_value <= _MAX_INT:
        raise DocumentError(f'{field}: more than 64 bits')
    if expected_type is float and type(field_value) is int:
        field_value = float(field_value)
    if type(field_value) is float and not math.isfinite(field_value):
        raise DocumentError(f'{field}: not finite: {field_value!r}')
    if isinstance(field_value, str) and not _is_encodable(field_value):
        raise DocumentError(f'{field}: not valid Unicode: {field_value!r}')
    # bool is a subclass of int but is not accepted as a number.
    if not isinstance(field_value, expected_type) or (
        isinstance(field_value, bool) and expected_type is not bool
    ):
        raise DocumentError(
            f'{field}: missing or invalid value: {field_value!r}'
        )
    return field_value


def _is_encodable(text):
    """Return whether a text has no lone surrogates, which JSON allows."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def get_seconds(value, field, default=None):
    """Return a field in milliseconds as seconds; see `get_field`."""
    return get_field(value, field, float, default) / _MS_PER_S


def _decode_route(value):
    kind = get_field(value, 'kind', str)
    targets = get_field(value, 'split', list, [])
    if not targets:
        targets = [{'service': get_field(value, 'service', str), 'weight': 1}]
    return fleet.Route(
        name=get_field(value, 'name', str),
        host=get_field(value, 'host', str).lower(),
        prefix=get_field(value, 'prefix', str),
        targets=tuple(
            fleet.Target(
                get_field(target, 'service', str),
                get_field(target, 'weight', float),
            )
            for target in targets
        ),
        repeatable=kind == _REPEATABLE_KIND,
        streaming=kind == _STREAMING_KIND,
        resumable=get_field(value, 'resumable', bool, False),
        public=get_field(value, 'public', bool, False),
        timeout_s=get_seconds(value, 'timeout_ms'),
        gap_target_s=get_seconds(value, 'gap_target_ms', 0.0),
        rank=get_field(value, 'priority', int, 0),
        max_attempts=max(1, get_field(value, 'max_attempts', int, 1)),
    )


def _decode_service(value):
    name = get_field(value, 'name', str)
    engine = value.get('engine')
    return fleet.Service(
        name=name,
        max_connections=get_field(value, 'max_conns', int, 0),
        engine=_decode_engine(engine) if isinstance(engine, dict) else None,
    )


def _decode_engine(value):
    usual = get_field(value, 'usual', dict, {})
    models = get_field(value, 'models', list, [])
    accelerators = [
        fleet.Accelerator(
            name=get_field(kind, 'name', str),
            memory_mb=get_field(kind, 'size_mb', float),
            step_factor=get_field(kind, 'pace', float),
            prefill_factor=get_field(kind, 'read_factor', float),
        )
        for kind in get_field(value, 'kinds', list, [])
    ]
    return fleet.EngineProfile(
        layer_count=get_field(value, 'layers', int, 0),
        layer_mb=get_field(value, 'layer_mb', float, 0.0),
        kv_token_bytes=get_field(value, 'kv_token_bytes', float, 0.0),
        step_ms=get_field(value, 'step_ms', float, 1.0),
        per_request_ms=get_field(value, 'per_seq_ms', float, 0.0),
        context_per_k_ms=get_field(value, 'context_per_k', float, 0.0),
        # Tokens per second become tokens per millisecond.
        prefill_tokens_per_ms=get_seconds(value, 'read_per_s', 1000.0),
        mean_prompt_tokens=get_field(usual, 'prompt', float, 0.0),
        mean_output_tokens=get_field(usual, 'answer', float, 0.0),
        load_s=max(
            (get_field(model, 'load_s', float, 0.0) for model in models),
            default=0.0,
        ),
        activation_bytes=get_field(value, 'activation_bytes', float, 0.0),
        link_mbps=get_field(value, 'pipe_mbps', float, 0.0),
        accelerators={
            accelerator.name: accelerator for accelerator in accelerators
        },
    )


def _decode_keys(value):
    if 'tenants' not in value:
        return None
    keys = {}
    for tenant in get_field(value, 'tenants', list):
        name = get_field(tenant, 'name', str)
        rank = tenant.get('priority')
        organisation = fleet.Organisation(
            name, rank if type(rank) is int else None
        )
        for key in get_field(tenant, 'api_keys', list):
            if not isinstance(key, str):
                raise DocumentError(
                    f'api_keys: expected a string, got {key!r}'
                )
            keys[key] = organisation
    return keys


def _decode_limits(value):
    return fleet.Limits(
        max_header_bytes=get_field(value, 'max_header_bytes', int),
        max_body_bytes=get_field(value, 'max_body_bytes', int),
        header_timeout_s=get_seconds(value, 'header_timeout_ms'),
        idle_timeout_s=get_seconds(value, 'idle_timeout_ms'),
    )
