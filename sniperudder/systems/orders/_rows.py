"""Rows that record orders in the table service of the platform."""

import dataclasses
import enum
import hashlib
import json
import urllib.parse


class RowState(enum.Enum):
    """State of an order as recorded in its row."""

    CLAIMED = 'claimed'
    DONE = 'done'
    IN_DOUBT = 'in doubt'
    RELEASED = 'released'


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRow:
    """Content of the row for one idempotency key.

    Attributes
    ----------
    state : RowState
    digest : str
        Digest of the order's body.
    nonce : str
        Unique identifier of the claim that the row belongs to.
    instance : str
        Entry instance that wrote the row.
    status : int
        HTTP status of the service's result.
    body : str
        Body of the service's result.
    """

    state: RowState
    digest: str
    nonce: str
    instance: str
    status: int = 0
    body: str = ''


def digest_body(body):
    """Return the digest used to compare the bodies of orders.

    Examples
    --------
    >>> digest_body('{}') == digest_body('[]')
    False
    """
    data = body.encode('utf-8', 'surrogatepass')
    return hashlib.sha256(data).hexdigest()


def format_service_key(organisation, service, key):
    """Return the idempotency key that is sent to the service.

    The parts are quoted, so that keys of different organisations or
    services cannot collide, whatever their names.

    Examples
    --------
    >>> format_service_key('north/west', 'swatches', '7')
    'north%2Fwest/swatches/7'
    """
    parts = (organisation, service, key)
    return '/'.join(_quote_part(part) for part in parts)


def format_row_key(organisation, service, key):
    """Return the key of the row in the table service.

    Examples
    --------
    >>> format_row_key('north', 'swatches', 'a/b')
    'order/north/swatches/a%2Fb'
    """
    return 'order/' + format_service_key(organisation, service, key)


def encode_row(row):
    """Return a row's content as JSON."""
    record = dataclasses.asdict(row)
    record['state'] = row.state.value
    return json.dumps(record, separators=(',', ':'))


def decode_row(value):
    """Decode a value that ``encode_row`` returned.

    Returns None for a value that no version of this program wrote.

    Examples
    --------
    >>> row = OrderRow(RowState.CLAIMED, 'd', 'n', 'entry-1')
    >>> decode_row(encode_row(row)) == row
    True
    """
    try:
        record = json.loads(value)
        state = RowState(record.pop('state'))
        return OrderRow(state=state, **record)
    except (ValueError, TypeError, KeyError, AttributeError):
        return None


def _quote_part(part):
    return urllib.parse.quote(part, safe='', errors='surrogatepass')
