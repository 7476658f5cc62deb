"""Forwarding of event streams, resumed at other chains after failures."""

import asyncio

from sniperudder import fleet
from sniperudder.forwarding import _attempts
from sniperudder.forwarding import _caller_connections
from sniperudder.forwarding import _events
from sniperudder.forwarding import _exchanges
from sniperudder.forwarding import _jobs
from sniperudder.forwarding import _progress
from sniperudder.forwarding import _selection
from sniperudder import metrics
from sniperudder import outcomes
from sniperudder import routing

_Code = outcomes.Code
_Signal = _attempts.Signal

# Time since the last event for which a chain is sought to resume a stream, and
# the interval of the attempts, seconds. Callers leave after a gap of 2 s.
_MAX_RESUME_WAIT_S = 1.5
_RESUME_INTERVAL_S = 0.1

# Interval at which a stream that was refused too often is sent again, seconds.
_REFUSED_INTERVAL_S = 0.2

# Number of sends that were not run after which no more attempts are begun
# beside a silent one.
_MAX_REFUSALS_BESIDE = 6

# Time without an event after which another attempt is begun beside one whose
# first stage is leaving, seconds. Callers leave after 2 s.
_LEAVING_SILENCE_S = 1.3

# Number of attempts of one stream that may run at the same time.
_MAX_CONCURRENT_ATTEMPTS = 2

_FIRST_STAGE_FAILED = _exchanges.Interrupted('first stage silent')


async def forward_stream(forwarder, job, caller):
    """Forward a stream, resuming it at other chains after failures.

    Parameters
    ----------
    forwarder : Forwarder
    job : Job
    caller : CallerConnection
    """
    relay = _StreamRelay(forwarder, job, caller)
    try:
        await relay.run()
    finally:
        relay.close()


class _StreamRelay:
    """Relays one stream from the attempt that makes progress.

    If the first stage of an attempt is silent, another attempt is begun at
    another chain. The silent one is kept, because it may go on and the other
    chain may refuse the stream: whichever delivers an event first is relayed,
    and only then is the other one ended.
    """

    def __init__(self, forwarder, job, caller):
        self._forwarder = forwarder
        self._job = job
        self._caller = caller
        resumed_from = job.head.last_event_id
        self._stream = _progress.StreamProgress(
            None
            if resumed_from is None
            else _events.parse_event_id(resumed_from.encode('latin-1'))
        )
        # Attempts in progress, the oldest first, and the tasks that receive
        # from them. A single attempt needs no task.
        self._attempts = {}
        # Loop time of the next attempt beside a silent one, or None.
        self._begin_elsewhere_at = None
        # Attempt that ended without an event beside a silent one.
        self._empty = None
        self._answer = None
        self._code = _Code.NO_ENDPOINT

    async def run(self):
        """Forward the stream, or fail it."""
        while await self._begin_attempt():
            outcome = await self._relay()
            if outcome is _Signal.COMPLETE:
                self._finish()
                return
            if not await self._take_retry(outcome):
                break
        self._fail()

    def close(self):
        """End all attempts."""
        for attempt in list(self._attempts):
            self._remove(attempt).close()

    async def _begin_attempt(self):
        """Begin an attempt at a chain; return False if there is none."""
        stages = _selection.choose_stages(self._forwarder, self._job)
        while not stages and self._may_wait():
            # A chain that is full now, or a stage that was silent, may serve
            # the stream a moment later.
            await asyncio.sleep(_RESUME_INTERVAL_S)
            if not self._forwarder.may_retry(self._job):
                break
            self._job.failed_ids.clear()
            stages = _selection.choose_stages(self._forwarder, self._job)
        if not stages:
            if not self._job.send_outcomes:
                self._code = _selection.classify_shortage(
                    self._forwarder, self._job
                )
            return False
        self._add_attempt(stages)
        return True

    def _add_attempt(self, stages):
        self._begin_elsewhere_at = None
        attempt = _attempts.Attempt(
            self._forwarder, self._job, self._caller, self._stream, stages
        )
        self._attempts[attempt] = None
        attempt.begin()
        return attempt

    async def _relay(self):
        """Relay events until all attempts have ended.

        Returns
        -------
        Signal, Answered, NotRun or Interrupted
            `Signal.COMPLETE`, or the outcome of the last attempt.
        """
        while True:
            if (
                len(self._attempts) == 1
                and self._begin_elsewhere_at is None
                and self._empty is None
            ):
                ((attempt, task),) = self._attempts.items()
                received = await (task or attempt.receive(self._send_events))
                self._attempts[attempt] = None
            else:
                attempt, received = await self._receive_first()
            if received is _Signal.SILENT:
                self._begin_elsewhere(attempt)
                continue
            if received is _Signal.COMPLETE:
                if attempt is self._empty:
                    return self._end_as_empty()
                if self._is_doubtful(attempt):
                    self._remove(attempt).end(received)
                    self._empty = attempt
                    continue
                self._prefer(attempt)
                self._send_end(attempt)
            self._end(attempt, received)
            if received is _Signal.COMPLETE:
                return received
            if not self._attempts:
                return (
                    received if self._empty is None else self._end_as_empty()
                )
            (remaining,) = self._attempts
            if isinstance(received, _exchanges.NotRun) and remaining.suspected:
                self._begin_elsewhere_at = (
                    self._forwarder.now()
                    + _jobs.get_not_run_backoff_s(self._job)
                )

    async def _receive_first(self):
        """Return the first attempt that receives no more, and its result.

        Returns a silent attempt if it is time for another one beside it, and
        the attempt that ended without an event if no other one goes on.
        """
        while True:
            for attempt, task in self._attempts.items():
                if task is None:
                    self._attempts[attempt] = asyncio.create_task(
                        attempt.receive(self._send_events)
                    )
            wait_s = None
            if self._empty is not None:
                believed_at = self._stream.last_event_at + _MAX_RESUME_WAIT_S
                wait_s = max(believed_at - self._forwarder.now(), 0.0)
            elif self._begin_elsewhere_at is not None:
                wait_s = self._begin_elsewhere_at - self._forwarder.now()
            done, _ = await asyncio.wait(
                self._attempts.values(),
                timeout=wait_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for attempt, task in self._attempts.items():
                if task in done:
                    self._attempts[attempt] = None
                    return attempt, task.result()
            # Otherwise, one of them was ended for the sake of another.
            if not done and self._empty is not None:
                return self._empty, _Signal.COMPLETE
            if not done and self._begin_elsewhere_at is not None:
                return next(iter(self._attempts)), _Signal.SILENT

    def _is_doubtful(self, attempt):
        """Return whether an end without an event may not be the stream's.

        A silent attempt that is still open may go on.
        """
        return (
            self._stream.started
            and not attempt.has_events
            and len(self._attempts) > 1
        )

    def _end_as_empty(self):
        """End the stream, as an attempt did that had no further event."""
        self._end_others(self._empty)
        self._send_end(self._empty)
        return _Signal.COMPLETE

    def _begin_elsewhere(self, silent):
        """Begin another attempt beside one whose first stage is silent."""
        self._begin_elsewhere_at = None
        if self._empty is not None:
            return
        if len(self._attempts) >= _MAX_CONCURRENT_ATTEMPTS:
            return
        forwarder, job = self._forwarder, self._job
        if job.sends_not_run >= _MAX_REFUSALS_BESIDE:
            return
        is_serving = fleet.is_serving(forwarder.T, silent.stages[0])
        if not is_serving and not self._has_waited(silent):
            return
        stages = self._choose_other_stages(silent)
        if not stages or not forwarder.take_retry(job):
            return
        if is_serving and not silent.suspected:
            silent.suspect()
            forwarder.record_outcome(
                job, silent.stages, _FIRST_STAGE_FAILED, silent.sent_at
            )
        self._add_attempt(stages).is_charged = True

    def _has_waited(self, silent):
        """Return whether a leaving stage has been silent for long.

        It refuses new connections, so that no report tells whether it still
        completes what it has begun.
        """
        last_event_at = self._stream.last_event_at or silent.sent_at
        return self._forwarder.now() - last_event_at >= _LEAVING_SILENCE_S

    def _choose_other_stages(self, silent):
        """Choose a chain with another first stage, best with others only."""
        chain = [stage.endpoint.id for stage in silent.present_stages]
        for excluded in (chain, chain[:1]):
            stages = _selection.choose_stages(
                self._forwarder, self._job, excluded
            )
            if not stages and self._job.failed_ids:
                # Those that refused it may have room by now.
                self._job.failed_ids.clear()
                stages = _selection.choose_stages(
                    self._forwarder, self._job, excluded
                )
            if stages:
                return stages
        return ()

    def _send_events(self, attempt, events):
        """Send events to the caller; return an outcome if that ends them."""
        sent, interrupted = _progress.forward_events(
            self._forwarder,
            self._caller,
            self._stream,
            attempt.headers,
            events,
            self._job.route.gap_target_s,
        )
        if sent:
            self._prefer(attempt)
            attempt.record_progress(sent)
        return interrupted

    def _send_end(self, attempt):
        if not self._stream.started:
            self._caller.start_response(200, attempt.headers)
            self._stream.started = True
        self._caller.end_response()

    def _end(self, attempt, outcome):
        """End an attempt that has an outcome, and record the outcome."""
        self._remove(attempt).end(outcome)
        if outcome is _Signal.COMPLETE:
            return
        forwarder, job = self._forwarder, self._job
        if not attempt.suspected or not isinstance(
            outcome, _exchanges.Interrupted
        ):
            forwarder.record_outcome(
                job, attempt.stages, outcome, attempt.sent_at
            )
        if isinstance(outcome, _exchanges.NotRun):
            self._code = _Code.TARGET_UNREACHABLE
            if (
                attempt.is_charged
                and not outcome.reached_endpoint
                and self._attempts
            ):
                # The last one's retry serves for the send that follows.
                forwarder.give_retry_back(job)
        elif isinstance(outcome, _exchanges.Answered):
            self._answer = outcome
            if outcome.status >= _jobs.MIN_SERVER_ERROR_STATUS:
                job.failed_ids.add(attempt.first_endpoint.id)
        else:
            job.failed_ids.add(attempt.first_endpoint.id)

    def _end_others(self, relayed):
        """End the other attempts."""
        for attempt in [a for a in self._attempts if a is not relayed]:
            task = self._attempts[attempt]
            if (
                task is not None
                and task.done()
                and (task.result() is not _Signal.SILENT)
            ):
                self._end(attempt, task.result())
            elif attempt.suspected:
                self._remove(attempt).end(_FIRST_STAGE_FAILED)
            elif attempt.was_sent:
                self._remove(attempt).close()
            else:
                self._end_unsent(attempt)
            self._forwarder.journal.write(
                'request:superseded',
                self._job.head.request_id,
                attempt=attempt.number,
                endpoint=attempt.first_endpoint.id,
                by=relayed.first_endpoint.id,
            )

    def _end_unsent(self, attempt):
        """End an attempt that no endpoint knows of, and take it back."""
        self._remove(attempt).end(_exchanges.NotRun('not sent'))
        self._job.attempts -= 1
        if attempt.is_charged:
            self._forwarder.give_retry_back(self._job)

    def _prefer(self, attempt):
        """Relay this attempt from now on, since it makes progress."""
        self._begin_elsewhere_at = None
        self._empty = None
        if len(self._attempts) > 1:
            self._end_others(attempt)
            self._job.endpoint = attempt.first_endpoint
        if attempt.suspected:
            # Its first stage was silent and goes on.
            attempt.suspected = False
            routing.record_success(
                fleet.get_state(self._forwarder.T, attempt.first_endpoint),
                self._forwarder.now(),
            )

    def _remove(self, attempt):
        task = self._attempts.pop(attempt)
        if task is not None:
            task.cancel()
            # It may hold a connection that was just opened.
            task.add_done_callback(lambda _: attempt.close())
        return attempt

    async def _take_retry(self, outcome):
        """Take a retry after the last attempt has ended, if it is allowed.

        A stream that has begun waits for it as long as its caller does.
        """
        forwarder, job = self._forwarder, self._job
        if isinstance(outcome, _exchanges.NotRun):
            if await forwarder.take_retry_after_not_run(job, outcome):
                return True
        elif _is_accepted(outcome) or not self._stream.can_resume(job):
            return False
        elif forwarder.take_retry(job):
            return True
        while self._may_wait() and forwarder.may_retry(job):
            await asyncio.sleep(_REFUSED_INTERVAL_S)
            if forwarder.take_retry(job):
                return True
        return False

    def _may_wait(self):
        """Return whether a stream that has begun can be resumed later."""
        stream = self._stream
        if not stream.started or not stream.can_resume(self._job):
            return False
        elapsed_s = self._forwarder.now() - stream.last_event_at
        return elapsed_s <= _MAX_RESUME_WAIT_S

    def _finish(self):
        """Record the end of a stream that was relayed to its end."""
        forwarder, job, stream = self._forwarder, self._job, self._stream
        first_event_at = stream.first_event_at or forwarder.now()
        first_event_s = first_event_at - job.request.arrived_at
        metrics.record_duration(
            forwarder.request_metrics,
            metrics.Timing.FIRST_TOKEN,
            job.rank,
            job.organisation.name if job.organisation else '',
            first_event_s,
        )
        metrics.record_durations(
            forwarder.request_metrics,
            metrics.Timing.BETWEEN_TOKENS,
            job.rank,
            '',
            stream.gaps_s,
        )
        forwarder.record_end(
            job,
            _Code.ANSWERED,
            f'{stream.events} events',
            first_ms=round(first_event_s * 1000),
            pause_ms=round(max(stream.gaps_s, default=0.0) * 1000),
        )

    def _fail(self):
        """End the request of a stream that no chain serves."""
        forwarder, job, caller = self._forwarder, self._job, self._caller
        reason = ''.join(job.send_outcomes[-1:])
        if self._stream.started:
            # Omit the end of the body, so that it does not look complete.
            caller.abort(_caller_connections.Cut.BROKEN_OFF)
            reason = f'{self._stream.events} events, then {reason}'
            forwarder.record_end(job, _Code.RETRIES_EXHAUSTED, reason)
        elif self._answer is not None:
            answer = self._answer
            caller.send_response(answer.status, answer.headers, answer.body)
            reason = f'status {answer.status}'
            forwarder.record_end(job, _Code.ANSWERED, reason)
        elif job.may_have_run:
            forwarder.end_with_error(
                job, caller, _Code.RETRIES_EXHAUSTED, reason
            )
        else:
            forwarder.end_with_error(job, caller, self._code, reason)


def _is_accepted(outcome):
    """Return whether an endpoint responded without a failure of its own."""
    return (
        isinstance(outcome, _exchanges.Answered)
        and outcome.status < _jobs.MIN_SERVER_ERROR_STATUS
    )
