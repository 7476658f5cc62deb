"""Answers of the administration interface."""

import dataclasses
import http
import json

from sniperudder import outcomes
from sniperudder import queries


class OperatorRefused(Exception):
    """A request of an operator gets a numbered refusal.

    Parameters
    ----------
    code : Code
    detail : str
        One sentence for people; the code's meaning where empty.
    retry_after_s : float or None
    """

    def __init__(self, code, detail='', retry_after_s=None):
        super().__init__(detail)
        self.code = code
        self.detail = detail
        self.retry_after_s = retry_after_s


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer to an operator.

    Attributes
    ----------
    result : Result
    code : Code or None
        The reason of a refusal.
    state : str
        State of a command.
    retry_after_s : float or None
    """

    result: queries.Result
    code: outcomes.Code | None = None
    state: str = ''
    retry_after_s: float | None = None


def create_refusal(refused):
    """Return the answer that carries a refusal."""
    entry = outcomes.describe_code(refused.code)
    result = queries.Result((), [], detail=refused.detail or entry.meaning)
    return Answer(result, refused.code, retry_after_s=refused.retry_after_s)


def send_answer(answer, start_response):
    """Give an answer to a WSGI server.

    Returns
    -------
    list of bytes
    """
    body = queries.list_fields(answer.result)
    status = http.HTTPStatus.OK
    headers = [('Content-Type', 'application/json')]
    if answer.state:
        body['state'] = answer.state
    if answer.code is not None:
        entry = outcomes.describe_code(answer.code)
        body['code'] = int(entry.code)
        body['type'] = entry.code.name.lower()
        body['class'] = entry.execution.value
        status = http.HTTPStatus(entry.status)
        headers.append(('X-Result-Code', str(int(entry.code))))
    if answer.retry_after_s is not None:
        seconds = max(1, round(answer.retry_after_s))
        headers.append(('Retry-After', str(seconds)))
    data = json.dumps(body).encode()
    headers.append(('Content-Length', str(len(data))))
    start_response(f'{status.value} {status.phrase}', headers)
    return [data]
