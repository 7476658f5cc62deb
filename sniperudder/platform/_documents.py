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

# What the settings may say of a feature: whether the configuration decides.
_FEATURE_MODES = {'auto': True, 'off': False}

_READY_STATE = 'ready'
_KNOWN_STATES = (_READY_STATE, 'draining')


class DocumentError(ValueError):
    """Raised for a document that is malformed or lacks a required field."""


# Used if the settings do not state it, ms.
_DEFAULT_HEARTBEAT_MS = 1_200.0


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
    limits = get_field(value, 'limits', dict, {})
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
        link_mbps=get_field(limits, 'link_mbps', float, 0.0),
        is_first_start=get_field(value, 'first_start', bool, False),
        heartbeat_s=get_seconds(value, 'heartbeat_ms', _DEFAULT_HEARTBEAT_MS),
        features=_decode_features(get_field(value, 'features', dict, {})),
        memory_mb=get_field(limits, 'memory_mb', float, 0.0),
        max_descriptors=get_field(limits, 'max_fds', int, 0),
    )


def _decode_features(value):
    """Decode the object ``features``, which a deployment may leave out."""
    switches = {}
    for name in (
        'organisation_shares',
        'uneven_demand',
        'prompt_reuse',
        'stream_handover',
        'early_stall_checks',
    ):
        mode = get_field(value, name, str, 'auto')
        if mode not in _FEATURE_MODES:
            raise DocumentError(f'{name}: expected auto or off, got {mode!r}')
        switches[name] = _FEATURE_MODES[mode]
    memory_mb = get_field(value, 'caller_memory_mb', float, 0.0)
    if memory_mb < 0:
        raise DocumentError(f'caller_memory_mb: negative: {memory_mb}')
    return fleet.Features(**switches, caller_memory_mb=memory_mb)


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
