"""The table of result codes."""

import dataclasses
import enum


class Execution(enum.Enum):
    """What is known about whether the work of a request was run."""

    NOT_RUN = 'not run'
    RAN = 'ran'
    IN_DOUBT = 'in doubt'


class Code(enum.IntEnum):
    """A result code, as callers, logs and operators see it."""

    BAD_JSON = 100
    BAD_FIELD = 101
    BODY_TOO_LARGE = 102
    UNKNOWN_KEY = 104
    UNKNOWN_MODEL = 105
    UNKNOWN_SERVICE = 106
    IDEMPOTENCY_CONFLICT = 107
    UNKNOWN_ROUTE = 108
    FORBIDDEN = 109
    UNKNOWN_ENDPOINT = 110
    UNKNOWN_INSTANCE = 111
    MODEL_UNCOVERED = 112
    BAD_SYNTAX = 113
    TOO_MANY_GUESSES = 114
    UNKNOWN_ORGANISATION = 115
    COMMAND_LOST = 116

    QUEUE_FULL = 200
    TARGET_UNREACHABLE = 201
    SHED = 202
    NO_ENDPOINT = 203
    STOPPING = 204
    NOT_FRESH = 205
    DEADLINE_BEFORE_START = 206
    PLATFORM_UNAVAILABLE = 207
    CONTENT_CONDEMNED = 208
    SERVICE_UNREACHABLE = 209
    LEFT_BEFORE_START = 210

    ANSWERED = 300
    STORED_RESULT = 301
    DEADLINE_WHILE_RUNNING = 303
    CALLER_LEFT = 304
    CRASHED_ENDPOINTS = 305
    RETRIES_EXHAUSTED = 306

    ORDER_IN_DOUBT = 400
    ORDER_IN_PROGRESS = 401
    COMMAND_IN_DOUBT = 402


@dataclasses.dataclass(frozen=True, slots=True)
class CodeEntry:
    """One row of the table of result codes.

    Attributes
    ----------
    code : Code
    execution : Execution
        Class of the code.
    status : int
        HTTP status of the answer.
    meaning : str
        One sentence for people.
    """

    code: Code
    execution: Execution
    status: int
    meaning: str


def _entry(code, execution, status, meaning):
    return CodeEntry(code, execution, status, meaning)


_N = Execution.NOT_RUN
_R = Execution.RAN
_D = Execution.IN_DOUBT

_ENTRIES = (
    _entry(Code.BAD_JSON, _N, 400, 'The body is not valid JSON.'),
    _entry(Code.BAD_FIELD, _N, 400, 'A field is missing or wrong.'),
    _entry(Code.BODY_TOO_LARGE, _N, 413, 'The body is too large.'),
    _entry(Code.UNKNOWN_KEY, _N, 401, 'The key is missing or unknown.'),
    _entry(Code.UNKNOWN_MODEL, _N, 404, 'No such model is configured.'),
    _entry(Code.UNKNOWN_SERVICE, _N, 404, 'No such service is configured.'),
    _entry(
        Code.IDEMPOTENCY_CONFLICT,
        _N,
        409,
        'The idempotency key was used before with another body.',
    ),
    _entry(Code.UNKNOWN_ROUTE, _N, 404, 'No such path or method.'),
    _entry(Code.FORBIDDEN, _N, 403, 'The key does not allow this.'),
    _entry(Code.UNKNOWN_ENDPOINT, _N, 404, 'No such endpoint.'),
    _entry(Code.UNKNOWN_INSTANCE, _N, 404, 'No such entry instance.'),
    _entry(
        Code.MODEL_UNCOVERED,
        _N,
        409,
        'The command would leave a model without endpoints.',
    ),
    _entry(
        Code.BAD_SYNTAX,
        _N,
        400,
        'The query or command does not follow the grammar.',
    ),
    _entry(
        Code.TOO_MANY_GUESSES,
        _N,
        429,
        'Too many wrong keys came from this address.',
    ),
    _entry(Code.UNKNOWN_ORGANISATION, _N, 404, 'No such organisation.'),
    _entry(
        Code.COMMAND_LOST,
        _N,
        409,
        'Another command changed the same subject first.',
    ),
    _entry(Code.QUEUE_FULL, _N, 429, 'The queue of this rank is full.'),
    _entry(
        Code.TARGET_UNREACHABLE,
        _N,
        429,
        'The wait would exceed what this rank allows.',
    ),
    _entry(Code.SHED, _N, 429, 'An operator sheds this work.'),
    _entry(
        Code.NO_ENDPOINT,
        _N,
        503,
        'No chain of endpoints covers the model at present.',
    ),
    _entry(Code.STOPPING, _N, 503, 'This instance is stopping.'),
    _entry(
        Code.NOT_FRESH,
        _N,
        503,
        'This instance cannot tell whether its configuration is current.',
    ),
    _entry(
        Code.DEADLINE_BEFORE_START,
        _N,
        504,
        'The deadline passed before the work was started.',
    ),
    _entry(
        Code.PLATFORM_UNAVAILABLE,
        _N,
        503,
        'The table service could not record the order.',
    ),
    _entry(
        Code.CONTENT_CONDEMNED,
        _N,
        422,
        'The same content crashed two endpoints before.',
    ),
    _entry(
        Code.SERVICE_UNREACHABLE,
        _N,
        503,
        'The service could not be reached; nothing was sent.',
    ),
    _entry(
        Code.LEFT_BEFORE_START,
        _N,
        499,
        'The caller left before the work was started.',
    ),
    _entry(Code.ANSWERED, _R, 200, 'The answer is complete.'),
    _entry(
        Code.STORED_RESULT,
        _R,
        200,
        'The stored result of the first run is repeated.',
    ),
    _entry(
        Code.DEADLINE_WHILE_RUNNING,
        _R,
        504,
        'The deadline passed during the run; the answer is incomplete.',
    ),
    _entry(Code.CALLER_LEFT, _R, 499, 'The caller left during the run.'),
    _entry(
        Code.CRASHED_ENDPOINTS,
        _R,
        422,
        'The request crashed two endpoints and is not run again.',
    ),
    _entry(
        Code.RETRIES_EXHAUSTED,
        _R,
        502,
        'Endpoints failed during the run; the answer is incomplete.',
    ),
    _entry(
        Code.ORDER_IN_DOUBT,
        _D,
        502,
        'It is unknown whether the order was run; repeat with its key.',
    ),
    _entry(
        Code.ORDER_IN_PROGRESS,
        _D,
        409,
        'The order with this key is still being run; repeat later.',
    ),
    _entry(
        Code.COMMAND_IN_DOUBT,
        _D,
        504,
        'It is unknown whether the command was taken; repeat with its id.',
    ),
)

_TABLE = {entry.code: entry for entry in _ENTRIES}


def describe_code(code):
    """Return the table row of a result code.

    Parameters
    ----------
    code : Code or int

    Returns
    -------
    CodeEntry

    Raises
    ------
    ValueError
        If no such code exists.

    Examples
    --------
    >>> describe_code(204).execution.value
    'not run'
    """
    return _TABLE[Code(code)]


def list_codes():
    """Return all table rows in the order of their numbers.

    Examples
    --------
    >>> int(list_codes()[0].code)
    100
    """
    return sorted(_ENTRIES, key=lambda entry: entry.code)
