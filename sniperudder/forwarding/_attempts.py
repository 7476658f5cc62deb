"""One attempt to serve a stream from a chain of endpoints."""

import h11

from sniperudder.forwarding import _events
from sniperudder.forwarding import _exchanges
from sniperudder.forwarding import _jobs
from sniperudder.forwarding import _monitors
from sniperudder.forwarding import _progress
from sniperudder.forwarding import _reservations
from sniperudder import platform
from sniperudder import routing

__all__ = ['Attempt']

# Time without the first event, and without a further event, after which
# the stages are checked, seconds. These are half of the time that callers
# allow for a first event, and twice the longest gap that counts as timely.
_FIRST_EVENT_STALL_S = 0.4
_STALL_S = 0.4

# Nothing arrived from the first stage, and it either did not respond to a
# report request or its report named no stage that stalls the stream.
_FIRST_STAGE_FAILED = _exchanges.Interrupted('first stage silent')


class Attempt:
    """Sends a streaming request to a chain and relays the events.

    Parameters
    ----------
    forwarder : Forwarder
    job : Job
    caller : CallerConnection
    stream : StreamProgress
    stages : tuple of sniperudder.fleet.Stage
    """

    def __init__(self, forwarder, job, caller, stream, stages):
        self._forwarder = forwarder
        self._job = job
        self._caller = caller
        self._stream = stream
        self._stages = stages
        self._began_at = None
        self._survived = False
        self._reservation = _reservations.Reservation(
            forwarder.T, _jobs.get_request_size(job).total
        )
        self._monitor = _monitors.StreamMonitor(
            forwarder, job, stream, stages, self._reservation
        )
        self._exchange = _exchanges.Exchange(
            forwarder.pool,
            stages[0].endpoint.address,
            forwarder.create_outgoing_request(
                job, stages, self._get_last_event_id()
            ),
            forwarder.create_guard(stages[0].endpoint),
        )

    async def run(self):
        """Send the request and relay its events to the caller.

        Returns
        -------
        Answered, NotRun, Interrupted or None
            None if the stream was relayed to its end.
        """
        job, forwarder = self._job, self._forwarder
        may_have_run_before = job.may_have_run
        job.attempts += 1
        job.endpoint = self._stages[0].endpoint
        job.may_have_run = True
        self._reservation.reserve(self._stages, forwarder.now())
        forwarder.log_send(job, self._stages, after=self._stream.last_id)
        try:
            outcome = await self._exchange.open()
            if outcome is None:
                outcome = await self._receive_response()
        finally:
            self._monitor.close()
            self._exchange.close()
            self._reservation.clear()
        if isinstance(outcome, _exchanges.NotRun):
            job.may_have_run = may_have_run_before
        elif isinstance(outcome, _exchanges.Interrupted):
            forwarder.crash_monitor.record_interruption(
                job, self._monitor.stages, outcome.reason, self._survived
            )
        return outcome

    def _get_last_event_id(self):
        if self._stream.started and self._stream.last_id is not None:
            return str(self._stream.last_id)
        return self._job.head.last_event_id

    async def _receive_response(self):
        head = await self._monitor.receive(
            self._exchange.receive_head, _FIRST_EVENT_STALL_S
        )
        if head is None:
            return _FIRST_STAGE_FAILED
        if not isinstance(head, h11.Response):
            return head
        self._monitor.postpone_checks()
        if head.status_code != 200:
            return await self._exchange.receive_rest(head)
        response_head = platform.decode_response_head(
            head.status_code, head.headers
        )
        if not response_head.has_seal:
            return _exchanges.Interrupted('stream without a digest')
        outcome = await self._relay_events(
            platform.filter_response_headers(_exchanges.list_headers(head))
        )
        if outcome is not None:
            return outcome
        if _exchanges.ends_with_connection(head):
            monitor = self._forwarder.crash_monitor
            if not await monitor.has_ended_response(self._stages[0]):
                return _exchanges.Interrupted('crashed or left at the end')
        self._finish(head)
        return None

    def _finish(self, head):
        if not self._stream.started:
            headers = _exchanges.list_headers(head)
            self._caller.start_response(
                200, platform.filter_response_headers(headers)
            )
            self._stream.started = True
        self._exchange.release()
        self._record_survival()
        self._caller.end_response()

    async def _relay_events(self, headers):
        stream, caller = self._stream, self._caller
        splitter = _events.EventSplitter()
        while True:
            check_after_s = (
                _STALL_S if stream.started else _FIRST_EVENT_STALL_S
            )
            try:
                event = await self._monitor.receive(
                    self._exchange.receive, check_after_s
                )
                if event is None:
                    return _FIRST_STAGE_FAILED
                if isinstance(event, h11.EndOfMessage):
                    break
                if not isinstance(event, h11.Data):
                    return _exchanges.Interrupted('closed within a stream')
                complete_events = splitter.feed(event.data)
            except (_events.EventTooLong, OSError) as error:
                return _exchanges.Interrupted(_exchanges.describe_error(error))
            if complete_events:
                sent, interrupted = _progress.forward_events(
                    self._forwarder,
                    caller,
                    stream,
                    headers,
                    complete_events,
                    self._job.route.gap_target_s,
                )
                if sent:
                    self._monitor.record_progress(sent)
                    self._check_survival()
                if interrupted is not None:
                    return interrupted
                await caller.drain()
                self._monitor.reroute_around_leaving()
        if splitter.remainder:
            return _exchanges.Interrupted('ended within an event')
        return None

    def _check_survival(self):
        now = self._forwarder.now()
        if self._began_at is None:
            self._began_at = now
        elif now - self._began_at > routing.SURVIVAL_S:
            self._record_survival()

    def _record_survival(self):
        if not self._survived:
            self._survived = True
            self._forwarder.crash_monitor.record_survival(self._job)
