"""State of forwarded requests, and error responses of the router itself."""

import dataclasses
import json
import math
import random

from sniperudder import fleet
from sniperudder import outcomes
from sniperudder import platform
from sniperudder import routing

# Time before the caller's deadline at which the final response is sent,
# seconds; covers sending it and the one-way delay to the caller.
_RESPONSE_MARGIN_S = 0.02

# Delay before the first retry of a request that was not run, seconds. It
# doubles each time; the total of four delays is shorter than callers wait for
# a first event.
_NOT_RUN_BACKOFF_S = 0.02

# Values of Retry-After, seconds: short where the cause may be transient;
# none where another instance accepts the request now; when load is shed,
# between one and two durations of a stream, randomized
# so that the retries of callers do not arrive at the same time.
_RETRY_AFTER_S = 0.5
_STOPPING_RETRY_AFTER_S = 0.0
_SHED_RETRY_AFTER_S = (2.0, 4.0)

# Lowest HTTP status of the server error class (RFC 9110).
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
    _Code.STOPPING: 503,
    _Code.CONTENT_CONDEMNED: 503,
    _Code.RETRIES_EXHAUSTED: 502,
    _Code.DEADLINE_WHILE_RUNNING: 504,
}


@dataclasses.dataclass(slots=True)
class Job:
    """State of a request that is being forwarded.

    Attributes
    ----------
    request : CallerRequest
    head : sniperudder.platform.RequestHead
    route : sniperudder.fleet.Route
    service : sniperudder.fleet.Service
    organisation : sniperudder.fleet.Organisation or None
    rank : int
        Priority rank; 0 is the most urgent.
    hide_key : bool
        Whether the API key is not forwarded to endpoints.
    deadline : float
        Loop time by which the final response must be sent, seconds.
    caller_deadline : float or None
        Loop time until which the caller waits, seconds.
    attempts : int
        Number of sends that an endpoint may have run.
    sends_not_run : int
        Number of sends that no endpoint ran.
    failed_ids : set of str
        Ids of the endpoints that failed to serve the request.
    possible_runs : int
        Number of sends that an endpoint may have run, or may yet run.
    send_outcomes : list of str
        Outcome of each send, for the log.
    endpoint : sniperudder.fleet.Endpoint or None
        First endpoint of the current send.
    crash_keys : frozenset of str
        See `sniperudder.routing.make_crash_keys`.
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
    sends_not_run: int = 0
    failed_ids: set = dataclasses.field(default_factory=set)
    possible_runs: int = 0
    send_outcomes: list = dataclasses.field(default_factory=list)
    endpoint: fleet.Endpoint | None = None
    crash_keys: frozenset = frozenset()

    @property
    def may_have_run(self):
        """Whether an endpoint may have run the request."""
        return self.possible_runs > 0


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """Reason why a request is not forwarded at all.

    Attributes
    ----------
    request_id : str
    code : sniperudder.outcomes.Code
    """

    request_id: str
    code: outcomes.Code


def create_job(T, request, rng):
    """Determine the route, organisation and service of a request.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    request : CallerRequest
    rng : random.Random

    Returns
    -------
    Job or Rejection
    """
    head = platform.decode_request_head(
        (name, value) for name, _, value in request.headers
    )
    configuration = T.configuration
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
    service = configuration.services.get(routing.choose_service(route, rng))
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
        crash_keys=routing.make_crash_keys(
            organisation.name if organisation else '',
            request.target,
            request.body,
            head.shared_parts,
        ),
    )


def get_request_size(job):
    """Return the numbers of prompt and output tokens of a request.

    Uses the engine's mean values for those that the request does not state.

    Parameters
    ----------
    job : Job

    Returns
    -------
    sniperudder.routing.RequestSize
        Zero if the service runs no model.
    """
    engine = job.service.engine
    if engine is None:
        return routing.RequestSize(0.0, 0.0)
    return routing.RequestSize(
        job.head.prompt_tokens or engine.mean_prompt_tokens,
        job.head.output_tokens or engine.mean_output_tokens,
    )


def get_duration_key(job):
    """Return the key of a request for estimates of its duration.

    Requests of about the same size have one key, as a part of the duration
    does not grow with it.
    """
    kind = 'streaming' if job.route.streaming else 'buffered'
    _, magnitude = math.frexp(get_duration_size(job))
    return f'{kind} {job.service.name}', job.route.name, str(magnitude)


def get_duration_size(job):
    """Return what the duration of a request grows with.

    Returns
    -------
    float
        Number of output tokens of a stream; 1 if it is not known.
    """
    if not job.route.streaming:
        return 1.0
    return max(get_request_size(job).output_tokens, 1.0)


def get_not_run_backoff_s(job):
    """Return the delay before a request that was not run is sent again.

    Parameters
    ----------
    job : Job

    Returns
    -------
    float
        Seconds; doubles with each such send.
    """
    return _NOT_RUN_BACKOFF_S * 2 ** (max(job.sends_not_run, 1) - 1)


def send_error_response(caller, code, reason, retry_after_s=None):
    """Send an error response of the router itself.

    Parameters
    ----------
    caller : CallerConnection
    code : sniperudder.outcomes.Code
    reason : str
        Text for the caller.
    retry_after_s : float, optional
        Time after which the caller may try again, seconds; by default, it
        depends on the code.
    """
    status = _HTTP_STATUSES[code]
    body = json.dumps({'code': int(code), 'reason': reason}).encode()
    headers = [(b'Content-Type', b'application/json')]
    if status == 503:
        if retry_after_s is None:
            retry_after_s = _RETRY_AFTER_S
            if code is _Code.STOPPING:
                retry_after_s = _STOPPING_RETRY_AFTER_S
            elif code is _Code.SHED:
                retry_after_s = random.uniform(*_SHED_RETRY_AFTER_S)
        headers.append((b'Retry-After', b'%.1f' % retry_after_s))
    caller.send_response(status, headers, body)


def get_header(headers, wanted):
    """Return the value of a header, or None.

    Parameters
    ----------
    headers : iterable of (bytes, bytes, bytes)
        Name in lower case, name as sent, value.
    wanted : bytes
        Name in lower case.
    """
    for name, _, value in headers:
        if name == wanted:
            return value
    return None
