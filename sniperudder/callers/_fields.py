"""Validation of caller requests; every refusal has a result code."""

import dataclasses
import json

from sniperudder import outcomes

_MAX_COMPLETION_TOKENS = 32768
_DEFAULT_MAX_TOKENS = 256
_MAX_KEY_CHARACTERS = 200
_MAX_DEADLINE_S = 24 * 3600.0


class RequestRefused(Exception):
    """A request that is refused before it reaches the core.

    Attributes
    ----------
    refusal : Refused
    """

    def __init__(self, code, detail):
        super().__init__(detail)
        self.refusal = outcomes.Refused(code, detail)


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """The validated body of a completion request.

    Attributes
    ----------
    model, prompt : str
    max_tokens : int
    stream : bool
    chat : bool
        Whether the response is a chat message.
    deadline_s : float or None
        Seconds from arrival.
    """

    model: str
    prompt: str
    max_tokens: int
    stream: bool
    chat: bool
    deadline_s: float | None


def parse_prompt(data, chat):
    """Parse and validate the body of a completion or chat request.

    Parameters
    ----------
    data : bytes
    chat : bool

    Returns
    -------
    Prompt

    Raises
    ------
    RequestRefused
        With ``BAD_JSON`` or ``BAD_FIELD``.
    """
    body = parse_object(data)
    text = _join_messages(body) if chat else _get_field(body, 'prompt', str)
    if not text:
        raise RequestRefused(outcomes.Code.BAD_FIELD, 'the prompt is empty')
    max_tokens = _get_field(body, 'max_tokens', int, _DEFAULT_MAX_TOKENS)
    if not 1 <= max_tokens <= _MAX_COMPLETION_TOKENS:
        raise RequestRefused(
            outcomes.Code.BAD_FIELD,
            f'max_tokens must be from 1 to {_MAX_COMPLETION_TOKENS}',
        )
    return Prompt(
        model=_get_field(body, 'model', str),
        prompt=text,
        max_tokens=max_tokens,
        stream=_get_field(body, 'stream', bool, False),
        chat=chat,
        deadline_s=_get_deadline(body),
    )


def parse_object(data):
    """Return the JSON object in a body.

    Raises
    ------
    RequestRefused
        With ``BAD_JSON``.
    """
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as exc:
        raise RequestRefused(
            outcomes.Code.BAD_JSON, 'the body is not valid JSON'
        ) from exc
    if not isinstance(body, dict):
        raise RequestRefused(outcomes.Code.BAD_JSON, 'the body is no object')
    return body


def check_key(key):
    """Return an idempotency key if it is valid.

    Raises
    ------
    RequestRefused
        If the key is empty, too long or not printable ASCII.
    """
    if not 1 <= len(key) <= _MAX_KEY_CHARACTERS:
        raise RequestRefused(
            outcomes.Code.BAD_FIELD,
            f'Idempotency-Key must have 1 to {_MAX_KEY_CHARACTERS} characters',
        )
    if not (key.isascii() and key.isprintable()):
        raise RequestRefused(
            outcomes.Code.BAD_FIELD, 'Idempotency-Key must be printable ASCII'
        )
    return key


def _get_field(body, name, kind, default=None):
    value = body.get(name, default)
    # bool is a subclass of int, but True is not a valid number of tokens.
    is_wrong_type = isinstance(value, bool) and kind is not bool
    if is_wrong_type or not isinstance(value, kind):
        raise RequestRefused(
            outcomes.Code.BAD_FIELD, f'{name} must be a {kind.__name__}'
        )
    return value


def _get_deadline(body):
    value = body.get('deadline_s')
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise RequestRefused(
            outcomes.Code.BAD_FIELD, 'deadline_s must be a number'
        )
    if not 0 < value <= _MAX_DEADLINE_S:
        raise RequestRefused(
            outcomes.Code.BAD_FIELD,
            'deadline_s must be above 0, at most a day',
        )
    return float(value)


def _join_messages(body):
    messages = _get_field(body, 'messages', list)
    lines = []
    for message in messages:
        if not isinstance(message, dict):
            raise RequestRefused(
                outcomes.Code.BAD_FIELD, 'each message must be an object'
            )
        role = _get_field(message, 'role', str)
        content = _get_field(message, 'content', str)
        lines.append(f'{role}: {content}\n')
    return ''.join(lines)
