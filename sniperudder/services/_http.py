"""HTTP client for plain services; see docs/ENDPOINTS.md."""

import dataclasses
import json
import time
import urllib.parse

from sniperudder import clocks
from sniperudder import inputs
from sniperudder.services import _client
from sniperudder import transports

_HTTP_OK = 200
_MIN_SERVER_ERROR_STATUS = 500
_NO_RESULT_STATUSES = frozenset({408, 425, 429})
_KEY_HEADER = 'Idempotency-Key'


class HttpServiceClient(_client.ServiceClient):
    """Calls plain services over HTTP.

    Parameters
    ----------
    transport : sniperudder.transports.HttpTransport
    """

    def __init__(self, transport):
        self._transport = transport

    def call(self, effect, timeout_s):
        """See base class."""
        # Read the wall clock first: if the process is suspended between the
        # two readings, the call expires earlier and not later.
        wall_now_s = time.time()
        left_s = effect.start_by - clocks.read_clock()
        try:
            body = effect.body.encode()
        except UnicodeEncodeError:
            return _make_failure(effect, inputs.Delivery.NOT_SENT)
        if left_s <= 0:
            return _make_failure(effect, inputs.Delivery.NOT_SENT)
        key = _quote_key(effect.key)
        headers = {
            'Content-Type': 'application/json',
            _KEY_HEADER: key,
            'X-Deadline-S': f'{left_s:.3f}',
            'X-Expires-At': f'{wall_now_s + left_s:.3f}',
        }
        response = self._transport.exchange(
            'POST',
            effect.address,
            '/call',
            timeout_s,
            body=body,
            headers=headers,
            send_within_s=left_s,
        )
        if isinstance(response, transports.CallFailure):
            return _make_failure(effect, response.delivery)
        if response.not_run:
            return _make_failure(effect, inputs.Delivery.NOT_SENT)
        if not _is_result(response, key):
            return _make_failure(effect, inputs.Delivery.LOST)
        return _make_result(effect, response)

    def look_up(self, effect, timeout_s):
        """See base class."""
        lookup = self._look_up(effect, timeout_s)
        return dataclasses.replace(lookup, lookup_number=effect.lookup_number)

    def _look_up(self, effect, timeout_s):
        path = f'/result/{_quote_key(effect.key)}'
        response = self._transport.exchange(
            'GET', effect.address, path, timeout_s
        )
        if (
            isinstance(response, transports.CallFailure)
            or response.status != _HTTP_OK
        ):
            return inputs.KeyLookupReturned(effect.order, answered=False)
        try:
            return _parse_lookup(effect, json.loads(response.body))
        except (KeyError, TypeError, ValueError):
            return inputs.KeyLookupReturned(effect.order, answered=False)


def _quote_key(key):
    return urllib.parse.quote(key, safe='', errors='surrogatepass')


def _is_result(response, key):
    """Return whether a response is the service's own result of the call.

    Server errors, timeouts and rate limits may come from an intermediary
    while the service is still running the call.
    """
    if response.headers.get(_KEY_HEADER, key) != key:
        return False
    if response.execution == 'ran':
        return True
    return (
        response.status < _MIN_SERVER_ERROR_STATUS
        and response.status not in _NO_RESULT_STATUSES
    )


def _make_result(effect, response):
    try:
        body = response.body.decode()
    except UnicodeDecodeError:
        return _make_failure(effect, inputs.Delivery.LOST)
    return inputs.ServiceReturned(
        order=effect.order,
        status=response.status,
        body=body,
        address=effect.address,
    )


def _make_failure(effect, delivery):
    return inputs.ServiceReturned(
        order=effect.order, delivery=delivery, address=effect.address
    )


def _parse_lookup(effect, value):
    if value['found'] is False:
        return inputs.KeyLookupReturned(
            effect.order,
            answered=True,
            started=value.get('started') is True,
        )
    status, body = value['status'], value['body']
    if value['found'] is not True or type(status) is not int:
        raise ValueError('field found is no boolean, or status no integer')
    if type(body) is not str:
        raise ValueError('field body is no string')
    return inputs.KeyLookupReturned(
        order=effect.order,
        answered=True,
        found=True,
        status=status,
        body=body,
    )


def create_service_client(transport=None):
    """Return a client for all plain services.

    Parameters
    ----------
    transport : sniperudder.transports.HttpTransport, optional
    """
    return HttpServiceClient(transport or transports.create_transport())
