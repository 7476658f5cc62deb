"""Commands that ask an instance over HTTP."""

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

# The instance is given the time asked for; its answer takes some more.
_MARGIN_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """What an instance answered.

    Attributes
    ----------
    status : int
        HTTP status.
    columns, rows, missing : list
        Table, and names of the instances that did not contribute.
    detail : str
    execution : str
        Class of the result code of a refusal.
    text : str
        The answer as it came.
    """

    status: int
    columns: list
    rows: list
    missing: list
    detail: str
    execution: str
    text: str


def query(text, *, address='', json=False, timeout_s=10.0):
    """Ask the fleet what is running, what was refused, and why.

    Any instance answers for all. The operator's key is read from the
    environment variable SNIPERUDDER_KEY.

    Parameters
    ----------
    text : str
        The query, in quotes; docs/QUERIES.md describes the language.
    address : str
        Admin address of an instance, host:port; SNIPERUDDER_ADDRESS
        where absent.
    json : bool
        Print the answer as JSON, as it came.
    timeout_s : float
        Longest wait of the instance for others, seconds; 10 where
        absent.
    """
    try:
        answer = _post('query', text, '', address, timeout_s)
    except urllib3.exceptions.HTTPError as error:
        raise CommandFailed(Status.UNREACHABLE, _describe(error)) from error
    _check_refusal(answer)
    return _print_answer(answer, json)


def command(text, *, address='', id='', json=False, timeout_s=10.0):
    """Give a command, such as to withdraw an endpoint.

    A command has an id. Where it is unknown whether a command was taken,
    repeat it with the same id: it is taken once, and the answer is the
    same.

    Parameters
    ----------
    text : str
        The command, in quotes; docs/QUERIES.md describes the language.
    address : str
        Admin address of an instance, host:port; SNIPERUDDER_ADDRESS
        where absent.
    id : str
        Id of the command; a new one where absent.
    json : bool
        Print the answer as JSON, as it came.
    timeout_s : float
        Longest wait of the instance for others, seconds; 10 where
        absent.
    """
    id = id or uuid.uuid4().hex
    try:
        answer = _post('command', text, id, address, timeout_s)
    except urllib3.exceptions.NewConnectionError as error:
        raise CommandFailed(Status.UNREACHABLE, _describe(error)) from error
    except urllib3.exceptions.ConnectTimeoutError as error:
        raise CommandFailed(Status.UNREACHABLE, _describe(error)) from error
    except urllib3.exceptions.HTTPError as error:
        raise _create_doubt(id, _describe(error)) from error
    if _is_doubtful(answer):
        raise _create_doubt(id, queries.clean_text(answer.detail))
    _check_refusal(answer)
    return _print_answer(answer, json)


def _is_doubtful(answer):
    if answer.execution:
        return answer.execution == outcomes.Execution.IN_DOUBT.value
    # A server's failure says nothing about what it did before.
    return answer.status in (500, 502, 504)


def _create_doubt(id, reason):
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
            timeout=timeout_s + _MARGIN_S,
            retries=False,
            redirect=False,
        )
    return _read_answer(response.status, response.data)


def _read_answer(status, data):
    text = data.decode('utf-8', 'replace')
    try:
        fields = json.loads(text)
    except ValueError:
        fields = None
    if not isinstance(fields, dict):
        # Whatever answered, it was not an instance.
        detail = f'HTTP status {status} without an answer'
        return _Answer(max(status, 500), [], [], [], detail, '', text)
    return _Answer(
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


def _check_refusal(answer):
    if answer.status != 200:
        message = queries.clean_text(answer.detail)
        raise CommandFailed(Status.REFUSED, message)


def _print_answer(answer, as_json):
    if as_json:
        print(answer.text)
    else:
        _print_table(answer)
    return Status.PARTIAL if answer.missing else Status.DONE


def _print_table(answer):
    if answer.columns:
        print(queries.render_grid(answer.columns, answer.rows))
    if answer.detail:
        print(queries.clean_text(answer.detail))
    if answer.missing:
        names = ', '.join(map(str, answer.missing))
        print('no answer from: ' + queries.clean_text(names))


def _describe(error):
    """Describe an error of the network without its internals."""
    if isinstance(error, urllib3.exceptions.NewConnectionError):
        return 'cannot connect'
    if isinstance(error, urllib3.exceptions.ConnectTimeoutError):
        return 'no connection in time'
    if isinstance(error, urllib3.exceptions.TimeoutError):
        return 'no answer in time'
    return f'the connection failed: {type(error).__name__}'
