"""WSGI application of the administration interface."""

import dataclasses
import json
import re
import time
import urllib.parse
import uuid

from sniperudder import errors
from sniperudder import intents
from sniperudder.operators import _key_limits
from sniperudder.operators import _responses
from sniperudder.operators import _verification
from sniperudder import outcomes
from sniperudder.outcomes import Code
from sniperudder import queries
from sniperudder.settings import Role

_MAX_BODY_BYTES = 64 * 1024
_DEFAULT_TIMEOUT_S = 5.0
_MAX_TIMEOUT_S = 60.0
_WATCH_POLL_S = 0.2
_COMMAND_ID = re.compile(r'[\w.:-]{1,100}')
_VERIFY_PATH = '/admin/verify/'

# All other intents require the role ADMINISTER.
_OPERATE_INTENTS = (
    intents.Withdraw,
    intents.Return,
    intents.StopInstance,
    intents.Shed,
)


@dataclasses.dataclass(frozen=True, slots=True)
class _RequestBody:
    """The validated body of an operator request.

    Attributes
    ----------
    text : str
    command_id : str
    timeout_s : float
    """

    text: str
    command_id: str
    timeout_s: float


class Application:
    """Serves operator requests through a backend.

    Parameters
    ----------
    backend : OperatorBackend
    find_operator : callable
        Takes a presented key; returns a record with ``name`` and
        ``role``, or None. Compares in constant time.
    read_clock : callable
        Returns seconds on the clock of the backend's tables.
    """

    __slots__ = ('_backend', '_find_operator', '_read_clock', '_key_limiter')

    def __init__(self, backend, find_operator, read_clock):
        self._backend = backend
        self._find_operator = find_operator
        self._read_clock = read_clock
        self._key_limiter = _key_limits.FailedKeyLimiter(read_clock)

    def __call__(self, environ, start_response):
        try:
            response = self._route(environ)
        except _responses.RequestRefused as refused:
            response = _responses.create_refusal_response(refused)
        except errors.GrammarError as error:
            response = _responses.create_refusal_response(
                _responses.RequestRefused(Code.BAD_SYNTAX, str(error))
            )
        return _responses.send_response(response, start_response)

    def _route(self, environ):
        operator = self._authenticate(environ)
        method, path = environ['REQUEST_METHOD'], environ['PATH_INFO']
        if method == 'GET' and path.startswith(_VERIFY_PATH):
            name = urllib.parse.unquote(path.removeprefix(_VERIFY_PATH))
            return self._verify(_check_id(name), _DEFAULT_TIMEOUT_S)
        if method == 'POST' and path == '/admin/query':
            return self._query(_read_body(environ))
        if method == 'POST' and path == '/admin/command':
            return self._command(_read_body(environ), operator)
        raise _responses.RequestRefused(Code.UNKNOWN_ROUTE)

    def _authenticate(self, environ):
        address = environ.get('REMOTE_ADDR', '')
        wait_s = self._key_limiter.get_wait(address)
        if wait_s > 0:
            raise _responses.RequestRefused(
                Code.TOO_MANY_GUESSES, retry_after_s=wait_s
            )
        header = environ.get('HTTP_AUTHORIZATION', '')
        scheme, _, key = header.partition(' ')
        operator = None
        if scheme.lower() == 'bearer' and key:
            operator = self._find_operator(key.strip())
            if operator is None:
                self._key_limiter.record_failure(address)
        if operator is None:
            raise _responses.RequestRefused(Code.UNKNOWN_KEY)
        return operator

    def _query(self, body):
        query = queries.parse_query(body.text)
        result = self._backend.run_query(query, body.timeout_s)
        return _responses.Response(result)

    def _command(self, body, operator):
        match queries.parse_command(body.text):
            case queries.SubmitIntent() as command:
                _check_role(operator, command.intent)
                return self._submit(command, body, operator)
            case queries.PlanIntent(intent):
                return _responses.Response(
                    self._backend.plan_intent(intent).result
                )
            case queries.VerifyCommand(command_id):
                return self._verify(command_id, body.timeout_s)
            case queries.WatchCommand(command_id):
                return self._watch(command_id, body.timeout_s)

    def _submit(self, command, body, operator):
        command_id = body.command_id or uuid.uuid4().hex
        # A repeated command returns its first outcome, so its plan is not
        # checked against the current state.
        if self._backend.verify(command_id).outcome is None:
            self._check_plan(command)
        outcome = self._backend.submit_command(
            command, command_id, operator.name, body.timeout_s
        )
        return _create_outcome_response(command_id, outcome)

    def _check_plan(self, command):
        plan = self._backend.plan_intent(command.intent)
        refusals = plan.list_blocking_objections(command.force)
        if refusals:
            detail = '; '.join(refusal.detail for refusal in refusals)
            raise _responses.RequestRefused(refusals[0].code, detail)

    def _verify(self, command_id, timeout_s):
        verification = self._backend.verify(command_id)
        query = _verification.create_work_query(verification)
        work_result = (
            self._backend.run_query(query, timeout_s) if query else None
        )
        result = _verification.tabulate_verification(
            verification, work_result, self._read_clock()
        )
        state = _verification.get_state(verification)
        return _responses.Response(result, state=state)

    def _watch(self, command_id, timeout_s):
        until = self._read_clock() + timeout_s
        while self._read_clock() < until:
            if self._backend.verify(command_id).in_force_everywhere:
                break
            time.sleep(_WATCH_POLL_S)
        return self._verify(command_id, _DEFAULT_TIMEOUT_S)


def create_application(backend, find_operator, read_clock):
    """Return the administration WSGI application of an instance.

    Examples
    --------
    >>> app = create_application(None, lambda key: None, lambda: 0.0)
    >>> environ = {'REQUEST_METHOD': 'GET', 'PATH_INFO': '/'}
    >>> _ = app(environ, lambda status, headers: print(status))
    401 Unauthorized
    """
    return Application(backend, find_operator, read_clock)


def _check_role(operator, intent):
    operates = isinstance(intent, _OPERATE_INTENTS)
    needed = Role.OPERATE if operates else Role.ADMINISTER
    if operator.role < needed:
        raise _responses.RequestRefused(
            Code.FORBIDDEN,
            f'{operator.name} may {operator.role.name.lower()}; '
            f'this needs the role {needed.name.lower()}',
        )


def _check_id(name):
    if not _COMMAND_ID.fullmatch(name):
        raise _responses.RequestRefused(
            Code.BAD_FIELD,
            'an id has 1 to 100 letters, digits, "-", "_", "." or ":"',
        )
    return name


def _read_body(environ):
    try:
        length = int(environ.get('CONTENT_LENGTH') or 0)
    except ValueError:
        raise _responses.RequestRefused(Code.BAD_FIELD) from None
    if length > _MAX_BODY_BYTES:
        raise _responses.RequestRefused(Code.BODY_TOO_LARGE)
    data = environ['wsgi.input'].read(length)
    try:
        fields = json.loads(data)
    # Deeply nested JSON exhausts the stack of the parser.
    except (ValueError, RecursionError):
        raise _responses.RequestRefused(Code.BAD_JSON) from None
    return _parse_body(fields)


def _parse_body(fields):
    if not isinstance(fields, dict):
        raise _responses.RequestRefused(Code.BAD_JSON, 'expected an object')
    text = fields.get('text')
    command_id = fields.get('id') or ''
    timeout_s = fields.get('timeout_s', _DEFAULT_TIMEOUT_S)
    if not isinstance(text, str) or not isinstance(command_id, str):
        raise _responses.RequestRefused(
            Code.BAD_FIELD, 'text and id must be strings'
        )
    is_number = isinstance(timeout_s, int | float)
    if not is_number or not 0 < timeout_s <= _MAX_TIMEOUT_S:
        raise _responses.RequestRefused(
            Code.BAD_FIELD,
            f'timeout_s must lie between 0 and {_MAX_TIMEOUT_S:g}',
        )
    if command_id:
        _check_id(command_id)
    return _RequestBody(text, command_id, float(timeout_s))


def _create_outcome_response(command_id, outcome):
    match outcome:
        case outcomes.CommittedAt(version):
            return _responses.Response(
                queries.Result(
                    ('id', 'state', 'version'),
                    [(command_id, 'committed', version)],
                    detail=f'verify {command_id} tells where it is in force',
                ),
                state='committed',
            )
        case outcomes.LostTo(version, winner, name):
            raise _responses.RequestRefused(
                Code.COMMAND_LOST,
                f'{winner} of {name} changed the same subject first, '
                f'at version {version}; look, then decide anew',
            )
        case outcomes.NotDone(code, detail):
            raise _responses.RequestRefused(code, detail)
    raise _responses.RequestRefused(
        Code.COMMAND_IN_DOUBT, f'repeat it with the id {command_id}'
    )
