"""Forwarding of requests, from arrival to the final response."""

import asyncio
import collections
import random

from sniperudder import clocks
from sniperudder import digests
from sniperudder import fleet
from sniperudder.forwarding import _attempts
from sniperudder.forwarding import _caller_connections
from sniperudder.forwarding import _crash_monitor
from sniperudder.forwarding import _exchanges
from sniperudder.forwarding import _guards
from sniperudder.forwarding import _jobs
from sniperudder.forwarding import _notices
from sniperudder.forwarding import _rerouting
from sniperudder.forwarding import _reservations
from sniperudder.forwarding import _shedding
from sniperudder.forwarding import _streams
from sniperudder import metrics
from sniperudder import outcomes
from sniperudder import platform
from sniperudder import routing

# Maximum number of sends of a request that are retried because no endpoint
# ran them.
_MAX_SENDS_NOT_RUN = 4

# Fraction of the engines' stall timeout after which a refusal indicates that
# a stage is dead rather than out of capacity.
_STALL_TIMEOUT_FRACTION = 0.8

# Time over which callers that were rejected during a pause of all endpoints
# return after its end, seconds.
_PAUSE_END_SPREAD_S = 0.5

# Window in which the requests of this instance are counted to divide rate
# limits among the instances, seconds.
_DEMAND_WINDOW_S = 4.0

_Code = outcomes.Code


class Forwarder:
    """Forwards requests to endpoints and retries them after failures.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    pool : ConnectionPool
    settings : sniperudder.fleet.InstanceSettings
    journal : object
        Event log with a method ``write(event, subject, **fields)``.
    request_metrics : sniperudder.metrics.Metrics
    rng : random.Random, optional

    Attributes
    ----------
    stop_at : float or None
        Loop time at which requests in progress are cut, while the instance is
        stopping, seconds.
    takes_estimated : bool
        Whether a request that may outlast the stop is accepted if it most
        likely does not.
    """

    def __init__(self, T, pool, settings, journal, request_metrics, rng=None):
        self.T = T
        self.pool = pool
        self.settings = settings
        self.journal = journal
        self.request_metrics = request_metrics
        self.rng = rng or random.Random()
        self.stop_at = None
        self.takes_estimated = True
        self._durations = routing.DurationEstimator()
        self.load_shedder = _shedding.LoadShedder(T, self.rng, journal)
        self.notice_recorder = _notices.NoticeRecorder(T, journal)
        self.rerouter = _rerouting.StreamRerouter(
            T, settings.name, self.rng, journal, self.notice_recorder
        )
        self.crash_monitor = _crash_monitor.CrashMonitor(
            T, pool, journal, self.rerouter.find_sign_of_life
        )
        self._budgets = {}
        self._rank_counters = collections.defaultdict(routing.RankCounter)
        self._slow_run_ids = set()
        # Configuration for which `has_early_checks` was determined.
        self._checked_configuration = None
        self._has_early_checks = False

    async def handle(self, request, caller):
        """Handle one request of a caller; passed to `CallerServer`.

        Parameters
        ----------
        request : CallerRequest
        caller : CallerConnection
        """
        job = _jobs.create_job(self.T, request, self.rng)
        if isinstance(job, _jobs.Rejection):
            self._reject(job, caller)
            return
        self.get_budget(job.service.name).record_request(self.now())
        blocked = self.crash_monitor.find_block(job)
        if blocked is not None:
            self._reject_blocked(job, caller, blocked)
            return
        if self._outlasts_stop(job):
            reason = 'would outlast the grace period'
            self.end_with_error(job, caller, _Code.STOPPING, reason)
            return
        if job.route.streaming and self.load_shedder.should_shed(job.rank):
            reason = f'pressure level {self.load_shedder.shedding_level:.2f}'
            self.end_with_error(job, caller, _Code.SHED, reason)
            return
        if self._exceeds_limits(job):
            reason = 'beyond the rate limits of all endpoints'
            self.end_with_error(job, caller, _Code.SHED, reason)
            return
        try:
            async with asyncio.timeout_at(job.deadline):
                if job.route.streaming:
                    await _streams.forward_stream(self, job, caller)
                else:
                    await self._forward_buffered(job, caller)
        except TimeoutError:
            self._handle_timeout(job, caller)
        except asyncio.CancelledError:
            if caller.cut is not None:
                code = _Code.CALLER_LEFT
                if caller.cut is _caller_connections.Cut.STOPPED:
                    code = _Code.STOPPED_WHILE_RUNNING
                self.record_end(job, code, caller.cut.value)
            raise

    def record_cut(self, request, cut):
        """Record a request that was read and got no complete response.

        Parameters
        ----------
        request : CallerRequest
        cut : Cut
        """
        head = platform.decode_request_head(
            (name, value) for name, _, value in request.headers
        )
        metrics.count_event(self.request_metrics, f'cut:{cut.value}')
        self.journal.write('request:cut', head.request_id, reason=cut.value)

    def apply_settings(self, settings):
        """Apply changed settings; retries already spent remain counted."""
        self.settings = settings
        bounds = settings.bounds
        for budget in self._budgets.values():
            budget.set_limits(bounds.retry_ratio, bounds.retry_window_s)

    @property
    def has_early_checks(self):
        """Whether any route has a target that calls for early checks."""
        configuration = self.T.configuration
        if not self.settings.features.early_stall_checks:
            return False
        if configuration is not self._checked_configuration:
            self._checked_configuration = configuration
            self._has_early_checks = _attempts.has_early_checks(configuration)
        return self._has_early_checks

    def log_slow_endpoints(self):
        """Log which endpoints became slow or ceased to be slow."""
        now = self.now()
        for endpoint in self.T.endpoints.values():
            run_id = endpoint.id, endpoint.born_ms
            slowness = self.T.speeds.get_slowness(run_id, now)
            if (slowness > 1.0) == (run_id in self._slow_run_ids):
                continue
            self._slow_run_ids ^= {run_id}
            self.journal.write(
                'endpoint:slow' if slowness > 1.0 else 'endpoint:not slow',
                endpoint.id,
                slowness=round(slowness, 1),
            )
        self._slow_run_ids &= {
            (e.id, e.born_ms) for e in self.T.endpoints.values()
        }

    def list_fault_notices(self):
        """Return the fault notices to send to other instances."""
        now = self.now()
        return tuple(
            digests.Fault(name, born_ms, state.dead_until - now)
            for (name, born_ms), state in self.T.states.items()
            if state.dead_until > now
        )

    def apply_fault_notices(self, sender, faults):
        """Avoid the stages for which another instance sent fault notices."""
        now = self.now()
        for fault in faults:
            state = self.T.states.get((fault.endpoint, fault.born_ms))
            if state is None or routing.is_avoided(state, now):
                continue
            if routing.record_fault_notice(state, now, fault.left_s):
                self.journal.write(
                    'endpoint:told dead', fault.endpoint, by=sender
                )

    def list_restrictions(self):
        """Return the restrictions of endpoints to tell other instances.

        Returns
        -------
        dict of (str, int) to sniperudder.digests.Restriction
        """
        now = clocks.read_clock()
        statements = self.T.notices.list_statements(
            now, digests.MAX_RESTRICTIONS
        )
        return {
            run_id: digests.Restriction(
                known.leaving, known.rate_limit, now - known.stated_at
            )
            for run_id, known in statements
        }

    def apply_restrictions(self, sender, restrictions):
        """Apply restrictions of which another instance told."""
        now = clocks.read_clock()
        for run_id, told in restrictions.items():
            changed = self.T.notices.apply_limit(
                run_id, told.rate_limit, now - told.age_s
            )
            if told.leaving:
                changed |= self.T.notices.apply_leaving(
                    run_id, now - told.age_s
                )
            if changed:
                self.journal.write(
                    'endpoint:notice',
                    run_id[0],
                    leaving=told.leaving,
                    rate_limit=told.rate_limit,
                    age_s=round(told.age_s, 3),
                    by=sender,
                )

    def list_demands(self):
        """Return the requests per second of this instance by service."""
        now = self.now()
        return {
            service: budget.get_request_rate(now, _DEMAND_WINDOW_S)
            for service, budget in self._budgets.items()
        }

    def list_restricted(self, endpoints):
        """Return the ids of endpoints that may be sent no request now."""
        return routing.list_restricted(self.T, endpoints, clocks.read_clock())

    def create_guard(self, endpoint):
        """Return the guard of a send to an endpoint."""
        return _guards.SendGuard(self.T, endpoint, self.notice_recorder)

    def now(self):
        """Return the time of the event loop, seconds."""
        return asyncio.get_running_loop().time()

    def get_budget(self, service):
        """Return this instance's share of a service's retry budget."""
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = self._budgets[service] = routing.RetryBudget(
                bounds.retry_ratio, bounds.retry_window_s
            )
        return budget

    def get_remaining_s(self, job):
        """Return the time until the caller or the route times out, seconds."""
        deadlines = [job.request.arrived_at + job.route.timeout_s]
        if job.caller_deadline is not None:
            deadlines.append(job.caller_deadline)
        return min(deadlines) - self.now()

    def has_attempts_left(self, job):
        """Return whether the route allows another attempt."""
        return job.attempts < job.route.max_attempts

    async def take_retry_after_not_run(self, job, outcome):
        """Take a retry after a send that was not run, if it is allowed.

        If the send reached an endpoint, waits for the backoff and takes the
        retry from the budget.

        Parameters
        ----------
        job : Job
        outcome : NotRun

        Returns
        -------
        bool
            Whether to retry.
        """
        if job.sends_not_run > _MAX_SENDS_NOT_RUN:
            return False
        if outcome.reached_endpoint:
            await asyncio.sleep(_jobs.get_not_run_backoff_s(job))
        if self.crash_monitor.is_blocked(job):
            return False
        return not outcome.reached_endpoint or self._spend_retry(job)

    def may_retry(self, job):
        """Return whether the route allows an attempt that crashes nothing."""
        return self.has_attempts_left(
            job
        ) and not self.crash_monitor.is_blocked(job)

    def take_retry(self, job):
        """Take a retry from the budget, if the route allows one.

        Returns whether to send the request to another endpoint.
        """
        return self.may_retry(job) and self._spend_retry(job)

    def give_retry_back(self, job):
        """Return a retry that was taken and reached no endpoint."""
        self.get_budget(job.service.name).give_back()

    def _spend_retry(self, job):
        budget = self.get_budget(job.service.name)
        return budget.spend(self.now(), self._get_slack())

    def _get_slack(self):
        return routing.get_slack_share(
            self.settings.bounds.retry_slack,
            1 + len(self.T.peers.peers) if self.T.instances_known else None,
        )

    def create_outgoing_request(self, job, stages, last_event_id):
        """Return the request to send to the first endpoint of a chain.

        Parameters
        ----------
        job : Job
        stages : sequence of sniperudder.fleet.Stage
        last_event_id : str or None
            Id of the event after which to resume a stream.

        Returns
        -------
        OutgoingRequest
        """
        request = job.request
        organisation = job.organisation
        headers = [
            (b'Host', _jobs.get_header(request.headers, b'host') or b'')
        ]
        headers += platform.filter_request_headers(
            request.headers, job.hide_key
        )
        headers += platform.make_request_headers(
            stages,
            self.get_remaining_s(job),
            job.rank,
            organisation.name if organisation else None,
            last_event_id,
        )
        if request.body or request.method in (b'POST', b'PUT', b'PATCH'):
            headers.append((b'Content-Length', b'%d' % len(request.body)))
        return _exchanges.OutgoingRequest(
            job.head.request_id,
            request.method,
            request.target,
            headers,
            request.body,
        )

    def log_send(self, job, stages, **fields):
        """Log a send with the state that is known of its first endpoint."""
        first = stages[0].endpoint
        state = fleet.get_state(self.T, first)
        limit = self.T.notices.get((first.id, first.born_ms))
        if limit.rate_limit is not None:
            fields['rate_limit'] = limit.rate_limit
            fields['limit_age_s'] = round(
                clocks.read_clock() - limit.stated_at, 2
            )
        if not job.send_outcomes:
            waited_s = self.now() - job.request.arrived_at
            metrics.record_duration(
                self.request_metrics,
                metrics.Timing.WAIT,
                job.rank,
                '',
                waited_s,
            )
        self.journal.write(
            'request:sent',
            job.head.request_id,
            attempt=job.attempts,
            endpoint=first.id,
            path=platform.format_path(stages),
            in_flight=state.requests,
            in_flight_others=self.T.peers.get_load(first.id).requests,
            instances=self.T.peers.count_alive(),
            avoided=routing.is_avoided(state, self.now()),
            **fields,
        )

    def record_outcome(self, job, stages, outcome, sent_at):
        """Update the endpoint states and the job after a send.

        A send that was not run does not count as an attempt.

        Parameters
        ----------
        job : Job
        stages : sequence of sniperudder.fleet.Stage
        outcome : Answered, NotRun or Interrupted
        sent_at : float
            Loop time, seconds.
        """
        now = self.now()
        elapsed_s = now - sent_at
        endpoint = stages[0].endpoint
        if isinstance(outcome, _exchanges.NotRun):
            job.attempts -= 1
            job.sends_not_run += 1
        if isinstance(outcome, _exchanges.Answered):
            routing.record_success(fleet.get_state(self.T, endpoint), now)
            job.send_outcomes.append(f'{endpoint.id}: {outcome.status}')
            return
        failed_endpoint = endpoint
        if isinstance(outcome, _exchanges.NotRun) and outcome.fault_address:
            for stage in stages:
                if stage.endpoint.address == outcome.fault_address:
                    failed_endpoint = stage.endpoint
        if isinstance(outcome, _exchanges.NotRun) and outcome.restricted:
            job.send_outcomes.append(f'{endpoint.id}: {outcome.reason}')
            return
        state = fleet.get_state(self.T, failed_endpoint)
        if (
            not isinstance(outcome, _exchanges.NotRun)
            or not outcome.reached_endpoint
        ):
            routing.record_failure(state, now)
        elif outcome.misdirected:
            routing.record_layer_mismatch(state, now)
        elif (
            elapsed_s >= self.settings.bounds.stall_s * _STALL_TIMEOUT_FRACTION
        ):
            # The engine timed out waiting for this stage.
            routing.record_dead(state, now, _rerouting.DEAD_AVOID_S)
        else:
            routing.record_refusal(state, now)
        job.failed_ids.add(failed_endpoint.id)
        job.send_outcomes.append(
            f'{endpoint.id}: {outcome.reason} at {failed_endpoint.id}'
        )

    def end_with_error(self, job, caller, code, reason):
        """Send an error response of the router itself and log it."""
        _jobs.send_error_response(
            caller, code, reason, self._get_pause_retry_after_s(job, code)
        )
        self.record_end(job, code, reason)

    def record_end(self, job, code, reason='', **fields):
        """Log the end of a request and update the metrics.

        Parameters
        ----------
        job : Job
        code : sniperudder.outcomes.Code
        reason : str
        **fields
            Further fields of the log line.
        """
        elapsed_s = self.now() - job.request.arrived_at
        organisation = job.organisation.name if job.organisation else ''
        if code is _Code.ANSWERED and job.head.last_event_id is None:
            self._durations.record(
                _jobs.get_duration_key(job),
                _jobs.get_duration_size(job),
                elapsed_s,
            )
        metrics.record_duration(
            self.request_metrics,
            metrics.Timing.TOTAL,
            job.rank,
            organisation,
            elapsed_s,
        )
        metrics.count_event(
            self.request_metrics,
            f'{job.service.name}:{job.rank}:{code.name.lower()}',
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
            revision=str(self.T.configuration_revision),
            sends=job.send_outcomes,
            **fields,
            duration_ms=round(elapsed_s * 1000),
        )

    def _outlasts_stop(self, job):
        """Return whether a planned stop would or may cut a request."""
        if self.stop_at is None or job.deadline <= self.stop_at:
            return False
        if not self.takes_estimated:
            return True
        estimate_s = self._durations.estimate_s(
            _jobs.get_duration_key(job), _jobs.get_duration_size(job)
        )
        return self.now() + (estimate_s or 0.0) >= self.stop_at

    def _exceeds_limits(self, job):
        """Return whether to reject a request for its rank; drawn at random.

        This is the case only while all endpoints have a rate limit.
        """
        counter = self._rank_counters[job.service.name]
        counter.record_request(job.rank, self.now())
        if not self.T.quotas.quotas:
            return False
        capacity_per_s = routing.get_limited_capacity(
            self.T, self._list_first_stages(job.service), clocks.read_clock()
        )
        if capacity_per_s is None:
            return False
        shares = routing.compute_admitted_shares(
            counter.get_rates(self.now()), capacity_per_s
        )
        return self.rng.random() >= shares[job.rank]

    def _list_first_stages(self, service):
        """Return the endpoints that may receive requests of a service."""
        return [
            endpoint
            for endpoint in fleet.list_endpoints(self.T, service.name)
            if endpoint.layers is None or endpoint.layers.start == 0
        ]

    def _get_pause_retry_after_s(self, job, code):
        """Return when the first of the service's endpoints ends its pause.

        Returns None if one of them accepts requests now, seconds otherwise.
        """
        if code not in (_Code.SHED, _Code.TARGET_UNREACHABLE):
            return None
        pause_s = routing.get_pause_s(
            self.T, self._list_first_stages(job.service), clocks.read_clock()
        )
        if not pause_s:
            return None
        return pause_s + self.rng.uniform(0.0, _PAUSE_END_SPREAD_S)

    def _reject_blocked(self, job, caller, blocked):
        code = _Code.CONTENT_CONDEMNED
        reason = f'crashed endpoints before: {", ".join(sorted(blocked))}'
        retry_after_s = self.crash_monitor.get_retry_after_s(blocked)
        _jobs.send_error_response(caller, code, reason, retry_after_s)
        self.record_end(job, code, reason)

    def _reject(self, rejection, caller):
        code = rejection.code
        _jobs.send_error_response(caller, code, '')
        metrics.count_event(
            self.request_metrics, f'rejected:{code.name.lower()}'
        )
        version = self.T.configuration and self.T.configuration.version
        self.journal.write(
            'request:rejected',
            rejection.request_id,
            code=int(code),
            version=version,
            revision=str(self.T.configuration_revision),
        )

    async def _forward_buffered(self, job, caller):
        last_response = None
        while True:
            endpoints = fleet.list_endpoints(self.T, job.service.name)
            endpoint = routing.choose_endpoint(
                self.T,
                endpoints,
                self.settings.data_centre,
                self.now(),
                self.rng,
                job.failed_ids,
                self.list_restricted(endpoints),
            )
            if endpoint is None:
                code = _Code.SHED if endpoints else _Code.NO_ENDPOINT
                break
            sent_at = self.now()
            outcome = await self._send_buffered(job, endpoint, caller)
            stages = (fleet.Stage(endpoint, None),)
            self.record_outcome(job, stages, outcome, sent_at)
            if isinstance(outcome, _exchanges.Answered):
                last_response = outcome
                if (
                    outcome.status < _jobs.MIN_SERVER_ERROR_STATUS
                    or not job.route.repeatable
                ):
                    break
                job.failed_ids.add(endpoint.id)
            elif isinstance(outcome, _exchanges.NotRun):
                code = _Code.TARGET_UNREACHABLE
                if not await self.take_retry_after_not_run(job, outcome):
                    break
                continue
            elif not job.route.repeatable:
                code = _Code.RETRIES_EXHAUSTED
                break
            if not self.take_retry(job):
                break
        if last_response is not None:
            caller.send_response(
                last_response.status, last_response.headers, last_response.body
            )
            self.record_end(
                job, _Code.ANSWERED, f'status {last_response.status}'
            )
        elif job.may_have_run:
            self.end_with_error(
                job, caller, _Code.RETRIES_EXHAUSTED, job.send_outcomes[-1]
            )
        else:
            self.end_with_error(
                job, caller, code, ''.join(job.send_outcomes[-1:])
            )

    async def _send_buffered(self, job, endpoint, caller):
        job.attempts += 1
        job.endpoint = endpoint
        stages = (fleet.Stage(endpoint, None),)
        reservation = _reservations.Reservation(self.T, 0.0)
        reservation.reserve(stages, self.now())
        self.log_send(job, stages)
        # Counted before the exchange: if it is interrupted, the endpoint may
        # have run the request.
        job.possible_runs += 1
        try:
            outcome = await _exchanges.run_exchange(
                self.pool,
                endpoint.address,
                self.create_outgoing_request(job, stages, None),
                self.create_guard(endpoint),
                caller.reserve_response,
            )
            if (
                isinstance(outcome, _exchanges.Answered)
                and outcome.ends_with_connection
                and not await self.crash_monitor.has_ended_response(stages[0])
            ):
                outcome = _exchanges.Interrupted('crashed or left at the end')
        finally:
            reservation.clear()
        if isinstance(outcome, _exchanges.NotRun):
            job.possible_runs -= 1
        elif isinstance(outcome, _exchanges.Interrupted):
            self.crash_monitor.record_interruption(
                job, stages, outcome.reason, survived=False
            )
        else:
            self.crash_monitor.record_survival(job)
        return outcome

    def _handle_timeout(self, job, caller):
        if job.endpoint is not None:
            state = fleet.get_state(self.T, job.endpoint)
            if state.progress_at < job.request.arrived_at:
                # The endpoint made no progress during the whole request. This
                # counts only as a refusal, because a request may also take
                # longer than its route allows.
                routing.record_refusal(state, self.now())
        if caller.response_started:
            # Omit the end of the body, so that it does not look complete.
            caller.abort(_caller_connections.Cut.OUT_OF_TIME)
            self.record_end(job, _Code.DEADLINE_WHILE_RUNNING, 'cut')
            return
        if job.may_have_run:
            code = _Code.DEADLINE_WHILE_RUNNING
        else:
            code = _Code.DEADLINE_BEFORE_START
        self.end_with_error(job, caller, code, 'no answer in time')
