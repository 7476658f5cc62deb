"""Client of the platform's JSON protocol, see docs/PLATFORM.md."""

import json
import urllib.parse

from sniperudder.effects import Row
from sniperudder import inputs
from sniperudder.tableservice import _client
from sniperudder import transports

_OK = 200
_HEADERS = {'Content-Type': 'application/json'}

# Header with a number that rises each time the platform is restored.
_ERA_HEADER = 'X-Platform-Era'


class HttpPlatformClient(_client.PlatformClient):
    """Calls the platform over HTTP.

    Parameters
    ----------
    address : str
        ``host:port``.
    transport : sniperudder.transports.HttpTransport
    """

    def __init__(self, address, transport):
        self._address = address
        self._transport = transport

    def transact(self, call, timeout_s):
        """See base class."""
        response = self._exchange(
            'POST', '/transactions', timeout_s, _encode_transact(call)
        )
        if isinstance(response, transports.CallFailure):
            sent = response.delivery is not inputs.Delivery.NOT_SENT
            return inputs.Unknown() if sent else inputs.NotSent()
        if response.not_run:
            return inputs.NotSent()
        value = _decode(response)
        try:
            return _read_outcome(call, value, _read_era(response))
        except (KeyError, TypeError, ValueError):
            return inputs.Unknown()

    def scan(self, call, timeout_s):
        """See base class."""
        query = urllib.parse.urlencode(
            {
                'prefix': call.prefix,
                'after': call.after,
                'limit': call.limit,
            }
        )
        value = _decode(self._exchange('GET', f'/rows?{query}', timeout_s))
        try:
            rows = _read_rows(value['rows'])
            _check_scan(call, rows)
        except (KeyError, TypeError, ValueError):
            return None
        return rows

    def list_instances(self, timeout_s):
        """See base class."""
        value = _decode(self._exchange('GET', '/instances', timeout_s))
        try:
            return tuple(_read_instance(row) for row in value['instances'])
        except (KeyError, TypeError, ValueError):
            return None

    def get_object(self, name, timeout_s):
        """See base class."""
        response = self._exchange('GET', _make_object_path(name), timeout_s)
        if (
            isinstance(response, transports.Response)
            and response.status == _OK
        ):
            return response.body
        return None

    def put_object(self, name, data, timeout_s):
        """See base class."""
        response = self._exchange(
            'PUT', _make_object_path(name), timeout_s, data
        )
        return (
            isinstance(response, transports.Response)
            and response.status == _OK
        )

    def _exchange(self, method, path, timeout_s, body=None):
        return self._transport.exchange(
            method, self._address, path, timeout_s, body, _HEADERS
        )


def _encode_transact(call):
    return json.dumps(
        {
            'conditions': [
                {'key': condition.key, 'version': condition.version}
                for condition in call.conditions
            ],
            'writes': [
                {'key': write.key, 'value': write.value}
                for write in call.writes
            ],
            'reads': list(call.reads),
        }
    ).encode()


def _decode(response):
    """Return the JSON value of a successful response, or None."""
    if isinstance(response, transports.CallFailure) or response.status != _OK:
        return None
    try:
        return json.loads(response.body)
    except ValueError:
        return None


def _read_era(response):
    """Return the era that an answer states; 0 if it states none."""
    era = int(response.headers.get(_ERA_HEADER, 0))
    if era < 0:
        raise ValueError(f'era {era}')
    return era


def _read_outcome(call, value, era):
    rows = _read_rows(value['rows'])
    requested_keys = set(call.reads)
    requested_keys.update(condition.key for condition in call.conditions)
    if not requested_keys.issuperset(row.key for row in rows):
        raise ValueError('row was not requested')
    if value['committed'] is True:
        return inputs.Committed(rows, era)
    if value['committed'] is False:
        return inputs.Conflicted(rows, era)
    raise ValueError('committed is not a boolean')


def _read_rows(rows):
    return tuple(_read_row(row) for row in rows)


def _read_row(row):
    key, value, version = row['key'], row['value'], row['version']
    types = type(key), type(value), type(version)
    if types != (str, str, int) or version < 1:
        raise ValueError('malformed row')
    return Row(key, value, version)


def _check_scan(call, rows):
    keys = [row.key for row in rows]
    if keys != sorted(set(keys)) or len(keys) > call.limit:
        raise ValueError('rows out of order or above the limit')
    for key in keys:
        if not key.startswith(call.prefix) or key <= call.after:
            raise ValueError('row was not requested')


def _read_instance(row):
    entry = inputs.ListedInstance(
        name=row['name'],
        address=row['address'],
        data_centre=row['data_centre'],
        leaving=row['leaving'],
    )
    names = entry.name, entry.address, entry.data_centre
    if not all(type(name) is str for name in names):
        raise ValueError('malformed instance entry')
    if type(entry.leaving) is not bool:
        raise ValueError('malformed instance entry')
    return entry


def _make_object_path(name):
    return '/objects/' + urllib.parse.quote(name, safe='')


def create_platform_client(address, transport=None):
    """Return a client of the platform at an address.

    Parameters
    ----------
    address : str
        ``host:port``.
    transport : sniperudder.transports.HttpTransport, optional
    """
    used_transport = transport or transports.create_transport()
    return HttpPlatformClient(address, used_transport)
