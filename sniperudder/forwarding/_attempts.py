"""One attempt to serve a stream from a chain of endpoints."""

import h11

from sniperudder.forwarding import _events
from sniperudder.forwarding import _jobs
from sniperudder.forwarding import _monitors
from sniperudder.forwarding import _progress
from sniperudder.forwarding import _reservations
from sniperudder.forwarding import _sends
from sniperudder import platform

__all__ = ['Attempt']

# Time without the first event, and without a further event, after which
# the stages are checked, seconds. These are half of the time that callers
# allow for a first event, and twice the longest pause that counts as timely.
_FIRST_EVENT_STALL_S = 0.4
_STALL_S = 0.4

# The first stage sent nothing, and it either did not respond to a report
# request or its report named no stalling stage.
_FIRST_STAGE_SILENT = _sends.Broken('first stage silent')


class Attempt:
    """Sends a streaming request to a chain and relays the events.

    Parameters
    ----------
    forwarder : Forwarder
    job : Job
    caller : CallerConnection
    stream : StreamProgress
    parts : tuple of sniperudder.fleet.Part
    """

    def __init__(self, forwarder, job, caller, stream, parts):
        self._forwarder = forwarder
        self._job = job
        self._caller = caller
        self._stream = stream
        self._parts = parts
        self._reservation = _reservations.Reservation(
            forwarder.tables, _jobs.get_demand(job).total
        )
        self._monitor = _monitors.StreamMonitor(
            forwarder, job, stream, parts, self._reservation
        )
        self._send = _sends.Send(
            forwarder.pool,
            parts[0].endpoint.address,
            forwarder.create_outgoing(job, parts, self._get_last_event_id()),
        )

    async def run(self):
        """Send the request and relay its events to the caller.

        Returns
        -------
        Answered, NotRun, Broken or None
            None if the stream was relayed to its end.
        """
        job, forwarder = self._job, self._forwarder
        may_have_run_before = job.may_have_run
        job.attempts += 1
        job.endpoint = self._parts[0].endpoint
        job.may_have_run = True
        self._reservation.reserve(self._parts, forwarder.now())
        forwarder.log_send(job, self._parts, after=self._stream.last_id)
        try:
            outcome = await self._send.open()
            if outcome is None:
                outcome = await self._receive_response()
        finally:
            self._monitor.close()
            self._send.close()
            self._reservation.clear()
        if isinstance(outcome, _sends.NotRun):
            job.may_have_run = may_have_run_before
        elif isinstance(outcome, _sends.Broken):
            forwarder.record_broken_request(job, self._monitor.parts)
        return outcome

    def _get_last_event_id(self):
        if self._stream.started and self._stream.last_id is not None:
            return str(self._stream.last_id)
        return self._job.head.last_event_id

    async def _receive_response(self):
        head = await self._monitor.receive(
            self._send.receive_head, _FIRST_EVENT_STALL_S
        )
        if head is None:
            return _FIRST_STAGE_SILENT
        if not isinstance(head, h11.Response):
            return head
        if head.status_code != 200:
            return await self._send.receive_rest(head)
        answer_head = platform.read_answer_head(head.status_code, head.headers)
        if not answer_head.sealed:
            return _sends.Broken('stream without a digest')
        return await self._relay_events(
            platform.make_answer_headers(_sends.list_headers(head))
        )

    async def _relay_events(self, headers):
        stream, caller = self._stream, self._caller
        splitter = _events.EventSplitter()
        while True:
            stall_s = _STALL_S if stream.started else _FIRST_EVENT_STALL_S
            try:
                event = await self._monitor.receive(
                    self._send.receive, stall_s
                )
                if event is None:
                    return _FIRST_STAGE_SILENT
                if isinstance(event, h11.EndOfMessage):
                    break
                if not isinstance(event, h11.Data):
                    return _sends.Broken('closed within a stream')
                complete_events = splitter.feed(event.data)
            except (_events.EventTooLong, OSError) as error:
                return _sends.Broken(_sends.describe_error(error))
            if complete_events:
                broken = _progress.forward_events(
                    self._forwarder,
                    caller,
                    stream,
                    headers,
                    complete_events,
                    self._job.route.pause_goal_s,
                )
                if broken is not None:
                    return broken
                self._monitor.record_progress(len(complete_events))
                await caller.drain()
                self._monitor.reroute_from_leaving()
        if splitter.remainder:
            return _sends.Broken('ended within an event')
        if not stream.started:
            caller.start_answer(200, headers)
            stream.started = True
        self._send.release()
        caller.end_answer()
        return None
