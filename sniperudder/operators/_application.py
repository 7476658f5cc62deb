"""The WSGI application that operators talk to."""

import dataclasses
import json
import re
import time
import urllib.parse
import uuid

from sniperudder import errors
from sniperudder import intents
from sniperudder.operators import _answers
from sniperudder.operators import _guesses
from sniperudder.operators import _verification
from sniperudder import outcomes
from sniperudder.outcomes import Code
from sniperudder import queries
from sniperudder.settings import Role

_BODY_BYTES = 64 * 1024
_DEFAULT_TIMEOUT_S = 5.0
_MAX_TIMEOUT_S = 60.0
_WATCH_PAUSE_S = 0.2
_ID = re.compile(r'[\w.:-]{1,100}')
_VERIFY_PATH = '/admin/verify/'

# All other intents need the role that administers.
_OPERATE = (
    intents.Withdraw,
    intents.Return,
    intents.StopInstance,
    intents.Shed,
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Body:
    """What an operator sent.

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
    """Answers operators out of a backend.

    Parameters
    ----------
    backend : OperatorBackend
    find_operator : callable
        Takes a presented key; returns a record with ``name`` and
        ``role``, or None. Compares in constant time.
    read_clock : callable
        Returns seconds on the clock of the backend's tables.
    """

    __slots__ = ('_backend', '_find_operator', '_read_clock', '_limit')

    def __init__(self, backend, find_operator, read_clock):
        self._backend = backend
        self._find_operator = find_operator
        self._read_clock = read_clock
        self._limit = _guesses.GuessLimit(read_clock)

    def __call__(self, environ, start_response):
        try:
            answer = self._route(environ)
        except _answers.OperatorRefused as refused:
            answer = _answers.create_refusal(refused)
        except errors.SyntaxProblem as problem:
            answer = _answers.create_refusal(
                _answers.OperatorRefused(Code.BAD_SYNTAX, str(problem))
            )
        return _answers.send_answer(answer, start_response)

    def _route(self, environ):
        operator = self._identify(environ)
        method, path = environ['REQUEST_METHOD'], environ['PATH_INFO']
        if method == 'GET' and path.startswith(_VERIFY_PATH):
            name = urllib.parse.unquote(path.removeprefix(_VERIFY_PATH))
            return self._verify(_check_id(name), _DEFAULT_TIMEOUT_S)
        if method == 'POST' and path == '/admin/query':
            return self._query(_read_body(environ))
        if method == 'POST' and path == '/admin/command':
            return self._command(_read_body(environ), operator)
        raise _answers.OperatorRefused(Code.UNKNOWN_ROUTE)

    def _identify(self, environ):
        address = environ.get('REMOTE_ADDR', '')
        wait_s = self._limit.measure_wait(address)
        if wait_s > 0:
            raise _answers.OperatorRefused(
                Code.TOO_MANY_GUESSES, retry_after_s=wait_s
            )
        header = environ.get('HTTP_AUTHORIZATION', '')
        scheme, _, key = header.partition(' ')
        operator = None
        if scheme.lower() == 'bearer' and key:
            operator = self._find_operator(key.strip())
            if operator is None:
                self._limit.record_guess(address)
        if operator is None:
            raise _answers.OperatorRefused(Code.UNKNOWN_KEY)
        return operator

    def _query(self, body):
        query = queries.parse_query(body.text)
        result = self._backend.run_query(query, body.timeout_s)
        return _answers.Answer(result)

    def _command(self, body, operator):
        match queries.parse_command(body.text):
            case queries.SubmitIntent() as command:
                _check_role(operator, command.intent)
                return self._submit(command, body, operator)
            case queries.PlanIntent(intent):
                return _answers.Answer(
                    self._backend.plan_intent(intent).result
                )
            case queries.VerifyCommand(command_id):
                return self._verify(command_id, body.timeout_s)
            case queries.WatchCommand(command_id):
                return self._watch(command_id, body.timeout_s)

    def _submit(self, command, body, operator):
        command_id = body.command_id or uuid.uuid4().hex
        # A repeat gets its first outcome, whatever holds by now.
        if self._backend.verify(command_id).outcome is None:
            self._check_plan(command)
        outcome = self._backend.submit_command(
            command, command_id, operator.name, body.timeout_s
        )
        return _answer_outcome(command_id, outcome)

    def _check_plan(self, command):
        plan = self._backend.plan_intent(command.intent)
        refusals = plan.list_refusals(command.force)
        if refusals:
            detail = '; '.join(refusal.detail for refusal in refusals)
            raise _answers.OperatorRefused(refusals[0].code, detail)

    def _verify(self, command_id, timeout_s):
        verification = self._backend.verify(command_id)
        query = _verification.create_sent_query(verification)
        sent = self._backend.run_query(query, timeout_s) if query else None
        result = _verification.tabulate_verification(
            verification, sent, self._read_clock()
        )
        state = _verification.get_state(verification)
        return _answers.Answer(result, state=state)

    def _watch(self, command_id, timeout_s):
        until = self._read_clock() + timeout_s
        while self._read_clock() < until:
            if self._backend.verify(command_id).in_force_everywhere:
                break
            time.sleep(_WATCH_PAUSE_S)
        return self._verify(command_id, _DEFAULT_TIMEOUT_S)


def create_application(backend, find_operator, read_clock):
    """Return the operators' application of an instance.

    Examples
    --------
    >>> app = create_application(None, lambda key: None, lambda: 0.0)
    >>> environ = {'REQUEST_METHOD': 'GET', 'PATH_INFO': '/'}
    >>> _ = app(environ, lambda status, headers: print(status))
    401 Unauthorized
    """
    return Application(backend, find_operator, read_clock)


def _check_role(operator, intent):
    operates = isinstance(intent, _OPERATE)
    needed = Role.OPERATE if operates else Role.ADMINISTER
    if operator.role < needed:
        raise _answers.OperatorRefused(
            Code.FORBIDDEN,
            f'{operator.name} may {operator.role.name.lower()}; '
            f'this needs the role {needed.name.lower()}',
        )


def _check_id(name):
    if not _ID.fullmatch(name):
        raise _answers.OperatorRefused(
            Code.BAD_FIELD,
            'an id has 1 to 100 letters, digits, "-", "_", "." or ":"',
        )
    return name


def _read_body(environ):
    try:
        length = int(environ.get('CONTENT_LENGTH') or 0)
    except ValueError:
        raise _answers.OperatorRefused(Code.BAD_FIELD) from None
    if length > _BODY_BYTES:
        raise _answers.OperatorRefused(Code.BODY_TOO_LARGE)
    data = environ['wsgi.input'].read(length)
    try:
        fields = json.loads(data)
    # Deep nesting exhausts the parser's stack.
    except (ValueError, RecursionError):
        raise _answers.OperatorRefused(Code.BAD_JSON) from None
    return _parse_body(fields)


def _parse_body(fields):
    if not isinstance(fields, dict):
        raise _answers.OperatorRefused(Code.BAD_JSON, 'expected an object')
    text = fields.get('text')
    command_id = fields.get('id') or ''
    timeout_s = fields.get('timeout_s', _DEFAULT_TIMEOUT_S)
    if not isinstance(text, str) or not isinstance(command_id, str):
        raise _answers.OperatorRefused(
            Code.BAD_FIELD, 'text and id must be strings'
        )
    number = isinstance(timeout_s, int | float)
    if not number or not 0 < timeout_s <= _MAX_TIMEOUT_S:
        raise _answers.OperatorRefused(
            Code.BAD_FIELD,
            f'timeout_s must lie between 0 and {_MAX_TIMEOUT_S:g}',
        )
    if command_id:
        _check_id(command_id)
    return _Body(text, command_id, float(timeout_s))


def _answer_outcome(command_id, outcome):
    match outcome:
        case outcomes.CommittedAt(version):
            return _answers.Answer(
                queries.Result(
                    ('id', 'state', 'version'),
                    [(command_id, 'committed', version)],
                    detail=f'verify {command_id} tells where it is in force',
                ),
                state='committed',
            )
        case outcomes.LostTo(version, winner, name):
            raise _answers.OperatorRefused(
                Code.COMMAND_LOST,
                f'{winner} of {name} changed the same subject first, '
                f'at version {version}; look, then decide anew',
            )
        case outcomes.NotDone(code, detail):
            raise _answers.OperatorRefused(code, detail)
    raise _answers.OperatorRefused(
        Code.COMMAND_IN_DOUBT, f'repeat it with the id {command_id}'
    )
