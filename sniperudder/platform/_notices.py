"""Parsing of the headers in which an endpoint speaks of itself."""

import math

from sniperudder import fleet

_LEAVING = b'server-leaving'
# Despite its name, this is the number of requests per second.
_RATE_LIMIT = b'server-limit'
_RETRY_AFTER = b'retry-after'
_UNAVAILABLE = 503

# Bounds of the accepted values; anything beyond is taken for a mistake and
# replaced by the bound.
_MAX_RATE_LIMIT = 1e6
_MAX_PAUSE_S = 3_600.0


def decode_notice(status, headers):
    """Parse what an endpoint says of itself in a response.

    Malformed values are left out, and excessive ones replaced by a bound. If
    a header occurs more than once, the strictest value applies.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    headers : iterable of (bytes, bytes)
        Lower-case names and values.

    Returns
    -------
    sniperudder.fleet.Notice

    Examples
    --------
    >>> notice = decode_notice(503, [(b'retry-after', b'1.5')])
    >>> notice.pause_s
    1.5
    >>> decode_notice(200, [(b'server-limit', b'nan')]).malformed
    ('server-limit: nan',)
    """
    leaving = False
    limits, pauses, malformed = [], [], []
    for name, value in headers:
        name, value = bytes(name), bytes(value)
        if name == _LEAVING:
            leaving = leaving or value.strip() == b'1'
            if value.strip() not in (b'0', b'1'):
                malformed.append(_describe(name, value))
        elif name == _RATE_LIMIT:
            _append_number(limits, name, value, _MAX_RATE_LIMIT, malformed)
        elif name == _RETRY_AFTER and status == _UNAVAILABLE:
            _append_number(pauses, name, value, _MAX_PAUSE_S, malformed)
    return fleet.Notice(
        leaving,
        min(limits, default=None),
        max(pauses, default=0.0),
        tuple(malformed),
    )


def _append_number(numbers, name, value, maximum, malformed):
    try:
        number = float(value)
    except ValueError:
        number = math.nan
    if number > maximum:
        malformed.append(_describe(name, value))
        numbers.append(maximum)
    elif number >= 0:
        numbers.append(number)
    else:
        malformed.append(_describe(name, value))


def _describe(name, value):
    return f'{name.decode()}: {value[:40].decode("latin-1")}'
