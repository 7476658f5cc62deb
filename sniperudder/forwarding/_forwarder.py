"""The way of a request from its caller to its final answer."""

import asyncio
import dataclasses
import json
import random

from sniperudder import digests
from sniperudder import fleet
from sniperudder.forwarding import _moves
from sniperudder.forwarding import _sends
from sniperudder.forwarding import _streams
from sniperudder import metrics
from sniperudder import outcomes
from sniperudder import platform
from sniperudder import routing

# Time before a caller's own deadline at which the final answer leaves,
# seconds: one way to the caller, and the work to send it.
_ANSWER_MARGIN_S = 0.02

# What a refused caller is told to wait, seconds: a moment where the cause
# may be over soon; under pressure between one and two lives of a stream,
# drawn at random so that those who return do not come as a wave.
_RETRY_AFTER_S = 0.5
_SHED_RETRY_S = (2.0, 4.0)

# Sends that were not run and are followed by another one, and the pause
# after the first of them, doubled each time, seconds: four pauses stay
# under the time for which callers wait for a first event.
_MAX_REFUSALS = 4
_REFUSED_PAUSE_S = 0.02

# Share of the engines' stall time after which a refusal means that a stage
# is dead, and not merely without room.
_STALLED_SHARE = 0.8

# Instances among which the slack of the repeat budget is divided: those
# that are known, half as many again for those that are not yet, and at
# least half as many again as the users run now.
_MIN_INSTANCES = 12.0
_INSTANCES_MARGIN = 1.5

_Code = outcomes.Code

_STATUSES = {
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
    tried: set = dataclasses.field(default_factory=set)
    maybe_run: bool = False
    sends: list = dataclasses.field(default_factory=list)
    endpoint: fleet.Endpoint | None = None


class Forwarder:
    """Forwards requests to endpoints.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    pool : ChannelPool
    settings : sniperudder.fleet.InstanceSettings
    journal : object
        Writes log lines: ``write(event, subject, **fields)``.
    measures : sniperudder.metrics.Metrics
    rng : random.Random, optional
    """

    def __init__(self, T, pool, settings, journal, measures, rng=None):
        self.T = T
        self.pool = pool
        self.settings = settings
        self.journal = journal
        self.measures = measures
        self.rng = rng or random.Random()
        self.crashes = routing.CrashTable()
        self.pauses = routing.PauseCounter()
        self.level = 0.0
        self.mover = _moves.Mover(T, self.rng, journal)
        self._budgets = {}

    async def handle(self, request, caller):
        """Answer one request; the server's handler."""
        job = self._admit(request, caller)
        if job is None:
            return
        self.get_budget(job.service.name).record_request(self.now())
        if self.crashes.is_condemned(self.make_fingerprint(job)):
            reason = 'crashed endpoints before'
            self.refuse(job, caller, _Code.CONTENT_CONDEMNED, reason)
            return
        if job.route.streaming and self._sheds(job):
            reason = f'pressure level {self.level:.2f}'
            self.refuse(job, caller, _Code.SHED, reason)
            return
        try:
            async with asyncio.timeout_at(job.deadline):
                if job.route.streaming:
                    await _streams.forward_stream(self, job, caller)
                else:
                    await self._forward_plain(job, caller)
        except TimeoutError:
            self._expire(job, caller)
        except asyncio.CancelledError:
            self.note_end(job, _Code.CALLER_LEFT)
            raise

    def count_events(self):
        """Return this instance's events of the last second, and slow ones."""
        return self.pauses.count(self.now())

    def update_pressure(self, elapsed_s):
        """Adapt what is shed to the pauses of all instances' streams."""
        if self.T.configuration is None:
            return
        own, own_slow = self.count_events()
        others, others_slow = self.T.peers.count_events()
        events, slow = own + others, own_slow + others_slow
        before = self.level
        self.level = routing.update_level(
            before, events, slow, elapsed_s, len(self._list_ranks())
        )
        if (before > 0) != (self.level > 0):
            self.journal.write(
                'pressure:changed',
                level=self.level,
                events=events,
                slow_events=slow,
                instances=self.T.peers.count_alive(),
            )

    def list_faults(self):
        """Return the stages that other instances should avoid."""
        now = self.now()
        return tuple(
            digests.Fault(name, born_ms, state.dead_until - now)
            for (name, born_ms), state in self.T.states.items()
            if state.dead_until > now
        )

    def take_faults(self, sender, faults):
        """Avoid the stages that another instance found dead."""
        now = self.now()
        for fault in faults:
            state = self.T.states.get((fault.endpoint, fault.born_ms))
            if state is None or routing.is_avoided(state, now):
                continue
            if routing.record_told(state, now, fault.left_s):
                self.journal.write(
                    'endpoint:told dead', fault.endpoint, by=sender
                )

    def _list_ranks(self):
        configuration = self.T.configuration
        return {
            route.rank
            for routes in configuration.routes.values()
            for route in routes
            if route.streaming
        }

    def get_urgency(self, job):
        """Return 1 for the most urgent rank in use, 0 for the least."""
        ranks = sorted(self._list_ranks() | {job.rank})
        if job.attempts or len(ranks) < 2:
            # What has begun elsewhere is not given up for want of rank.
            return 1.0
        return 1.0 - ranks.index(job.rank) / (len(ranks) - 1)

    def _sheds(self, job):
        if self.level <= 0:
            return False
        share = routing.get_shed_share(
            self.level, job.rank, self._list_ranks()
        )
        return self.rng.random() < share

    def now(self):
        """Return the loop's time, seconds."""
        return asyncio.get_running_loop().time()

    def get_budget(self, service):
        """Return this instance's part of a service's repeat budget."""
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = self._budgets[service] = routing.RepeatBudget(
                bounds.repeat_ratio, bounds.repeat_window_s
            )
        return budget

    def get_left_s(self, job):
        """Return how long the caller still waits, or None."""
        limits = [job.request.arrived_at + job.route.timeout_s]
        if job.caller_deadline is not None:
            limits.append(job.caller_deadline)
        return min(limits) - self.now()

    def can_send_again(self, job):
        """Tell whether the route allows that a further endpoint runs it."""
        return job.attempts < job.route.max_attempts

    async def may_go_on(self, job, outcome):
        """Tell whether to send again what was not run; waits a little.

        Such a send is no attempt: the endpoint did not run the request.
        It counts in the budget only where it reached an endpoint.
        """
        job.attempts -= 1
        job.refusals += 1
        if job.refusals > _MAX_REFUSALS:
            return False
        if not outcome.arrived:
            return True
        await asyncio.sleep(_REFUSED_PAUSE_S * 2 ** (job.refusals - 1))
        return self._spend_repeat(job)

    def may_send_again(self, job):
        """Tell whether a further endpoint may run the request.

        Takes the send from the budget.
        """
        return self.can_send_again(job) and self._spend_repeat(job)

    def _spend_repeat(self, job):
        instances = max(
            _MIN_INSTANCES, _INSTANCES_MARGIN * (1 + len(self.T.peers.peers))
        )
        slack = self.settings.bounds.repeat_slack / instances
        return self.get_budget(job.service.name).spend(self.now(), slack)

    def make_outgoing(self, job, parts, last_event_id):
        """Return the request as the first endpoint of a chain gets it."""
        request = job.request
        organisation = job.organisation
        headers = [(b'Host', get_header(request.headers, b'host') or b'')]
        headers += platform.make_forwarded(request.headers, job.hide_key)
        headers += platform.make_send_headers(
            parts,
            self.get_left_s(job),
            job.rank,
            organisation.name if organisation else None,
            last_event_id,
        )
        if request.body or request.method in (b'POST', b'PUT', b'PATCH'):
            headers.append((b'Content-Length', b'%d' % len(request.body)))
        return _sends.Outgoing(
            job.head.request_id,
            request.method,
            request.target,
            headers,
            request.body,
        )

    def note_outcome(self, job, endpoint, outcome, sent_at):
        """Keep what a send tells of its endpoint, for choices and log."""
        now = self.now()
        took_s = now - sent_at
        if isinstance(outcome, _sends.Answered):
            routing.record_success(fleet.get_state(self.T, endpoint), now)
            job.sends.append(f'{endpoint.id}: {outcome.status}')
            return
        fault = endpoint
        if isinstance(outcome, _sends.NotRun) and outcome.fault_address:
            fault = self.find_address(outcome.fault_address) or endpoint
        state = fleet.get_state(self.T, fault)
        if not isinstance(outcome, _sends.NotRun) or not outcome.arrived:
            routing.record_failure(state, now)
        elif took_s >= self.settings.bounds.stall_s * _STALLED_SHARE:
            # The engine gave up waiting for this stage.
            routing.record_dead(state, now, _moves.DEAD_AVOID_S)
        else:
            routing.record_refusal(state, now)
        job.tried.add(fault.id)
        if isinstance(outcome, _sends.Broken):
            job.maybe_run = True
        job.sends.append(f'{endpoint.id}: {outcome.reason} at {fault.id}')

    def note_broken(self, job, parts):
        """Keep that a request broke off, in case an endpoint crashed."""
        fingerprint = self.make_fingerprint(job)
        for part in parts:
            run = part.endpoint.id, part.endpoint.born_ms
            self.crashes.record_broken(fingerprint, run, self.now())

    def make_fingerprint(self, job):
        """Return what a request is known by when it is sent again."""
        organisation = job.organisation.name if job.organisation else ''
        request = job.request
        return routing.make_fingerprint(
            organisation, request.target, request.body
        )

    def find_address(self, address):
        """Return the listed endpoint at an address, or None."""
        for endpoint in self.T.endpoints.values():
            if endpoint.address == address:
                return endpoint
        return None

    def refuse(self, job, caller, code, reason):
        """Answer for the system itself, and log it."""
        send_refusal(caller, code, reason)
        self.note_end(job, code, reason)

    def note_end(self, job, code, reason='', **fields):
        """Log and count how a request ended."""
        took_s = self.now() - job.request.arrived_at
        organisation = job.organisation.name if job.organisation else ''
        metrics.record_time(
            self.measures, metrics.Timing.TOTAL, job.rank, organisation, took_s
        )
        metrics.count_event(
            self.measures, f'{job.service.name}:{job.rank}:{code.name.lower()}'
        )
        self.journal.write(
            'request:end',
            job.head.request_id,
            code=int(code),
            reason=reason,
            route=job.route.name,
            rank=job.rank,
            organisation=organisation,
            version=self.T.configuration.version,
            sends=job.sends,
            **fields,
            duration_ms=round(took_s * 1000),
        )

    def _admit(self, request, caller):
        head = platform.read_request_head(
            (name, value) for name, _, value in request.headers
        )
        configuration = self.T.configuration
        if configuration is None:
            self._reject(head, caller, _Code.NOT_FRESH)
            return None
        host = get_header(request.headers, b'host') or b''
        route = routing.match_route(
            configuration,
            host.decode('latin-1'),
            request.target.decode('latin-1'),
        )
        if route is None:
            self._reject(head, caller, _Code.UNKNOWN_ROUTE)
            return None
        organisation = None
        if configuration.keys is not None:
            organisation = configuration.keys.get(head.key)
            if organisation is None and not route.public:
                self._reject(head, caller, _Code.UNKNOWN_KEY)
                return None
        service = configuration.services.get(
            routing.draw_service(route, self.rng)
        )
        if service is None:
            self._reject(head, caller, _Code.NO_ENDPOINT)
            return None
        deadline = request.arrived_at + route.timeout_s
        caller_deadline = None
        if head.wait_s is not None:
            caller_deadline = request.arrived_at + head.wait_s
            deadline = min(deadline, caller_deadline - _ANSWER_MARGIN_S)
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

    def _reject(self, head, caller, code):
        send_refusal(caller, code, '')
        metrics.count_event(self.measures, f'rejected:{code.name.lower()}')
        version = self.T.configuration and self.T.configuration.version
        self.journal.write(
            'request:rejected',
            head.request_id,
            code=int(code),
            version=version,
        )

    async def _forward_plain(self, job, caller):
        last = None
        while True:
            endpoints = fleet.list_endpoints(self.T, job.service.name)
            endpoint = routing.choose_endpoint(
                self.T,
                endpoints,
                self.settings.data_centre,
                self.now(),
                self.rng,
                job.tried,
            )
            if endpoint is None:
                code = _Code.NO_ENDPOINT
                break
            sent_at = self.now()
            outcome = await self._send_plain(job, endpoint)
            self.note_outcome(job, endpoint, outcome, sent_at)
            if isinstance(outcome, _sends.Answered):
                last = outcome
                if outcome.status < 500 or not job.route.repeatable:
                    break
                job.maybe_run = True
                job.tried.add(endpoint.id)
            elif isinstance(outcome, _sends.NotRun):
                code = _Code.TARGET_UNREACHABLE
                if not await self.may_go_on(job, outcome):
                    break
                continue
            elif not job.route.repeatable:
                code = _Code.RETRIES_EXHAUSTED
                break
            if not self.may_send_again(job):
                break
        if last is not None:
            caller.send_answer(last.status, last.headers, last.body)
            self.note_end(job, _Code.ANSWERED, f'status {last.status}')
        elif job.maybe_run:
            self.refuse(job, caller, _Code.RETRIES_EXHAUSTED, job.sends[-1])
        else:
            self.refuse(job, caller, code, ''.join(job.sends[-1:]))

    async def _send_plain(self, job, endpoint):
        job.attempts += 1
        job.endpoint = endpoint
        state = fleet.get_state(self.T, endpoint)
        state.requests += 1
        sent_before = job.maybe_run
        # Whatever cuts the exchange short, the endpoint may have run it.
        job.maybe_run = True
        try:
            outcome = await _sends.exchange(
                self.pool,
                endpoint.address,
                self.make_outgoing(job, [fleet.Part(endpoint, None)], None),
            )
        finally:
            state.requests -= 1
        if isinstance(outcome, _sends.NotRun):
            job.maybe_run = sent_before
        elif isinstance(outcome, _sends.Broken):
            self.note_broken(job, [fleet.Part(endpoint, None)])
        return outcome

    def _expire(self, job, caller):
        if job.endpoint is not None:
            state = fleet.get_state(self.T, job.endpoint)
            if state.progress_at < job.request.arrived_at:
                # It showed no sign of life all the while.
                routing.record_failure(state, self.now())
        if caller.answering:
            # Without the end of the body: it must not look complete.
            caller.abort()
            self.note_end(job, _Code.DEADLINE_WHILE_RUNNING, 'cut')
            return
        if job.maybe_run:
            code = _Code.DEADLINE_WHILE_RUNNING
        else:
            code = _Code.DEADLINE_BEFORE_START
        self.refuse(job, caller, code, 'no answer in time')


def send_refusal(caller, code, reason):
    """Send an answer of the system's own.

    Parameters
    ----------
    caller : CallerChannel
    code : sniperudder.outcomes.Code
    reason : str
    """
    status = _STATUSES[code]
    body = json.dumps({'code': int(code), 'reason': reason}).encode()
    headers = [(b'Content-Type', b'application/json')]
    if status == 503:
        wait_s = _RETRY_AFTER_S
        if code is _Code.SHED:
            wait_s = random.uniform(*_SHED_RETRY_S)
        headers.append((b'Retry-After', b'%.1f' % wait_s))
    caller.send_answer(status, headers, body)


def get_header(headers, wanted):
    """Return the value of a header, or None."""
    for name, _, value in headers:
        if name == wanted:
            return value
    return None
