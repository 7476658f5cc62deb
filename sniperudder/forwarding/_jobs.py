"""A request under way, and the answers that are the system's own."""

import dataclasses
import json
import random

from sniperudder import fleet
from sniperudder import outcomes
from sniperudder import platform
from sniperudder import routing

# Time before a caller's own deadline at which the final answer leaves,
# seconds: one way to the caller, and the work to send it.
_RESPONSE_MARGIN_S = 0.02

# What a refused caller is told to wait, seconds: a moment where the cause
# may be over soon; under pressure between one and two lives of a stream,
# drawn at random so that those who return do not come as a wave.
_RETRY_AFTER_S = 0.5
_SHED_RETRY_AFTER_S = (2.0, 4.0)

# Lowest status that tells of an endpoint's own failure (RFC 9110).
MIN_SERVER_ERROR_STATUS = 500

_Code = outcomes.Code

_HTTP_STATUSES = {
    _Code.UNKNOWN_ROUTE: 404,
    _Code.UNKNOWN_KEY: 401,
    _Code.NOT_FRESH: 503,
    _Code.NO_ENDPOINT: 503,
    _Code.TARGET_UNREACHABLE: 503,
    _Code.DEADLINE_BEFORE_START: 503,
    _Code.SHED: 503,
    _Code.CONTENT_CONDEMNED: 503,
    _Code.RETRIES_EXHAUSTED: 502,
    _Code.DEADLINE_WHILE_RUNNING: 504,
}


@dataclasses.dataclass(slots=True)
class Job:
    """A request under way.

    Attributes
    ----------
    request : CallerRequest
    head : sniperudder.platform.RequestHead
    route : sniperudder.fleet.Route
    service : sniperudder.fleet.Service
    organisation : sniperudder.fleet.Organisation or None
    rank : int
    hide_key : bool
    deadline : float
        Loop time of the final answer, seconds.
    caller_deadline : float or None
        Loop time until which the caller waits.
    attempts : int
        Endpoints that may have run it.
    refusals : int
        Sends that no endpoint ran.
    tried : set of str
        Ids of endpoints that failed it.
    maybe_run : bool
        Whether an endpoint may have run it.
    sends : list of str
        What became of each send, for the log.
    endpoint : sniperudder.fleet.Endpoint or None
        First endpoint of the send that is under way.
    """

    request: object
    head: platform.RequestHead
    route: fleet.Route
    service: fleet.Service
    organisation: fleet.Organisation | None
    rank: int
    hide_key: bool
    deadline: float
    caller_deadline: float | None
    attempts: int = 0
    refusals: int = 0
    failed_ids: set = dataclasses.field(default_factory=set)
    may_have_run: bool = False
    sends: list = dataclasses.field(default_factory=list)
    endpoint: fleet.Endpoint | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """Why a request is not forwarded at all.

    Attributes
    ----------
    request_id : str
    code : sniperudder.outcomes.Code
    """

    request_id: str
    code: outcomes.Code


def create_job(tables, request, rng):
    """Find the route, organisation and service of a request.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    request : CallerRequest
    rng : random.Random

    Returns
    -------
    Job or Rejection
    """
    head = platform.read_request_head(
        (name, value) for name, _, value in request.headers
    )
    configuration = tables.configuration
    if configuration is None:
        return Rejection(head.request_id, _Code.NOT_FRESH)
    host = get_header(request.headers, b'host') or b''
    route = routing.match_route(
        configuration,
        host.decode('latin-1'),
        request.target.decode('latin-1'),
    )
    if route is None:
        return Rejection(head.request_id, _Code.UNKNOWN_ROUTE)
    organisation = None
    if configuration.keys is not None:
        organisation = configuration.keys.get(head.key)
        if organisation is None and not route.public:
            return Rejection(head.request_id, _Code.UNKNOWN_KEY)
    service = configuration.services.get(routing.draw_service(route, rng))
    if service is None:
        return Rejection(head.request_id, _Code.NO_ENDPOINT)
    deadline = request.arrived_at + route.timeout_s
    caller_deadline = None
    if head.wait_s is not None:
        caller_deadline = request.arrived_at + head.wait_s
        deadline = min(deadline, caller_deadline - _RESPONSE_MARGIN_S)
    return Job(
        request=request,
        head=head,
        route=route,
        service=service,
        organisation=organisation,
        rank=routing.get_rank(route, organisation),
        hide_key=configuration.keys is not None,
        deadline=deadline,
        caller_deadline=caller_deadline,
    )


def get_demand(job):
    """Return the size of a generation, as far as it is known.

    Returns
    -------
    sniperudder.routing.Demand
        Nothing where the service generates nothing.
    """
    engine = job.service.engine
    if engine is None:
        return routing.Demand(0.0, 0.0)
    return routing.Demand(
        job.head.prompt_tokens or engine.usual_prompt,
        job.head.answer_tokens or engine.usual_answer,
    )


def send_error(caller, code, reason):
    """Send an answer of the system's own.

    Parameters
    ----------
    caller : CallerChannel
    code : sniperudder.outcomes.Code
    reason : str
    """
    status = _HTTP_STATUSES[code]
    body = json.dumps({'code': int(code), 'reason': reason}).encode()
    headers = [(b'Content-Type', b'application/json')]
    if status == 503:
        wait_s = _RETRY_AFTER_S
        if code is _Code.SHED:
            wait_s = random.uniform(*_SHED_RETRY_AFTER_S)
        headers.append((b'Retry-After', b'%.1f' % wait_s))
    caller.send_answer(status, headers, body)


def get_header(headers, wanted):
    """Return the value of a header, or None."""
    for name, _, value in headers:
        if name == wanted:
            return value
    return None
