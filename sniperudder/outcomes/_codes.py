"""The table of result codes."""

import dataclasses
import enum


class Execution(enum.Enum):
    """Whether the work of a request was run, as far as is known."""

    NOT_RUN = 'not run'
    RAN = 'ran'
    IN_DOUBT = 'in doubt'


class Code(enum.IntEnum):
    """A result code, as shown to callers and operators and in logs."""

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
    STOPPED_WHILE_RUNNING = 307

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
        Execution class of the code.
    status : int
        HTTP status of the response.
    meaning : str
        Human-readable description, one sentence.
    """

    code: Code
    execution: Execution
    status: int
    meaning: str


def _create_entry(code, execution, status, meaning):
    return CodeEntry(code, execution, status, meaning)


_NOT_RUN = Execution.NOT_RUN
_RAN = Execution.RAN
_IN_DOUBT = Execution.IN_DOUBT

_ENTRIES = (
    _create_entry(Code.BAD_JSON, _NOT_RUN, 400, 'The body is not valid JSON.'),
    _create_entry(
        Code.BAD_FIELD, _NOT_RUN, 400, 'A field is missing or wrong.'
    ),
    _create_entry(
        Code.BODY_TOO_LARGE, _NOT_RUN, 413, 'The body is too large.'
    ),
    _create_entry(
        Code.UNKNOWN_KEY, _NOT_RUN, 401, 'The key is missing or unknown.'
    ),
    _create_entry(
        Code.UNKNOWN_MODEL, _NOT_RUN, 404, 'No such model is configured.'
    ),
    _create_entry(
        Code.UNKNOWN_SERVICE, _NOT_RUN, 404, 'No such service is configured.'
    ),
    _create_entry(
        Code.IDEMPOTENCY_CONFLICT,
        _NOT_RUN,
        409,
        'The idempotency key was used before with another body.',
    ),
    _create_entry(
        Code.UNKNOWN_ROUTE, _NOT_RUN, 404, 'No such path or method.'
    ),
    _create_entry(
        Code.FORBIDDEN, _NOT_RUN, 403, 'The key does not allow this.'
    ),
    _create_entry(Code.UNKNOWN_ENDPOINT, _NOT_RUN, 404, 'No such endpoint.'),
    _create_entry(
        Code.UNKNOWN_INSTANCE, _NOT_RUN, 404, 'No such entry instance.'
    ),
    _create_entry(
        Code.MODEL_UNCOVERED,
        _NOT_RUN,
        409,
        'The command would leave a model without endpoints.',
    ),
    _create_entry(
        Code.BAD_SYNTAX,
        _NOT_RUN,
        400,
        'The query or command does not follow the grammar.',
    ),
    _create_entry(
        Code.TOO_MANY_GUESSES,
        _NOT_RUN,
        429,
        'Too many wrong keys came from this address.',
    ),
    _create_entry(
        Code.UNKNOWN_ORGANISATION, _NOT_RUN, 404, 'No such organisation.'
    ),
    _create_entry(
        Code.COMMAND_LOST,
        _NOT_RUN,
        409,
        'Another command changed the same subject first.',
    ),
    _create_entry(
        Code.QUEUE_FULL, _NOT_RUN, 429, 'The queue of this rank is full.'
    ),
    _create_entry(
        Code.TARGET_UNREACHABLE,
        _NOT_RUN,
        429,
        'The wait would exceed what this rank allows.',
    ),
    _create_entry(Code.SHED, _NOT_RUN, 429, 'An operator sheds this work.'),
    _create_entry(
        Code.NO_ENDPOINT,
        _NOT_RUN,
        503,
        'No chain of endpoints covers the model at present.',
    ),
    _create_entry(Code.STOPPING, _NOT_RUN, 503, 'This instance is stopping.'),
    _create_entry(
        Code.NOT_FRESH,
        _NOT_RUN,
        503,
        'This instance cannot tell whether its configuration is current.',
    ),
    _create_entry(
        Code.DEADLINE_BEFORE_START,
        _NOT_RUN,
        504,
        'The deadline passed before the work was started.',
    ),
    _create_entry(
        Code.PLATFORM_UNAVAILABLE,
        _NOT_RUN,
        503,
        'The table service could not record the order.',
    ),
    _create_entry(
        Code.CONTENT_CONDEMNED,
        _NOT_RUN,
        422,
        'The same content crashed two endpoints before.',
    ),
    _create_entry(
        Code.SERVICE_UNREACHABLE,
        _NOT_RUN,
        503,
        'The service could not be reached; nothing was sent.',
    ),
    _create_entry(
        Code.LEFT_BEFORE_START,
        _NOT_RUN,
        499,
        'The caller left before the work was started.',
    ),
    _create_entry(Code.ANSWERED, _RAN, 200, 'The answer is complete.'),
    _create_entry(
        Code.STORED_RESULT,
        _RAN,
        200,
        'The stored result of the first run is repeated.',
    ),
    _create_entry(
        Code.DEADLINE_WHILE_RUNNING,
        _RAN,
        504,
        'The deadline passed during the run; the answer is incomplete.',
    ),
    _create_entry(
        Code.CALLER_LEFT, _RAN, 499, 'The caller left during the run.'
    ),
    _create_entry(
        Code.CRASHED_ENDPOINTS,
        _RAN,
        422,
        'The request crashed two endpoints and is not run again.',
    ),
    _create_entry(
        Code.RETRIES_EXHAUSTED,
        _RAN,
        502,
        'Endpoints failed during the run; the answer is incomplete.',
    ),
    _create_entry(
        Code.STOPPED_WHILE_RUNNING,
        _RAN,
        502,
        'This instance stopped during the run; the answer is incomplete.',
    ),
    _create_entry(
        Code.ORDER_IN_DOUBT,
        _IN_DOUBT,
        502,
        'It is unknown whether the order was run; repeat with its key.',
    ),
    _create_entry(
        Code.ORDER_IN_PROGRESS,
        _IN_DOUBT,
        409,
        'The order with this key is still being run; repeat later.',
    ),
    _create_entry(
        Code.COMMAND_IN_DOUBT,
        _IN_DOUBT,
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
    """Return all table rows, sorted by code.

    Examples
    --------
    >>> int(list_codes()[0].code)
    100
    """
    return sorted(_ENTRIES, key=lambda entry: entry.code)
