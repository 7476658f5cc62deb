"""One attempt to serve a stream from a chain of endpoints."""

import asyncio
import enum

import h11

from sniperudder.forwarding import _events
from sniperudder.forwarding import _exchanges
from sniperudder.forwarding import _jobs
from sniperudder.forwarding import _monitors
from sniperudder.forwarding import _reservations
from sniperudder import platform
from sniperudder import routing

__all__ = ['Attempt', 'Signal', 'has_early_checks']

# Time without the first event, and without a further event, after which
# the stages are checked, seconds. These are half of the time that callers
# allow for a first event, and twice the longest gap that counts as timely.
_FIRST_EVENT_STALL_S = 0.4

_STALL_S = 0.4

# Time without the whole body of an error response after which another attempt
# may be begun, seconds.
_ERROR_STALL_S = 1.0


def has_early_checks(configuration):
    """Return whether streams of any route are checked early.

    Takes time linear in the number of routes.

    Parameters
    ----------
    configuration : sniperudder.fleet.Configuration
    """
    return any(
        routing.get_early_delay_s(route.gap_target_s) is not None
        for routes in configuration.routes.values()
        for route in routes
        if route.streaming
    )


class Signal(enum.Enum):
    """What an attempt reports beside events and outcomes.

    SILENT: nothing arrives from the first stage, and it either does not
    respond to a report request or reports no stage that stalls the stream;
    or the body of an error response is late. The attempt goes on.

    COMPLETE: the stream has ended as it should.
    """

    SILENT = 'silent'
    COMPLETE = 'complete'


class Attempt:
    """Sends a streaming request to a chain and receives its events.

    Parameters
    ----------
    forwarder : Forwarder
    job : Job
    caller : CallerConnection
    stream : StreamProgress
    stages : tuple of sniperudder.fleet.Stage

    Attributes
    ----------
    number : int
        Number of this attempt of the request.
    sent_at : float
        Loop time at which it began, seconds.
    suspected : bool
        Whether the first stage is silent and was recorded as failed.
    is_charged : bool
        Whether it was taken from the budget of retries.
    has_events : bool
        Whether events were passed on.
    headers : list of (bytes, bytes) or None
        Headers for the caller, once the head of the response has arrived.
    """

    def __init__(self, forwarder, job, caller, stream, stages):
        self._forwarder = forwarder
        self._job = job
        self._caller = caller
        self._stream = stream
        self._stages = stages
        self._began_at = None
        self._survived = False
        self._sent = False
        self._head = None
        # Receives an error response to its end.
        self._error_task = None
        self._splitter = _events.EventSplitter()
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
            caller.reserve_response,
        )
        self.number = 0
        self.is_charged = False
        self.sent_at = forwarder.now()
        self.suspected = False
        self.has_events = False
        self.headers = None

    @property
    def stages(self):
        """The chain that the request was sent to."""
        return self._stages

    @property
    def present_stages(self):
        """The chain that serves the request, which may be rerouted."""
        return self._monitor.stages

    @property
    def first_endpoint(self):
        """The endpoint that the request was sent to."""
        return self._stages[0].endpoint

    @property
    def was_sent(self):
        """Whether the request may have reached the endpoint."""
        return self._exchange.was_sent

    def begin(self):
        """Count the attempt; the request is sent by `receive`."""
        job = self._job
        job.attempts += 1
        job.possible_runs += 1
        job.endpoint = self.first_endpoint
        self.number = job.attempts
        self._reservation.reserve(self._stages, self._forwarder.now())
        self._forwarder.log_send(job, self._stages, after=self._stream.last_id)

    async def receive(self, send_events):
        """Receive the response, and pass its events on.

        Parameters
        ----------
        send_events : callable
            Called with this attempt and a list of events; returns an outcome
            if they end the attempt, else None.

        Returns
        -------
        Signal, Answered, NotRun or Interrupted
            After `Signal.SILENT`, the call may be repeated.
        """
        if self._head is None:
            outcome = await self._begin_response()
            if outcome is not None:
                return outcome
        while True:
            try:
                event = await self._receive_next(self._exchange.receive)
                if event is None:
                    return Signal.SILENT
                if isinstance(event, h11.EndOfMessage):
                    return await self._check_end()
                if not isinstance(event, h11.Data):
                    return _exchanges.Interrupted('closed within a stream')
                events = self._splitter.feed(event.data)
            except (_events.EventTooLong, OSError) as error:
                return _exchanges.Interrupted(_exchanges.describe_error(error))
            if events:
                interrupted = send_events(self, events)
                if interrupted is not None:
                    return interrupted
                if not self._caller.is_writable:
                    await self._caller.drain()
                self._monitor.reroute_around_leaving()

    def record_progress(self, events):
        """Record that a number of events were passed on to the caller."""
        self.has_events = True
        self._monitor.record_progress(events)
        now = self._forwarder.now()
        if self._began_at is None:
            self._began_at = now
        elif now - self._began_at > routing.SURVIVAL_S:
            self._record_survival()

    def suspect(self):
        """Record that the first stage is silent, though it may go on.

        If it has crashed, this request may be the cause.
        """
        self.suspected = True
        self._record_interruption('first stage silent')

    def end(self, outcome):
        """End the attempt with an outcome.

        Parameters
        ----------
        outcome : Signal, Answered, NotRun or Interrupted
        """
        if outcome is Signal.COMPLETE:
            self._exchange.release()
            self._record_survival()
        elif isinstance(outcome, _exchanges.NotRun):
            self._job.possible_runs -= 1
        elif isinstance(outcome, _exchanges.Interrupted):
            if self.suspected:
                self._forwarder.crash_monitor.check(self._monitor.stages[0])
            else:
                self._record_interruption(outcome.reason)
        self.close()

    def close(self):
        """Release everything, so that the endpoints cancel the request."""
        if self._error_task is not None:
            self._error_task.cancel()
        self._monitor.close()
        self._exchange.close()
        self._reservation.clear()

    def _get_last_event_id(self):
        if self._stream.started and self._stream.last_id is not None:
            return str(self._stream.last_id)
        return self._job.head.last_event_id

    async def _begin_response(self):
        """Send the request, and receive the head of its response.

        Returns None once the head of a stream has arrived.
        """
        if self._error_task is not None:
            return await self._receive_error()
        if not self._sent:
            self._sent = True
            failure = await self._exchange.open()
            if failure is not None:
                return failure
        head = await self._receive_next(self._exchange.receive_head)
        if head is None:
            return Signal.SILENT
        if not isinstance(head, h11.Response):
            return head
        self._monitor.postpone_checks()
        if head.status_code != 200:
            self._error_task = asyncio.create_task(
                self._exchange.receive_rest(head)
            )
            return await self._receive_error()
        response_head = platform.decode_response_head(
            head.status_code, head.headers
        )
        if not response_head.has_seal:
            return _exchanges.Interrupted('stream without a digest')
        self._head = head
        self.headers = platform.filter_response_headers(
            _exchanges.list_headers(head)
        )
        return None

    async def _receive_next(self, receive):
        """Receive, and check the stages whenever there is no progress."""
        route = self._job.route
        if self._stream.started:
            return await self._monitor.receive(
                receive, _STALL_S, route.gap_target_s
            )
        return await self._monitor.receive(
            receive, _FIRST_EVENT_STALL_S, route.goal_s
        )

    async def _receive_error(self):
        """Receive the rest of an error response, however late it comes."""
        is_resumable = self._stream.can_resume(self._job)
        done, _ = await asyncio.wait(
            {self._error_task},
            timeout=_ERROR_STALL_S if is_resumable else None,
        )
        return self._error_task.result() if done else Signal.SILENT

    async def _check_end(self):
        """Return whether the end of the response is the end of the stream."""
        if self._splitter.remainder:
            return _exchanges.Interrupted('ended within an event')
        if _exchanges.ends_with_connection(self._head):
            monitor = self._forwarder.crash_monitor
            if not await monitor.has_ended_response(self._stages[0]):
                return _exchanges.Interrupted('crashed or left at the end')
        return Signal.COMPLETE

    def _record_interruption(self, reason):
        self._forwarder.crash_monitor.record_interruption(
            self._job,
            self._monitor.stages,
            reason,
            self._survived,
            self.number,
        )

    def _record_survival(self):
        if not self._survived:
            self._survived = True
            self._forwarder.crash_monitor.record_survival(self._job)
