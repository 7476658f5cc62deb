"""Translation of the platform's HTTP headers."""

import dataclasses

_MS_PER_S = 1000.0

_REQUEST_ID = b'x-sniperudder-request-id'
_DEADLINE = b'x-sniperudder-request-deadline'
_TOKENS = b'x-sniperudder-token-count'
_LENGTH_HINT = b'x-sniperudder-length-hint'
_LAST_EVENT_ID = b'last-event-id'
_AUTHORIZATION = b'authorization'
_TENANT = b'x-sniperudder-tenant'
_EXPECT_INSTANCE = b'x-sniperudder-expect-instance'
_URGENCY = b'x-sniperudder-request-urgency'
_HOPS = b'x-sniperudder-hop-count'
_SEAL = b'x-sniperudder-response-seal'
_NOT_RUN = b'x-sniperudder-not-executed'
_FAULT_ADDRESS = b'at-server'
_KEY_SCHEME = 'token'
_MISDIRECTED = 421
_MAX_URGENCY = 9

# Headers that only this product sets, or that it replaces.
_OWN = frozenset(
    {
        _DEADLINE,
        _TENANT,
        _EXPECT_INSTANCE,
        _URGENCY,
        _HOPS,
        _LAST_EVENT_ID,
        b'content-length',
        b'host',
    }
)

# Headers that concern one connection (RFC 9110, section 7.6.1).
_HOP_BY_HOP = frozenset(
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
    """What a caller's headers say.

    Attributes
    ----------
    request_id : str
        Empty where the caller sent none.
    wait_s : float or None
        How long the caller waits for the answer, seconds.
    key : str or None
        API key.
    prompt_tokens, answer_tokens : int
        Size of a generation; the second is the largest, or where the
        caller estimates it, the estimate. 0 where not told.
    last_event_id : str or None
        Event after which a stream goes on.
    """

    request_id: str
    wait_s: float | None
    key: str | None
    prompt_tokens: int
    answer_tokens: int
    last_event_id: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """What an endpoint's headers say.

    Attributes
    ----------
    request_id : str
        Request that the answer belongs to; empty where not told.
    sealed : bool
        Whether the endpoint's digest comes with it.
    not_run : bool
        Whether the endpoint promises that it did not run the request.
    misplaced : bool
        Whether it is not the endpoint that was meant, or does not hold its
        part.
    fault_address : str or None
        Address of the stage that is at fault.
    """

    request_id: str
    sealed: bool
    not_run: bool
    misplaced: bool
    fault_address: str | None


def read_request_head(headers):
    """Read a caller's headers.

    Parameters
    ----------
    headers : iterable of (bytes, bytes)
        Names in lower case.

    Returns
    -------
    RequestHead
    """
    found = dict(headers)
    prompt, answer = _read_tokens(found)
    return RequestHead(
        request_id=_read_text(found, _REQUEST_ID) or '',
        wait_s=_read_wait_s(found),
        key=_read_key(found),
        prompt_tokens=prompt,
        answer_tokens=answer,
        last_event_id=_read_text(found, _LAST_EVENT_ID),
    )


def read_answer_head(status, headers):
    """Read an endpoint's headers; see `read_request_head`.

    Returns
    -------
    AnswerHead
    """
    found = dict(headers)
    return AnswerHead(
        request_id=_read_text(found, _REQUEST_ID) or '',
        sealed=_SEAL in found,
        not_run=_NOT_RUN in found or status == _MISDIRECTED,
        misplaced=status == _MISDIRECTED,
        fault_address=_read_text(found, _FAULT_ADDRESS),
    )


def make_forwarded(headers, hide_key):
    """Return the caller's headers that every endpoint receives.

    Parameters
    ----------
    headers : iterable of (bytes, bytes, bytes)
        Name in lower case, name as sent, value.
    hide_key : bool
        Whether the API key stays here.

    Returns
    -------
    list of (bytes, bytes)
    """
    headers = list(headers)
    dropped = _HOP_BY_HOP | _OWN | _list_connection_options(headers)
    if hide_key:
        dropped |= {_AUTHORIZATION}
    return [
        (raw, value) for name, raw, value in headers if name not in dropped
    ]


def make_answer_headers(headers):
    """Return the endpoint's headers that its caller receives.

    Parameters and result are as in `make_forwarded`.
    """
    headers = list(headers)
    dropped = _HOP_BY_HOP | _list_connection_options(headers)
    dropped |= {b'content-length'}
    return [
        (raw, value) for name, raw, value in headers if name not in dropped
    ]


def make_send_headers(parts, left_s, rank, organisation, last_event_id):
    """Return the headers that this product adds to a request.

    Parameters
    ----------
    parts : sequence of sniperudder.fleet.Part
        The first receives the request.
    left_s : float or None
        How much longer the caller waits, seconds.
    rank : int or None
    organisation : str or None
    last_event_id : str or None

    Returns
    -------
    list of (bytes, bytes)
    """
    first = parts[0]
    headers = [(_EXPECT_INSTANCE, first.endpoint.id.encode())]
    if left_s is not None:
        left_ms = max(1, int(left_s * _MS_PER_S))
        headers.append((_DEADLINE, b'%d' % left_ms))
    if organisation is not None:
        headers.append((_TENANT, organisation.encode()))
    if rank is not None:
        headers.append((_URGENCY, b'%d' % min(max(rank, 0), _MAX_URGENCY)))
    if first.layers is not None:
        headers.append((_HOPS, write_path(parts).encode()))
    if last_event_id is not None:
        headers.append((_LAST_EVENT_ID, last_event_id.encode()))
    return headers


def make_call_headers(endpoint):
    """Return the headers of a report or order that is for one endpoint.

    Returns
    -------
    list of (bytes, bytes)
    """
    return [(_EXPECT_INSTANCE, endpoint.id.encode())]


def write_path(parts):
    """Return a chain as the engines read it."""
    return ','.join(
        f'{part.endpoint.address}={part.layers.start}-{part.layers.end}'
        if part.layers
        else part.endpoint.address
        for part in parts
    )


def _read_text(found, name):
    value = found.get(name)
    return None if value is None else value.decode('latin-1').strip()


def _read_wait_s(found):
    text = _read_text(found, _DEADLINE)
    try:
        return None if text is None else float(text) / _MS_PER_S
    except ValueError:
        # A caller that names no number is taken to wait without limit.
        return None


def _read_key(found):
    scheme, _, key = (_read_text(found, _AUTHORIZATION) or '').partition(' ')
    return key.strip() if scheme.lower() == _KEY_SCHEME else None


def _read_tokens(found):
    text = _read_text(found, _TOKENS) or ''
    prompt, _, longest = text.partition(',')
    hint = _read_text(found, _LENGTH_HINT) or longest
    return _read_count(prompt), min(
        _read_count(hint), _read_count(longest) or _read_count(hint)
    )


def _read_count(text):
    return int(text) if text.strip().isdecimal() else 0


def _list_connection_options(headers):
    options = set()
    for name, _, value in headers:
        if name == b'connection':
            options.update(
                option.strip().lower() for option in value.split(b',')
            )
    return options
