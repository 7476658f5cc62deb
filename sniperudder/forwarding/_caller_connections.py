"""Connections of callers: requests are read, and each gets one response."""

import asyncio
import dataclasses
import enum
import math
import random

import h11

from sniperudder.forwarding import _caller_memory
from sniperudder.forwarding import _closures
from sniperudder.forwarding import _exchanges
from sniperudder.forwarding import _progress_rates
from sniperudder.forwarding import _request_reader
from sniperudder.forwarding import _retention
from sniperudder.forwarding import _sockets
from sniperudder.forwarding import _turns

# Time for which what a caller sends after its last response is read and
# discarded, seconds. Closing the connection at once would send a reset, which
# could discard the response.
_LINGER_S = 1.0

# Time after which a time limit is checked again, if bytes had arrived by then
# that the loop had not read, seconds.
_UNREAD_RECHECK_S = 0.05

# Unparsed bytes from which on reading pauses while no response is awaited.
_READ_AHEAD_BYTES = 65_536

# Memory of the objects of an open connection and of its receive buffer, and of
# the objects of a request that is handled.
CONNECTION_BYTES = 28_672
_REQUEST_BYTES = 32_768

# What an endpoint's connection holds of a response that its caller does not
# accept, or that waits for memory.
_UNREAD_RESPONSE_BYTES = 262_144

# Size of a body that is read without a reservation.
_FREE_BODY_BYTES = 16_384

# Largest size of a body that counts as small.
_SMALL_BODY_BYTES = 262_144

# A body is held once for its request, and once more while it is sent.
_BODY_COPIES = 2

# Longest time for which a request waits for memory, seconds.
_MAX_MEMORY_WAIT_S = 3.0

# Range of Retry-After if there is no room for a request, seconds.
_RETRY_AFTER_S = (1.0, 3.0)

# Lowest rate at which a request that others wait for is sent, and at which a
# response is accepted, bytes per second, and the lag from which on a caller
# is considered stalled, seconds.
_MIN_RATE = 32_768
_STALLED_S = 1.0

# Lag from which on an unfinished request makes way for a new connection, if
# there is nothing else to give up, seconds.
_PENDING_S = 0.1

# Bytes that are read and discarded from a caller whose request was rejected.
_MAX_DISCARDED_BYTES = 1_048_576

# HTTP status sent if the handler fails to respond. It does not imply whether
# the request ran.
_INTERNAL_ERROR_STATUS = 502

# Unsent bytes from which on no further request of a connection is read, and
# streams to it pause. The kernel holds as much as the connection carries.
_UNSENT_PAUSE_BYTES = 16_384

# Limits that apply until a configuration is loaded.
_DEFAULT_MAX_HEADER_BYTES = 16_384
_DEFAULT_MAX_BODY_BYTES = 4_194_304
_DEFAULT_HEADER_TIMEOUT_S = 3.0
_DEFAULT_IDLE_TIMEOUT_S = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits for the requests of callers.

    Attributes
    ----------
    max_header_bytes, max_body_bytes : int
    header_timeout_s : float
        Timeout for the headers of a request, seconds.
    idle_timeout_s : float
        Longest time without data between requests and within a body,
        seconds.
    """

    max_header_bytes: int = _DEFAULT_MAX_HEADER_BYTES
    max_body_bytes: int = _DEFAULT_MAX_BODY_BYTES
    header_timeout_s: float = _DEFAULT_HEADER_TIMEOUT_S
    idle_timeout_s: float = _DEFAULT_IDLE_TIMEOUT_S


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A completely received request.

    Attributes
    ----------
    method, target : bytes
    headers : list of (bytes, bytes, bytes)
        Name in lower case, name as sent, value.
    body : bytes
    arrived_at : float
        Loop time at which the end of the request arrived, seconds.
    """

    method: bytes
    target: bytes
    headers: list
    body: bytes
    arrived_at: float


class Cut(enum.Enum):
    """Why a request that was read gets no complete response.

    BROKEN_OFF: the endpoint broke its response off, and nothing can go on.

    OUT_OF_TIME: the time of the request ended within the response.

    CALLER_LEFT: the caller closed the connection, or its sending side.

    STOPPED: the grace period of this instance ended.

    NOT_READ: the caller did not accept the response, and others waited for
    the memory or the connection.

    FAULT: the handler failed within the response.
    """

    BROKEN_OFF = 'broken off'
    OUT_OF_TIME = 'out of time'
    CALLER_LEFT = 'caller left'
    STOPPED = 'stopped'
    NOT_READ = 'not read'
    FAULT = 'fault'


class NoResponse(Exception):
    """Raised if a handler ends without a complete response."""


class _Phase(enum.Enum):
    IDLE = 'idle'
    HEAD = 'head'
    BODY = 'body'
    RESPONSE = 'response'
    # The response is complete, and the caller has not accepted it.
    FLUSHING = 'flushing'
    CLOSING = 'closing'


class CallerConnection(asyncio.Protocol):
    """A connection opened by a caller.

    Parameters
    ----------
    server : CallerServer

    Attributes
    ----------
    cut : Cut or None
        Why the current request gets no complete response.
    turn_time_s : float
        See `TurnScheduler`.
    """

    def __init__(self, server):
        self.cut = None
        self._server = server
        self._transport = None
        self._reader = None
        self._limits = server.limits
        self._idle_since = 0.0
        # Bytes read since the last request that was read completely.
        self._unanswered_bytes = 0
        # Size of the write buffer when the idle timeout was last checked.
        self._unsent_bytes = math.inf
        # Whether the scheduler has yet to parse what was read.
        self._has_unparsed = False
        # Time that parsing what was sent at once has taken, seconds.
        self.turn_time_s = 0.0
        # Why this side closed it while it owed no response.
        self._closure_reason = None
        self._closure_reported = False
        self._phase = _Phase.IDLE
        self._request = None
        self._body = bytearray()
        # Size of the body that is read or handled.
        self._body_size = 0
        self._account = server.memory.open_account()
        # Lane of the reservation for the body.
        self._body_lane = None
        self._awaits_memory = False
        self._response_awaits_memory = False
        self._memory_asked_at = 0.0
        self._receiving = _progress_rates.ProgressMeter(_MIN_RATE)
        self._sending = _progress_rates.ProgressMeter(_MIN_RATE)
        # Bytes written, and those of them that were accepted when last asked.
        self._written_bytes = 0
        self._accepted_bytes = 0
        self._discarded_bytes = 0
        self._has_responded = False
        self._closed_at = 0.0
        self._task = None
        # Whether any of the current response was sent.
        self._head_sent = False
        self._timer = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._loop = asyncio.get_running_loop()

    def connection_made(self, transport):
        """See base class."""
        self._transport = transport
        self._limits = self._server.limits
        transport.set_write_buffer_limits(_UNSENT_PAUSE_BYTES)
        self._reader = _request_reader.RequestReader(
            self._limits.max_header_bytes
        )
        self._idle_since = self._loop.time()
        _sockets.enable_keepalive(transport.get_extra_info('socket'))
        if not self._server.add_connection(self):
            self._refuse()
            return
        self._enter_phase(_Phase.IDLE)
        self._update_account()

    def data_received(self, data):
        """See base class."""
        self._unanswered_bytes += len(data)
        if self._phase is _Phase.CLOSING:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > _MAX_DISCARDED_BYTES:
                self._transport.pause_reading()
            return
        if self._phase is _Phase.IDLE:
            self._apply_limits()
        self._reader.receive(data)
        self._receiving.record(self._loop.time(), len(data))
        if self._phase in (_Phase.RESPONSE, _Phase.FLUSHING):
            self._update_reading()
            self._update_account()
            return
        if self._phase is _Phase.IDLE:
            self._enter_phase(_Phase.HEAD)
        elif self._phase is _Phase.BODY:
            self._enter_phase(_Phase.BODY)
        self._process_events()

    def _apply_limits(self):
        """Apply the present limits to the next request of a kept connection.

        They may have changed since the last response.
        """
        if self._limits != self._server.limits:
            self._limits = self._server.limits
            self._reader.replace_parser(self._limits.max_header_bytes)

    def eof_received(self):
        """See base class."""
        # A caller that closes only its sending side cannot be told from one
        # that has left.
        self._set_cut(Cut.CALLER_LEFT)
        self._cancel_handler()
        return False

    def connection_lost(self, exc):
        """See base class."""
        self._server.remove_connection(self)
        self._set_timer(None)
        self._phase = _Phase.CLOSING
        self._report_closure()
        self._discard_request()
        self._writable.set()
        self._set_cut(Cut.CALLER_LEFT)
        if self._task is None:
            self._account.close()
        else:
            # The handler holds the request until it has ended.
            self._task.add_done_callback(lambda _: self._account.close())
        self._cancel_handler()

    def pause_writing(self):
        """See base class."""
        self._writable.clear()
        self._sending.reset()
        self._measure_sending()
        self._update_account()

    def resume_writing(self):
        """See base class."""
        self._writable.set()
        self._sending.reset()
        if self._task is None:
            self._release_response()
        self._update_account()
        if self._phase is _Phase.FLUSHING:
            self._begin_next_request()

    def is_idle(self, min_idle_s=0.0):
        """Return whether it is unused, with nothing left to read or to send.

        Parameters
        ----------
        min_idle_s : float
            Time since the last response, seconds.
        """
        if self._phase is not _Phase.IDLE:
            return False
        if self._loop.time() < self._idle_since + min_idle_s:
            return False
        if self._transport.get_write_buffer_size():
            return False
        return self._count_unread_bytes() == 0

    @property
    def closing(self):
        """Whether this side has closed it, and the caller may not have."""
        return self._phase is _Phase.CLOSING

    @property
    def has_unread_request(self):
        """Whether bytes of a request have arrived that were not parsed."""
        if self._phase not in (_Phase.IDLE, _Phase.HEAD, _Phase.BODY):
            return False
        return self._has_unparsed or self._count_unread_bytes() > 0

    @property
    def responding(self):
        """Whether a request was read whose response is not complete."""
        return self._phase is _Phase.RESPONSE

    @property
    def response_started(self):
        """Whether the head of a response was sent, but not its end."""
        return self._reader.http.our_state is h11.SEND_BODY

    def get_standing(self, now):
        """Return what it does for its caller.

        Parameters
        ----------
        now : float
            Loop time, seconds.

        Returns
        -------
        sniperudder.forwarding._retention.Standing
        """
        condition = _retention.Condition
        if not self._writable.is_set():
            lag_s = self._measure_sending()
            if lag_s > _STALLED_S:
                return _retention.Standing(condition.UNREAD, lag_s)
        elif self._phase is _Phase.CLOSING:
            return _retention.Standing(condition.CLOSED, now - self._closed_at)
        if self._awaits_memory:
            return _retention.Standing(
                condition.QUEUED, self._memory_asked_at - now
            )
        if self._phase in (_Phase.HEAD, _Phase.BODY):
            lag_s = self._receiving.get_lag_s(now)
            if lag_s > _STALLED_S:
                return _retention.Standing(condition.UNFINISHED, lag_s)
            if lag_s > _PENDING_S:
                return _retention.Standing(condition.PENDING, lag_s)
        elif self._phase is _Phase.IDLE:
            return _retention.Standing(
                condition.IDLE if self._has_responded else condition.UNUSED,
                now - self._idle_since,
            )
        return _retention.Standing(condition.ACTIVE)

    @property
    def held_bytes(self):
        """Memory that is held for its caller, bytes."""
        return self._account.held_bytes

    def holds(self, lane):
        """Return whether it holds a reservation in a lane."""
        return self._account.get_reserved(lane) > 0

    def give_up(self):
        """Close the connection for the sake of others, unless it is active.

        A request that was not read completely is rejected as not run.

        Returns
        -------
        bool
            Whether it was closed.
        """
        condition = self.get_standing(self._loop.time()).condition
        if condition is _retention.Condition.CLOSED:
            self._report_closure()
            self._transport.abort()
        elif condition in (
            _retention.Condition.UNFINISHED,
            _retention.Condition.QUEUED,
            _retention.Condition.PENDING,
        ):
            self._reject_for_now()
        elif condition is _retention.Condition.UNREAD:
            if not self._is_responding():
                self._closure_reason = _closures.ClosureReason.GIVEN_UP
            self.abort(Cut.NOT_READ)
        elif self.is_idle():
            self.close(_closures.ClosureReason.GIVEN_UP)
        else:
            return False
        self._server.count_event(f'given up:{condition.value}')
        return True

    def close(self, reason):
        """Close the connection, on which no request is in progress.

        Parameters
        ----------
        reason : sniperudder.forwarding._closures.ClosureReason
        """
        self._closure_reason = reason
        # Closing the transport would take effect in a later turn of the loop,
        # and what arrived until then would be reset.
        self._close_after_writing()

    def abort(self, cut):
        """Close the connection without completing the response.

        Parameters
        ----------
        cut : Cut
        """
        self._set_cut(cut)
        if self.cut is None:
            if self._closure_reason is None:
                self._closure_reason = _closures.ClosureReason.EXIT
            self._report_closure()
        self._phase = _Phase.CLOSING
        self._set_timer(None)
        self._server.note_closing(self)
        self._transport.abort()

    def send_response(self, status, headers, body):
        """Send a complete response.

        Parameters
        ----------
        status : int
        headers : list of (bytes, bytes)
            Content-Length is added, unless they state it.
        body : bytes
            Left out where the response has none.
        """
        method = self._request.method
        has_body = _exchanges.has_body(method, status)
        states_length = any(
            name.lower() == b'content-length' for name, _ in headers
        )
        if (has_body or method == b'HEAD') and not states_length:
            headers = [*headers, (b'Content-Length', b'%d' % len(body))]
        self.start_response(status, headers)
        if has_body:
            self.send_data(body)
        self.end_response()

    def start_response(self, status, headers):
        """Send the status line and headers of a response."""
        if self._server.announce_close:
            headers = [*headers, (b'Connection', b'close')]
        self._write(h11.Response(status_code=status, headers=headers))

    def send_data(self, data):
        """Send a part of the response body."""
        if data:
            self._write(h11.Data(data=data))

    def end_response(self):
        """Send the end of the response."""
        self._write(h11.EndOfMessage())

    @property
    def is_writable(self):
        """Whether the write buffer has room."""
        return self._writable.is_set()

    async def drain(self):
        """Wait until the write buffer has room again."""
        await self._writable.wait()

    def _write(self, event):
        if self._transport.is_closing():
            return
        data = self._reader.http.send(event)
        self._written_bytes += len(data)
        self._transport.write(data)
        self._head_sent = True
        if not self._writable.is_set():
            self._update_account()

    def _measure_sending(self):
        """Return for how long the caller has accepted too little, seconds."""
        now = self._loop.time()
        accepted = (
            self._written_bytes - self._transport.get_write_buffer_size()
        )
        self._sending.record(now, accepted - self._accepted_bytes)
        self._accepted_bytes = accepted
        self._sending.begin(now)
        return self._sending.get_lag_s(now)

    def _update_account(self):
        """Charge what the connection holds now."""
        held = CONNECTION_BYTES + self._reader.unparsed_bytes
        body_bytes = _BODY_COPIES * self._body_size
        if self._body_lane is not None:
            body_bytes -= self._account.get_reserved(self._body_lane)
        held += max(0, body_bytes)
        if self._task is not None:
            held += _REQUEST_BYTES
            if self._response_awaits_memory or not self._writable.is_set():
                held += _UNREAD_RESPONSE_BYTES
        unsent_bytes = self._transport.get_write_buffer_size()
        held += max(
            0,
            unsent_bytes
            - self._account.get_reserved(_caller_memory.Lane.RESPONSE),
        )
        self._account.charge(held)
        self._server.check_memory()

    async def reserve_response(self, size):
        """Wait until there is memory for a response that is collected whole.

        Parameters
        ----------
        size : int
            Bytes. The reservation ends once the caller has accepted all but a
            little of the response.
        """
        lane = _caller_memory.Lane.RESPONSE
        if self.holds(lane):
            return
        granted = self._loop.create_future()
        if self._account.reserve(
            lane,
            size * _BODY_COPIES,
            self._loop.time(),
            lambda: granted.done() or granted.set_result(None),
        ):
            return
        self._server.count_event('paused:response')
        self._server.check_waiting()
        self._response_awaits_memory = True
        self._update_account()
        try:
            await granted
        except asyncio.CancelledError:
            self._account.release(lane)
            raise
        finally:
            self._response_awaits_memory = False

    def _reserve_body(self, size):
        """Reserve memory for a body; if there is none, wait for it.

        Returns whether it can be read now.
        """
        self._body_lane = _caller_memory.Lane.LARGE_BODY
        if size <= _SMALL_BODY_BYTES:
            self._body_lane = _caller_memory.Lane.SMALL_BODY
        now = self._loop.time()
        if self._account.reserve(
            self._body_lane, size * _BODY_COPIES, now, self._handle_granted
        ):
            return True
        self._awaits_memory = True
        self._memory_asked_at = now
        self._receiving.reset()
        self._set_timer(_MAX_MEMORY_WAIT_S)
        self._transport.pause_reading()
        self._server.count_event('paused:memory')
        self._server.check_waiting()
        return False

    def _handle_granted(self):
        """Read on, now that there is memory for the body."""
        self._awaits_memory = False
        self._set_timer(None)
        self._loop.call_soon(self._continue_body)

    def _continue_body(self):
        if self._phase is _Phase.BODY:
            self._enter_phase(_Phase.BODY)
            self._process_events()

    def _discard_request(self):
        """Drop what was read of a request that is not handled."""
        self._awaits_memory = False
        self._receiving.reset()
        self._reader.discard()
        if self._task is None:
            self._release_body()
        self._release_response()
        self._update_account()

    def _release_body(self):
        self._body = bytearray()
        self._body_size = 0
        if self._body_lane is not None:
            self._account.release(self._body_lane)
            self._body_lane = None

    def _release_response(self):
        """Keep what is reserved for as much of the response as is unsent."""
        lane = _caller_memory.Lane.RESPONSE
        if self._writable.is_set():
            self._account.release(lane)
        else:
            unsent_bytes = self._transport.get_write_buffer_size()
            self._account.reduce(lane, unsent_bytes)

    def _set_cut(self, cut):
        """Record why the response stays incomplete; the first reason holds."""
        if self.cut is None and self._is_responding():
            self.cut = cut

    def _is_responding(self):
        """Return whether a request was read and its response is incomplete."""
        return self._task is not None and self._reader.http.our_state in (
            h11.SEND_RESPONSE,
            h11.SEND_BODY,
            h11.ERROR,
        )

    def _cancel_handler(self):
        if self._task is not None:
            self._task.cancel()

    def _enter_phase(self, phase):
        if phase in (_Phase.IDLE, _Phase.FLUSHING):
            self._idle_since = self._loop.time()
            self._unsent_bytes = math.inf
        self._phase = phase
        limits = self._limits
        if phase is _Phase.HEAD:
            self._set_timer(limits.header_timeout_s)
        elif phase in (_Phase.IDLE, _Phase.BODY, _Phase.FLUSHING):
            self._set_timer(limits.idle_timeout_s)
        else:
            self._set_timer(None)

    def _set_timer(self, delay_s):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if delay_s is not None:
            self._timer = self._loop.call_later(delay_s, self._handle_timeout)

    def _count_unread_bytes(self):
        """Return how much has arrived since the loop looked at the socket."""
        sock = self._transport.get_extra_info('socket')
        return _sockets.count_unread_bytes(sock)

    def _handle_timeout(self):
        if self._awaits_memory:
            self._reject_for_now()
            return
        if self._phase in (_Phase.HEAD, _Phase.BODY):
            if self.has_unread_request:
                self._set_timer(_UNREAD_RECHECK_S)
            else:
                self._reject(408)
            return
        if self._phase is _Phase.FLUSHING:
            if self._has_read_on():
                self._set_timer(self._server.limits.idle_timeout_s)
            else:
                self.close(_closures.ClosureReason.NOT_READ)
            return
        # A caller may use the connection for as long as the present limits
        # allow, if they are longer than those that held before.
        idle_timeout_s = self._server.limits.idle_timeout_s
        remaining_s = self._idle_since + idle_timeout_s - self._loop.time()
        if remaining_s > 0:
            self._set_timer(remaining_s)
        elif self.has_unread_request:
            self._set_timer(_UNREAD_RECHECK_S)
        elif self._has_read_on():
            self._set_timer(idle_timeout_s)
        else:
            self.close(_closures.ClosureReason.IDLE)

    def _has_read_on(self):
        """Return whether the caller still accepts the last response.

        That is the case if some of it was unsent, and less than the last time
        that this was asked.
        """
        before = self._unsent_bytes
        self._unsent_bytes = self._transport.get_write_buffer_size()
        return 0 < self._unsent_bytes < before

    def _process_events(self):
        """Parse what is at hand, now or in later turns of the loop."""
        if self._has_unparsed:
            return
        self._has_unparsed = True
        self._server.turns.submit(self)

    def do_until(self, ends_at):
        """Parse until a clock time; see `TurnScheduler`."""
        self._has_unparsed = self._parse(ends_at)
        if self._phase is not _Phase.CLOSING:
            self._update_reading()
        self._update_account()
        return self._has_unparsed

    def _parse(self, ends_at):
        """Parse at least one event; return whether there may be more."""
        while (
            self._phase in (_Phase.HEAD, _Phase.BODY)
            and not self._awaits_memory
        ):
            try:
                event = self._reader.next_event()
            except h11.RemoteProtocolError as error:
                self._reject(error.error_status_hint)
                return False
            if event is h11.NEED_DATA:
                self._receiving.begin(self._loop.time())
                if self._reader.http.they_are_waiting_for_100_continue:
                    self._write(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
                return False
            self._handle_event(event)
            if _turns.read_clock() >= ends_at:
                return True
        return False

    def _get_max_body_bytes(self):
        """Return the limit for a body, which may rise while it is read."""
        return max(
            self._limits.max_body_bytes, self._server.limits.max_body_bytes
        )

    def _update_reading(self):
        """Pause reading while more is at hand than is needed."""
        if (
            self._awaits_memory
            or self._reader.unparsed_bytes > self._get_max_unparsed_bytes()
        ):
            self._transport.pause_reading()
        elif self._phase is not _Phase.RESPONSE:
            # Otherwise, more was read for each of many pipelined requests.
            self._transport.resume_reading()
        if self._phase is _Phase.RESPONSE and not self._transport.is_reading():
            self._server.watch_unread(self)

    def check_unread(self):
        """Look after a caller that is not read during its response.

        Ends the request if the caller has left, and reads on if there is
        memory now.

        Returns
        -------
        bool
            Whether it is still not read.
        """
        if self._phase is not _Phase.RESPONSE or self._transport.is_reading():
            return False
        if _sockets.has_hung_up(self._transport.get_extra_info('socket')):
            self.abort(Cut.CALLER_LEFT)
        elif self._reader.unparsed_bytes <= self._get_max_unparsed_bytes():
            self._transport.resume_reading()
        return not self._transport.is_reading()

    def _get_max_unparsed_bytes(self):
        """Return the limit for what is read and not parsed.

        During a response, callers normally send at most the next request. If
        it is not read, it goes unseen that the caller leaves.
        """
        if self._has_unparsed:
            return 0
        if (
            self._phase is _Phase.RESPONSE
            and not self._server.memory.is_scarce
        ):
            return self._limits.max_header_bytes + self._get_max_body_bytes()
        return _READ_AHEAD_BYTES

    def _handle_event(self, event):
        if isinstance(event, h11.Request):
            self._request = event
            self._body = bytearray()
            self._body_size = 0
            length = _exchanges.get_length(event) or 0
            if _compute_head_size(event) > self._limits.max_header_bytes:
                self._reject(431)
            elif length > self._get_max_body_bytes():
                self._reject(413)
            else:
                self._enter_phase(_Phase.BODY)
                if length > _FREE_BODY_BYTES:
                    self._reserve_body(length)
        elif isinstance(event, h11.Data):
            self._body += event.data
            self._body_size += len(event.data)
            if self._body_size > self._get_max_body_bytes():
                self._reject(413)
            elif (
                self._body_size > _FREE_BODY_BYTES and self._body_lane is None
            ):
                # It has no announced length.
                self._reserve_body(self._get_max_body_bytes())
        elif isinstance(event, h11.EndOfMessage):
            if self._server.memory.is_exhausted:
                self._reject_for_now()
            else:
                self._start_handler()
        else:
            self.close(_closures.ClosureReason.AFTER_RESPONSE)

    def _start_handler(self):
        self._enter_phase(_Phase.RESPONSE)
        head = self._request
        request = CallerRequest(
            method=bytes(head.method),
            target=bytes(head.target),
            headers=[
                (bytes(name), bytes(raw), bytes(value))
                for (name, value), (raw, _) in zip(
                    head.headers, head.headers.raw_items()
                )
            ],
            body=bytes(self._body),
            arrived_at=self._loop.time(),
        )
        self._body = bytearray()
        if self._body_lane is not None:
            self._account.reduce(
                self._body_lane, self._body_size * _BODY_COPIES
            )
        self._receiving.reset()
        self._unanswered_bytes = self._reader.unparsed_bytes
        self.cut = None
        self._head_sent = False
        self._task = self._loop.create_task(self._run_handler(request))

    async def _run_handler(self, request):
        error = None
        try:
            await self._server.handle(request, self)
        except asyncio.CancelledError:
            # Without a cut, something else than the connection cancelled it.
            error = NoResponse('handler cancelled')
        except Exception as raised:
            error = raised
        cut = self._end_response_to(error)
        self._task = None
        self._has_responded = True
        self._release_body()
        self._release_response()
        self._update_account()
        if cut is not None:
            self._server.report_cut(request, cut)
        if self._phase is not _Phase.CLOSING:
            self._prepare_next_request()

    def _end_response_to(self, error):
        """End the response to the current request, in whichever state it is.

        Parameters
        ----------
        error : Exception or None
            Raised by the handler.

        Returns
        -------
        Cut or None
            Why the response is incomplete.
        """
        if not self._is_responding():
            if error is not None and not isinstance(error, NoResponse):
                self._server.report_error(error)
            return None
        if self._transport.is_closing():
            # A write found it reset, before the loop reports that it is lost.
            self._set_cut(Cut.CALLER_LEFT)
        if self.cut is None:
            self._server.report_error(error or NoResponse('no response'))
            if not self._head_sent:
                self._send_internal_error()
                return None
        cut = self.cut or Cut.FAULT
        self.abort(cut)
        return cut

    def _send_internal_error(self):
        """Respond with an error after the handler failed to respond."""
        if self._reader.http.our_state is h11.ERROR:
            # The parser refused the handler's response before any of it was
            # sent, and accepts no other.
            self._reader.accept_response()
        self.send_response(
            _INTERNAL_ERROR_STATUS, [(b'Connection', b'close')], b''
        )

    def _prepare_next_request(self):
        """Keep the connection for another request, or close it."""
        if (
            self._reader.http.our_state is not h11.DONE
            or self._reader.http.their_state is not h11.DONE
        ):
            self._transport.resume_reading()
            self._closure_reason = _closures.ClosureReason.AFTER_RESPONSE
            self._idle_since = self._loop.time()
            self._close_after_writing()
            return
        self._reader.start_next_request()
        if self._writable.is_set():
            self._begin_next_request()
        else:
            self._enter_phase(_Phase.FLUSHING)

    def _begin_next_request(self):
        """Read another request, now that the caller accepts responses."""
        self._apply_limits()
        is_pending = self._reader.unparsed_bytes > 0
        if not is_pending:
            self.turn_time_s = 0.0
        self._enter_phase(_Phase.HEAD if is_pending else _Phase.IDLE)
        self._update_reading()
        self._process_events()

    def _refuse(self):
        """Close a new connection for which there is no room."""
        self._phase = _Phase.CLOSING
        self._write(_make_rejection(503, [_make_retry_after()]))
        # Its descriptor is not held until the caller has closed it.
        self._transport.close()

    def _reject_for_now(self):
        """Reject a request that is not read, for lack of room."""
        self._reject(503, [_make_retry_after()])

    def _reject(self, status, headers=()):
        """Respond with an error to a request that is not read completely."""
        self._server.report_rejection(status)
        if self._reader.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._write(_make_rejection(status, headers))
            self._write(h11.EndOfMessage())
        self._close_after_writing()

    def _report_closure(self):
        """Report once, with what has arrived, that this side closed it."""
        if self._closure_reason is None or self._closure_reported:
            return
        self._closure_reported = True
        self._server.report_closure(
            _closures.Closure(
                self._closure_reason,
                self._count_unread_bytes(),
                self._unanswered_bytes,
                self._transport.get_write_buffer_size(),
                self._loop.time() - self._idle_since,
            )
        )

    def _close_after_writing(self):
        """Close the connection once the caller has got the response."""
        self._phase = _Phase.CLOSING
        self._closed_at = self._loop.time()
        self._server.note_closing(self)
        self._set_timer(None)
        self._discard_request()
        if self._transport.is_closing():
            return
        self._transport.resume_reading()
        try:
            self._transport.write_eof()
        except OSError:
            # The caller has reset it.
            self._transport.abort()
            return
        self._linger()

    def _linger(self):
        """Wait for the caller to close, and to accept what is buffered."""
        unsent_bytes = self._transport.get_write_buffer_size()
        self._loop.call_later(_LINGER_S, self._end_linger, unsent_bytes)

    def _end_linger(self, unsent_bytes):
        """Close the connection unless the caller has read meanwhile.

        Parameters
        ----------
        unsent_bytes : int
            What was buffered when the time began.
        """
        if self._transport.get_write_buffer_size() < unsent_bytes:
            self._linger()
            return
        self._report_closure()
        self._transport.abort()


def _compute_head_size(request):
    size = len(request.target)
    for name, value in request.headers:
        size += len(name) + len(value) + 4
    return size


def _make_rejection(status, headers):
    return h11.Response(
        status_code=status,
        headers=[
            (b'Content-Length', b'0'),
            (b'Connection', b'close'),
            *headers,
        ],
    )


def _make_retry_after():
    return b'Retry-After', b'%.1f' % random.uniform(*_RETRY_AFTER_S)
