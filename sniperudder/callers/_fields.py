"""Checks of what callers send, each with a numbered refusal."""

import dataclasses
import json

from sniperudder import outcomes

_MAX_TOKENS = 32768
_DEFAULT_TOKENS = 256
_MAX_KEY_CHARACTERS = 200
_MAX_DEADLINE_S = 24 * 3600.0


class BadField(Exception):
    """A caller's request cannot be accepted.

    Attributes
    ----------
    refusal : Refused
    """

    def __init__(self, code, detail):
        super().__init__(detail)
        self.refusal = outcomes.Refused(code, detail)


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """The checked body of a completion request.

    Attributes
    ----------
    model, prompt : str
    max_tokens : int
    stream : bool
    chat : bool
        Whether the answer has the form of a chat message.
    deadline_s : float or None
    """

    model: str
    prompt: str
    max_tokens: int
    stream: bool
    chat: bool
    deadline_s: float | None


def parse_prompt(data, chat):
    """Check the body of a completion or chat request.

    Parameters
    ----------
    data : bytes
    chat : bool

    Returns
    -------
    Prompt

    Raises
    ------
    BadField
        With ``BAD_JSON`` or ``BAD_FIELD``.
    """
    body = parse_object(data)
    text = _join_messages(body) if chat else _take(body, 'prompt', str)
    if not text:
        raise BadField(outcomes.Code.BAD_FIELD, 'the prompt is empty')
    max_tokens = _take(body, 'max_tokens', int, _DEFAULT_TOKENS)
    if not 1 <= max_tokens <= _MAX_TOKENS:
        raise BadField(
            outcomes.Code.BAD_FIELD,
            f'max_tokens must be from 1 to {_MAX_TOKENS}',
        )
    return Prompt(
        model=_take(body, 'model', str),
        prompt=text,
        max_tokens=max_tokens,
        stream=_take(body, 'stream', bool, False),
        chat=chat,
        deadline_s=_take_deadline(body),
    )


def parse_object(data):
    """Return the JSON object in a body.

    Raises
    ------
    BadField
        With ``BAD_JSON``.
    """
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as exc:
        raise BadField(
            outcomes.Code.BAD_JSON, 'the body is not valid JSON'
        ) from exc
    if not isinstance(body, dict):
        raise BadField(outcomes.Code.BAD_JSON, 'the body is no object')
    return body


def check_key(key):
    """Return an idempotency key that may be used.

    Raises
    ------
    BadField
        If it is empty, too long or has characters outside of printable
        ASCII.
    """
    if not 1 <= len(key) <= _MAX_KEY_CHARACTERS:
        raise BadField(
            outcomes.Code.BAD_FIELD,
            f'Idempotency-Key must have 1 to {_MAX_KEY_CHARACTERS} characters',
        )
    if not (key.isascii() and key.isprintable()):
        raise BadField(
            outcomes.Code.BAD_FIELD, 'Idempotency-Key must be printable ASCII'
        )
    return key


def _take(body, name, kind, default=None):
    value = body.get(name, default)
    # bool is a subclass of int, but True is no number of tokens.
    wrong = isinstance(value, bool) and kind is not bool
    if wrong or not isinstance(value, kind):
        raise BadField(
            outcomes.Code.BAD_FIELD, f'{name} must be a {kind.__name__}'
        )
    return value


def _take_deadline(body):
    value = body.get('deadline_s')
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise BadField(outcomes.Code.BAD_FIELD, 'deadline_s must be a number')
    if not 0 < value <= _MAX_DEADLINE_S:
        raise BadField(
            outcomes.Code.BAD_FIELD,
            'deadline_s must be above 0, at most a day',
        )
    return float(value)


def _join_messages(body):
    messages = _take(body, 'messages', list)
    lines = []
    for message in messages:
        if not isinstance(message, dict):
            raise BadField(
                outcomes.Code.BAD_FIELD, 'each message must be an object'
            )
        role = _take(message, 'role', str)
        content = _take(message, 'content', str)
        lines.append(f'{role}: {content}\n')
    return ''.join(lines)
