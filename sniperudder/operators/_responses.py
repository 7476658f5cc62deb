"""Responses of the administration interface."""

import dataclasses
import http
import json

from sniperudder import outcomes
from sniperudder import queries


class RequestRefused(Exception):
    """A request of an operator is refused with a result code.

    Parameters
    ----------
    code : Code
    detail : str
        Human-readable sentence; if empty, the meaning of the code is
        sent.
    retry_after_s : float or None
    """

    def __init__(self, code, detail='', retry_after_s=None):
        super().__init__(detail)
        self.code = code
        self.detail = detail
        self.retry_after_s = retry_after_s


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A response to an operator.

    Attributes
    ----------
    result : Result
    code : Code or None
        Result code of a refusal.
    state : str
        State of a command.
    retry_after_s : float or None
    """

    result: queries.Result
    code: outcomes.Code | None = None
    state: str = ''
    retry_after_s: float | None = None


def create_refusal_response(refused):
    """Return the response for a refusal."""
    entry = outcomes.describe_code(refused.code)
    result = queries.Result((), [], detail=refused.detail or entry.meaning)
    return Response(result, refused.code, retry_after_s=refused.retry_after_s)


def send_response(response, start_response):
    """Start a WSGI response and return its body.

    Returns
    -------
    list of bytes
    """
    body = queries.convert_to_dict(response.result)
    status = http.HTTPStatus.OK
    headers = [('Content-Type', 'application/json')]
    if response.state:
        body['state'] = response.state
    if response.code is not None:
        entry = outcomes.describe_code(response.code)
        body['code'] = int(entry.code)
        body['type'] = entry.code.name.lower()
        body['class'] = entry.execution.value
        status = http.HTTPStatus(entry.status)
        headers.append(('X-Result-Code', str(int(entry.code))))
    if response.retry_after_s is not None:
        seconds = max(1, round(response.retry_after_s))
        headers.append(('Retry-After', str(seconds)))
    data = json.dumps(body).encode()
    headers.append(('Content-Length', str(len(data))))
    start_response(f'{status.value} {status.phrase}', headers)
    return [data]
