"""A client of plain services over HTTP, see docs/ENDPOINTS.md."""

import dataclasses
import json
import time
import urllib.parse

from sniperudder import clocks
from sniperudder import inputs
from sniperudder.services import _client
from sniperudder import transports

_OK = 200
_FIRST_SERVER_ERROR = 500
_NO_RESULT = frozenset({408, 425, 429})
_KEY_HEADER = 'Idempotency-Key'


class HttpServiceClient(_client.ServiceClient):
    """Calls plain services over HTTP.

    Parameters
    ----------
    transport : sniperudder.transports.HttpTransport
    """

    def __init__(self, transport):
        self._transport = transport

    def call(self, call, timeout_s):
        """See base class."""
        # The wall clock first: a freeze in between makes the call expire
        # earlier and not later.
        wall = time.time()
        left_s = call.start_by - clocks.read_clock()
        try:
            body = call.body.encode()
        except UnicodeEncodeError:
            return _make_failure(call, inputs.Delivery.NOT_SENT)
        if left_s <= 0:
            return _make_failure(call, inputs.Delivery.NOT_SENT)
        key = _quote(call.key)
        headers = {
            'Content-Type': 'application/json',
            _KEY_HEADER: key,
            'X-Deadline-S': f'{left_s:.3f}',
            'X-Expires-At': f'{wall + left_s:.3f}',
        }
        reply = self._transport.exchange(
            'POST',
            call.address,
            '/call',
            timeout_s,
            body=body,
            headers=headers,
            send_within_s=left_s,
        )
        if isinstance(reply, transports.NoReply):
            return _make_failure(call, reply.delivery)
        if reply.not_run:
            return _make_failure(call, inputs.Delivery.NOT_SENT)
        if not _is_result(reply, key):
            return _make_failure(call, inputs.Delivery.LOST)
        return _make_result(call, reply)

    def ask(self, call, timeout_s):
        """See base class."""
        told = self._ask(call, timeout_s)
        return dataclasses.replace(told, question=call.question)

    def _ask(self, call, timeout_s):
        path = f'/result/{_quote(call.key)}'
        reply = self._transport.exchange('GET', call.address, path, timeout_s)
        if isinstance(reply, transports.NoReply) or reply.status != _OK:
            return inputs.ServiceTold(call.order, answered=False)
        try:
            return _read_told(call, json.loads(reply.body))
        except (KeyError, TypeError, ValueError):
            return inputs.ServiceTold(call.order, answered=False)


def _quote(key):
    return urllib.parse.quote(key, safe='', errors='surrogatepass')


def _is_result(reply, key):
    """Whether an answer is the service's own result of the call.

    Server errors and refusals for load may come from something in
    between, while the call runs on.
    """
    if reply.headers.get(_KEY_HEADER, key) != key:
        return False
    if reply.execution == 'ran':
        return True
    return (
        reply.status < _FIRST_SERVER_ERROR and reply.status not in _NO_RESULT
    )


def _make_result(call, reply):
    try:
        body = reply.body.decode()
    except UnicodeDecodeError:
        return _make_failure(call, inputs.Delivery.LOST)
    return inputs.ServiceReturned(
        order=call.order,
        status=reply.status,
        body=body,
        address=call.address,
    )


def _make_failure(call, delivery):
    return inputs.ServiceReturned(
        order=call.order, delivery=delivery, address=call.address
    )


def _read_told(call, value):
    if value['found'] is False:
        return inputs.ServiceTold(
            call.order,
            answered=True,
            started=value.get('started') is True,
        )
    status, body = value['status'], value['body']
    if value['found'] is not True or type(status) is not int:
        raise ValueError('neither found nor not')
    if type(body) is not str:
        raise ValueError('no body')
    return inputs.ServiceTold(
        order=call.order,
        answered=True,
        found=True,
        status=status,
        body=body,
    )


def create_service_client(transport=None):
    """Return a client of all plain services.

    Parameters
    ----------
    transport : sniperudder.transports.HttpTransport, optional
    """
    return HttpServiceClient(transport or transports.create_transport())
