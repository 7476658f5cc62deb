"""Parsing and generation of the platform's HTTP headers."""

import dataclasses
import math

_MS_PER_S = 1000.0

# Largest number of tokens and largest event id that are accepted. Sums and
# products of them fit in 64 bits.
_MAX_COUNT = 10**9
_MAX_ID_DIGITS = 18

_REQUEST_ID = b'x-sniperudder-request-id'
_DEADLINE = b'x-sniperudder-request-deadline'
_TOKEN_COUNT = b'x-sniperudder-token-count'
_LENGTH_HINT = b'x-sniperudder-length-hint'
# Despite its name, this header lists the ids of all parts of the prompt.
_PREFIX_HASH = b'x-sniperudder-prefix-hash'
_LAST_EVENT_ID = b'last-event-id'
_AUTHORIZATION = b'authorization'
_TENANT = b'x-sniperudder-tenant'
_EXPECTED_ENDPOINT = b'x-sniperudder-expect-instance'
# Despite its name, this header carries the rank; 0 is the most urgent.
_URGENCY = b'x-sniperudder-request-urgency'
# Despite its name, this header carries the path of pipeline stages.
_HOP_COUNT = b'x-sniperudder-hop-count'
_RESPONSE_SEAL = b'x-sniperudder-response-seal'
_NOT_EXECUTED = b'x-sniperudder-not-executed'
_FAULT_ADDRESS = b'at-server'
_API_KEY_SCHEME = 'token'
_MISDIRECTED = 421
_MAX_RANK = 9

# Request headers that are not forwarded because the router sets them itself.
_REPLACED_HEADERS = frozenset(
    {
        _DEADLINE,
        _TENANT,
        _EXPECTED_ENDPOINT,
        _URGENCY,
        _HOP_COUNT,
        _LAST_EVENT_ID,
        b'content-length',
        b'host',
    }
)

# Headers that apply to a single connection (RFC 9110, section 7.6.1).
_HOP_BY_HOP_HEADERS = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """Parsed headers of a caller's request.

    Attributes
    ----------
    request_id : str
        Empty if the caller sent none.
    wait_s : float or None
        Time for which the caller waits for the response, seconds; None if
        unlimited.
    key : str or None
        API key.
    prompt_tokens, output_tokens : int
        Prompt length, and expected output length: the caller's estimate, at
        most its limit, or the limit if there is no estimate. 0 if unknown.
    last_event_id : str or None
        Id of the event after which a stream is resumed.
    shared_parts : tuple of str
        Ids of the parts of the prompt that other requests may share: all but
        the last one, which belongs to the request or its session.
    """

    request_id: str
    wait_s: float | None
    key: str | None
    prompt_tokens: int
    output_tokens: int
    last_event_id: str | None
    shared_parts: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Parsed headers of an endpoint's response.

    Attributes
    ----------
    request_id : str
        Id of the request that the response belongs to; empty if not sent.
    has_seal : bool
        Whether the response has the seal header, which endpoints add to
        their own responses.
    not_run : bool
        Whether the endpoint guarantees that it did not run the request.
    misdirected : bool
        Whether the request reached the wrong endpoint, or one that does not
        hold the requested layers.
    fault_address : str or None
        Address of the faulty pipeline stage.
    """

    request_id: str
    has_seal: bool
    not_run: bool
    misdirected: bool
    fault_address: str | None


def decode_request_head(headers):
    """Parse the headers of a caller's request.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Lower-case names and values.

    Returns
    -------
    RequestHead
    """
    values = dict(headers)
    prompt_tokens, output_tokens = _decode_tokens(values)
    return RequestHead(
        request_id=_decode_text(values, _REQUEST_ID) or '',
        wait_s=_decode_wait_s(values),
        key=_decode_key(values),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        last_event_id=_decode_text(values, _LAST_EVENT_ID),
        shared_parts=_decode_shared_parts(values),
    )


def decode_response_head(status, headers):
    """Parse the headers of an endpoint's response.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    headers : iterable of (bytes, bytes)
        Lower-case names and values.

    Returns
    -------
    ResponseHead
    """
    values = dict(headers)
    return ResponseHead(
        request_id=_decode_text(values, _REQUEST_ID) or '',
        has_seal=_RESPONSE_SEAL in values,
        not_run=_NOT_EXECUTED in values or status == _MISDIRECTED,
        misdirected=status == _MISDIRECTED,
        fault_address=_decode_text(values, _FAULT_ADDRESS),
    )


def filter_request_headers(headers, hide_key):
    """Return the caller's headers that are forwarded to endpoints.

    Parameters
    ----------
    headers : iterable of (bytes, bytes, bytes)
        Lower-case name, name as sent, and value.
    hide_key : bool
        Whether to omit the API key.

    Returns
    -------
    list of (bytes, bytes)
    """
    headers = list(headers)
    excluded = (
        _HOP_BY_HOP_HEADERS
        | _REPLACED_HEADERS
        | _list_connection_options(headers)
    )
    if hide_key:
        excluded |= {_AUTHORIZATION}
    return [
        (sent_name, value)
        for name, sent_name, value in headers
        if name not in excluded
    ]


def filter_response_headers(headers):
    """Return the endpoint's headers that are forwarded to the caller.

    Parameters
    ----------
    headers : iterable of (bytes, bytes, bytes)
        Lower-case name, name as sent, and value.

    Returns
    -------
    list of (bytes, bytes)
    """
    headers = list(headers)
    excluded = _HOP_BY_HOP_HEADERS | _list_connection_options(headers)
    excluded |= {b'content-length'}
    return [
        (sent_name, value)
        for name, sent_name, value in headers
        if name not in excluded
    ]


def make_request_headers(
    stages, remaining_s, rank, organisation, last_event_id
):
    """Return the headers that the router adds to a request.

    Parameters
    ----------
    stages : sequence of sniperudder.fleet.Stage
        Pipeline stages; the first one receives the request.
    remaining_s : float or None
        Remaining time for which the caller waits, seconds.
    rank : int or None
        Priority rank; 0 is the most urgent.
    organisation : str or None
        Organisation of the caller.
    last_event_id : str or None
        Id of the event after which the stream is resumed.

    Returns
    -------
    list of (bytes, bytes)
    """
    first_stage = stages[0]
    headers = [(_EXPECTED_ENDPOINT, first_stage.endpoint.id.encode())]
    if remaining_s is not None:
        remaining_ms = max(1, int(remaining_s * _MS_PER_S))
        headers.append((_DEADLINE, b'%d' % remaining_ms))
    if organisation is not None:
        headers.append((_TENANT, organisation.encode()))
    if rank is not None:
        headers.append((_URGENCY, b'%d' % min(max(rank, 0), _MAX_RANK)))
    if first_stage.layers is not None:
        headers.append((_HOP_COUNT, format_path(stages).encode()))
    if last_event_id is not None:
        headers.append((_LAST_EVENT_ID, last_event_id.encode()))
    return headers


def make_control_headers(endpoint, call_id):
    """Return the headers of a report or order request to an endpoint.

    Parameters
    ----------
    endpoint : sniperudder.fleet.Endpoint
    call_id : str
        Id of the call, which its response may state.

    Returns
    -------
    list of (bytes, bytes)
    """
    return [
        (_EXPECTED_ENDPOINT, endpoint.id.encode()),
        (_REQUEST_ID, call_id.encode()),
    ]


def format_path(stages):
    """Return a chain of stages in the path syntax of the engines."""
    return ','.join(
        f'{stage.endpoint.address}={stage.layers.start}-{stage.layers.end}'
        if stage.layers
        else stage.endpoint.address
        for stage in stages
    )


def _decode_text(values, name):
    value = values.get(name)
    return None if value is None else value.decode('latin-1').strip()


def _decode_wait_s(values):
    text = _decode_text(values, _DEADLINE)
    try:
        wait_s = math.nan if text is None else float(text) / _MS_PER_S
    except ValueError:
        wait_s = math.nan
    # A malformed deadline is treated as no deadline.
    return wait_s if math.isfinite(wait_s) else None


def _decode_key(values):
    scheme, _, key = (_decode_text(values, _AUTHORIZATION) or '').partition(
        ' '
    )
    return key.strip() if scheme.lower() == _API_KEY_SCHEME else None


def _decode_tokens(values):
    text = _decode_text(values, _TOKEN_COUNT) or ''
    prompt_tokens, _, limit = text.partition(',')
    hint = _decode_text(values, _LENGTH_HINT) or limit
    return _decode_count(prompt_tokens), min(
        _decode_count(hint), _decode_count(limit) or _decode_count(hint)
    )


def _decode_shared_parts(values):
    entries = (_decode_text(values, _PREFIX_HASH) or '').split(',')
    parts = [entry.partition(':')[0].strip().lower() for entry in entries]
    return tuple(dict.fromkeys(part for part in parts[:-1] if part))


def _decode_count(text):
    text = text.strip()
    if not text.isdecimal():
        return 0
    if len(text) > _MAX_ID_DIGITS:
        return _MAX_COUNT
    return min(int(text), _MAX_COUNT)


def _list_connection_options(headers):
    options = set()
    for name, _, value in headers:
        if name == b'connection':
            options.update(
                option.strip().lower() for option in value.split(b',')
            )
    return options
