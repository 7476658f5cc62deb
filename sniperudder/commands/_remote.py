"""Commands that send a request to an instance over HTTP."""

import dataclasses
import json
import os
import uuid

import urllib3

from sniperudder.commands._status import CommandFailed
from sniperudder.commands._status import Status
from sniperudder import outcomes
from sniperudder import queries

_KEY_VARIABLE = 'SNIPERUDDER_KEY'
_ADDRESS_VARIABLE = 'SNIPERUDDER_ADDRESS'

# The instance may use the full timeout given by the user; the HTTP timeout
# is longer by this margin, so that the response can still arrive.
_RESPONSE_MARGIN_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Response:
    """Parsed response of an instance.

    Attributes
    ----------
    status : int
        HTTP status.
    columns, rows, missing : list
        Table, and names of the instances that did not respond.
    detail : str
    execution : str
        Execution class of the result code; empty without a code.
    text : str
        Response body.
    """

    status: int
    columns: list
    rows: list
    missing: list
    detail: str
    execution: str
    text: str


def query(text, *, address='', json=False, timeout_s=10.0):
    """Query the state of the fleet: what runs, what was refused, and why.

    Any instance can answer for the whole fleet. The operator key is read
    from the environment variable SNIPERUDDER_KEY.

    Parameters
    ----------
    text : str
        The query, in quotes; docs/QUERIES.md describes the language.
    address : str
        Admin address of an instance, host:port; by default the value of
        SNIPERUDDER_ADDRESS.
    json : bool
        Print the JSON response unchanged.
    timeout_s : float
        Time in seconds that the instance waits for the others; 10 by
        default.
    """
    try:
        response = _post('query', text, '', address, timeout_s)
    except urllib3.exceptions.HTTPError as error:
        raise CommandFailed(
            Status.UNREACHABLE, _describe_network_error(error)
        ) from error
    _check_refusal(response)
    return _print_response(response, json)


def command(text, *, address='', id='', json=False, timeout_s=10.0):
    """Submit a command, such as the withdrawal of an endpoint.

    Commands are idempotent by id. If it is unknown whether a command was
    accepted, repeat it with the same id: it is applied once, and the
    response is the same.

    Parameters
    ----------
    text : str
        The command, in quotes; docs/QUERIES.md describes the language.
    address : str
        Admin address of an instance, host:port; by default the value of
        SNIPERUDDER_ADDRESS.
    id : str
        Id of the command; by default a new one.
    json : bool
        Print the JSON response unchanged.
    timeout_s : float
        Time in seconds that the instance waits for the others; 10 by
        default.
    """
    id = id or uuid.uuid4().hex
    try:
        response = _post('command', text, id, address, timeout_s)
    except urllib3.exceptions.NewConnectionError as error:
        raise CommandFailed(
            Status.UNREACHABLE, _describe_network_error(error)
        ) from error
    except urllib3.exceptions.ConnectTimeoutError as error:
        raise CommandFailed(
            Status.UNREACHABLE, _describe_network_error(error)
        ) from error
    except urllib3.exceptions.HTTPError as error:
        raise _create_in_doubt_error(
            id, _describe_network_error(error)
        ) from error
    if _is_in_doubt(response):
        raise _create_in_doubt_error(
            id, queries.remove_control_chars(response.detail)
        )
    _check_refusal(response)
    return _print_response(response, json)


def _is_in_doubt(response):
    if response.execution:
        return response.execution == outcomes.Execution.IN_DOUBT.value
    # With these statuses the server may have executed the command before it
    # failed.
    return response.status in (500, 502, 504)


def _create_in_doubt_error(id, reason):
    message = f'in doubt ({reason}); repeat with --id {id}'
    return CommandFailed(Status.IN_DOUBT, message)


def _post(path, text, id, address, timeout_s):
    address = address or os.environ.get(_ADDRESS_VARIABLE, '')
    if not address:
        message = f'no --address given and {_ADDRESS_VARIABLE} is not set'
        raise CommandFailed(Status.USAGE, message)
    key = os.environ.get(_KEY_VARIABLE, '')
    if not key:
        raise CommandFailed(Status.USAGE, f'{_KEY_VARIABLE} is not set')
    fields = {'text': text, 'id': id, 'timeout_s': timeout_s}
    with urllib3.PoolManager() as pool:
        response = pool.request(
            'POST',
            f'http://{address}/admin/{path}',
            body=json.dumps(fields).encode(),
            headers={
                'Authorization': f'Bearer {key}',
                'Content-Type': 'application/json',
            },
            timeout=timeout_s + _RESPONSE_MARGIN_S,
            retries=False,
            redirect=False,
        )
    return _parse_response(response.status, response.data)


def _parse_response(status, data):
    text = data.decode('utf-8', 'replace')
    try:
        fields = json.loads(text)
    except ValueError:
        fields = None
    if not isinstance(fields, dict):
        # The response did not come from an instance.
        detail = f'HTTP status {status}, body is not a JSON object'
        return _Response(max(status, 500), [], [], [], detail, '', text)
    return _Response(
        status=status,
        columns=fields.get('columns') or [],
        rows=fields.get('rows') or [],
        missing=fields.get('missing') or [],
        detail=_read_detail(status, fields),
        execution=str(fields.get('class') or ''),
        text=text,
    )


def _read_detail(status, fields):
    detail = str(fields.get('detail') or '')
    if 'code' in fields:
        return f'{fields["code"]} {fields.get("type", "")}: {detail}'
    if status != 200:
        return detail or f'HTTP status {status}'
    return detail


def _check_refusal(response):
    if response.status != 200:
        message = queries.remove_control_chars(response.detail)
        raise CommandFailed(Status.REFUSED, message)


def _print_response(response, as_json):
    if as_json:
        print(response.text)
    else:
        _print_table(response)
    return Status.PARTIAL if response.missing else Status.DONE


def _print_table(response):
    if response.columns:
        print(queries.render_grid(response.columns, response.rows))
    if response.detail:
        print(queries.remove_control_chars(response.detail))
    if response.missing:
        names = ', '.join(map(str, response.missing))
        print('no answer from: ' + queries.remove_control_chars(names))


def _describe_network_error(error):
    """Describe a network error without library internals."""
    if isinstance(error, urllib3.exceptions.NewConnectionError):
        return 'cannot connect'
    if isinstance(error, urllib3.exceptions.ConnectTimeoutError):
        return 'connecting timed out'
    if isinstance(error, urllib3.exceptions.TimeoutError):
        return 'response timed out'
    return f'connection failed: {type(error).__name__}'
