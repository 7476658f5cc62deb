"""The way of a request from its caller to its final answer."""

import asyncio
import random

from sniperudder import digests
from sniperudder import fleet
from sniperudder.forwarding import _holdings
from sniperudder.forwarding import _jobs
from sniperudder.forwarding import _moves
from sniperudder.forwarding import _pressure
from sniperudder.forwarding import _sends
from sniperudder.forwarding import _streams
from sniperudder import metrics
from sniperudder import outcomes
from sniperudder import platform
from sniperudder import routing

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
        self.pressure = _pressure.FleetPressure(T, self.rng, journal)
        self.mover = _moves.Mover(T, self.rng, journal)
        self._budgets = {}
        self._slow = set()

    async def handle(self, request, caller):
        """Answer one request; the server's handler."""
        job = _jobs.create_job(self.T, request, self.rng)
        if isinstance(job, _jobs.Rejection):
            self._reject(job, caller)
            return
        self.get_budget(job.service.name).record_request(self.now())
        if self.crashes.is_condemned(self.make_fingerprint(job)):
            reason = 'crashed endpoints before'
            self.refuse(job, caller, _Code.CONTENT_CONDEMNED, reason)
            return
        if job.route.streaming and self.pressure.sheds(job.rank):
            reason = f'pressure level {self.pressure.level:.2f}'
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

    def apply_settings(self, settings):
        """Go on with changed settings; what was spent stays spent."""
        self.settings = settings
        bounds = settings.bounds
        for budget in self._budgets.values():
            budget.set_bounds(bounds.repeat_ratio, bounds.repeat_window_s)

    def note_speeds(self):
        """Log which endpoints began or ceased to count as slow."""
        now = self.now()
        for endpoint in self.T.endpoints.values():
            run = endpoint.id, endpoint.born_ms
            slowness = self.T.speeds.get_slowness(run, now)
            if (slowness > 1.0) == (run in self._slow):
                continue
            self._slow ^= {run}
            self.journal.write(
                'endpoint:slow' if slowness > 1.0 else 'endpoint:not slow',
                endpoint.id,
                slowness=round(slowness, 1),
            )
        self._slow &= {(e.id, e.born_ms) for e in self.T.endpoints.values()}

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
        headers = [
            (b'Host', _jobs.get_header(request.headers, b'host') or b'')
        ]
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

    def note_sent(self, job, parts, **fields):
        """Log where a request is sent, and what was known of the place."""
        first = parts[0].endpoint
        state = fleet.get_state(self.T, first)
        if not job.sends:
            waited_s = self.now() - job.request.arrived_at
            metrics.record_time(
                self.measures, metrics.Timing.WAIT, job.rank, '', waited_s
            )
        self.journal.write(
            'request:sent',
            job.head.request_id,
            attempt=job.attempts,
            endpoint=first.id,
            path=platform.write_path(parts),
            in_flight=state.requests,
            in_flight_others=self.T.peers.get_load(first.id).requests,
            instances=self.T.peers.count_alive(),
            avoided=routing.is_avoided(state, self.now()),
            **fields,
        )

    def note_outcome(self, job, parts, outcome, sent_at):
        """Keep what a send tells of its stages, for choices and log."""
        now = self.now()
        took_s = now - sent_at
        endpoint = parts[0].endpoint
        if isinstance(outcome, _sends.Answered):
            routing.record_success(fleet.get_state(self.T, endpoint), now)
            job.sends.append(f'{endpoint.id}: {outcome.status}')
            return
        fault = endpoint
        if isinstance(outcome, _sends.NotRun) and outcome.fault_address:
            for part in parts:
                if part.endpoint.address == outcome.fault_address:
                    fault = part.endpoint
        state = fleet.get_state(self.T, fault)
        if not isinstance(outcome, _sends.NotRun) or not outcome.arrived:
            routing.record_failure(state, now)
        elif outcome.misplaced:
            routing.record_misplaced(state, now)
        elif took_s >= self.settings.bounds.stall_s * _STALLED_SHARE:
            # The engine gave up waiting for this stage.
            routing.record_dead(state, now, _moves.DEAD_AVOID_S)
        else:
            routing.record_refusal(state, now)
        job.tried.add(fault.id)
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

    def refuse(self, job, caller, code, reason):
        """Answer for the system itself, and log it."""
        _jobs.send_refusal(caller, code, reason)
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

    def _reject(self, rejection, caller):
        code = rejection.code
        _jobs.send_refusal(caller, code, '')
        metrics.count_event(self.measures, f'rejected:{code.name.lower()}')
        version = self.T.configuration and self.T.configuration.version
        self.journal.write(
            'request:rejected',
            rejection.request_id,
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
                code = _Code.SHED if endpoints else _Code.NO_ENDPOINT
                break
            sent_at = self.now()
            outcome = await self._send_plain(job, endpoint)
            parts = (fleet.Part(endpoint, None),)
            self.note_outcome(job, parts, outcome, sent_at)
            if isinstance(outcome, _sends.Answered):
                last = outcome
                if (
                    outcome.status < _jobs.SERVER_ERROR
                    or not job.route.repeatable
                ):
                    break
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
        parts = (fleet.Part(endpoint, None),)
        holding = _holdings.Holding(self.T, 0.0)
        holding.take(parts, self.now())
        self.note_sent(job, parts)
        sent_before = job.maybe_run
        # Whatever cuts the exchange short, the endpoint may have run it.
        job.maybe_run = True
        try:
            outcome = await _sends.exchange(
                self.pool,
                endpoint.address,
                self.make_outgoing(job, parts, None),
            )
        finally:
            holding.drop()
        if isinstance(outcome, _sends.NotRun):
            job.maybe_run = sent_before
        elif isinstance(outcome, _sends.Broken):
            self.note_broken(job, parts)
        return outcome

    def _expire(self, job, caller):
        if job.endpoint is not None:
            state = fleet.get_state(self.T, job.endpoint)
            if state.progress_at < job.request.arrived_at:
                # It showed no sign of life all the while; but a request may
                # also take longer than its route allows.
                routing.record_refusal(state, self.now())
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
