"""Rendering of responses as JSON bodies and server-sent events."""

import json
import uuid

from sniperudder import outcomes

_REASON_PHRASES = {
    200: 'OK',
    400: 'Bad Request',
    401: 'Unauthorized',
    403: 'Forbidden',
    404: 'Not Found',
    409: 'Conflict',
    413: 'Payload Too Large',
    422: 'Unprocessable Content',
    429: 'Too Many Requests',
    499: 'Client Closed Request',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}

DONE_EVENT = b'data: [DONE]\n\n'


def render_status(status):
    """Return the status code with its reason phrase.

    Examples
    --------
    >>> render_status(404)
    '404 Not Found'
    """
    return f'{status} {_REASON_PHRASES.get(status, "Other")}'


def render_error(outcome):
    """Return the JSON body of an error response."""
    entry = outcomes.describe_code(outcome.code)
    error = {
        'code': int(entry.code),
        'type': entry.code.name.lower(),
        'class': entry.execution.value,
        'message': outcome.detail or entry.meaning,
    }
    return {'error': error}


def render_headers(request, outcome):
    """Return the headers common to all responses to a request."""
    headers = [
        ('X-Request-Id', request),
        ('X-Result-Code', str(int(outcome.code))),
    ]
    retry_after_s = getattr(outcome, 'retry_after_s', None)
    if retry_after_s is not None:
        headers.append(('Retry-After', str(max(1, round(retry_after_s)))))
    return headers


def render_event(body):
    """Return one server-sent event.

    Examples
    --------
    >>> render_event({'a': 1})
    b'data: {"a":1}\\n\\n'
    """
    text = json.dumps(body, separators=(',', ':'))
    return f'data: {text}\n\n'.encode()


def render_completion_chunk(request, prompt, token, reason=None):
    """Return the body of one chunk of a streamed completion."""
    if prompt.chat:
        delta = {} if token is None else {'content': token}
        choice = {'index': 0, 'delta': delta, 'finish_reason': reason}
        kind = 'chat.completion.chunk'
    else:
        choice = {'index': 0, 'text': token or '', 'finish_reason': reason}
        kind = 'text_completion'
    return {
        'id': request,
        'object': kind,
        'model': prompt.model,
        'choices': [choice],
    }


class TokenEventRenderer:
    """Renders the tokens of one response as server-sent events.

    Parameters
    ----------
    request : str
    prompt : Prompt

    Notes
    -----
    The event text around the token is constant and is rendered once.
    """

    __slots__ = ('_head', '_end')

    def __init__(self, request, prompt):
        # A random placeholder that occurs nowhere else in the event.
        token = uuid.uuid4().hex
        event = render_event(render_completion_chunk(request, prompt, token))
        self._head, _, self._end = event.partition(f'"{token}"'.encode())

    def render(self, token):
        """Return the event for a token."""
        return b''.join((self._head, json.dumps(token).encode(), self._end))


def render_completion(request, prompt, tokens, reason):
    """Return the body of a completion that is not streamed."""
    text = ''.join(tokens)
    if prompt.chat:
        message = {'role': 'assistant', 'content': text}
        choice = {'index': 0, 'message': message, 'finish_reason': reason}
        kind = 'chat.completion'
    else:
        choice = {'index': 0, 'text': text, 'finish_reason': reason}
        kind = 'text_completion'
    return {
        'id': request,
        'object': kind,
        'model': prompt.model,
        'choices': [choice],
        'usage': {'completion_tokens': len(tokens)},
    }
