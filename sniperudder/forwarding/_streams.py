"""Forwarding of event streams, and their continuation elsewhere."""

import asyncio

import h11

from sniperudder import fleet
from sniperudder.forwarding import _events
from sniperudder.forwarding import _jobs
from sniperudder.forwarding import _sends
from sniperudder import metrics
from sniperudder import outcomes
from sniperudder import platform
from sniperudder import routing

_Code = outcomes.Code

# Time without the first event, and without a further one, after which a
# dead stage is looked for, seconds: half of the time that callers allow
# for a first event, and twice the longest pause of a timely stream.
_FIRST_STALL_S = 0.4
_STALL_S = 0.4

# Time between looks at a silent stream, seconds, and their number until
# looks become rare: engines' reports are 0.2 s old, and an engine gives a
# stalled stream up after 2 s.
_LOOK_S = 0.3
_FREQUENT_LOOKS = 5

# Time without progress of any stream after which a stage counts as silent,
# seconds: several times the usual time between events.
_SILENT_S = 0.35

# Time without any event after which a first stage counts as mute, seconds:
# both looks at it are past, and the caller still waits as long again.
_MUTE_S = 1.0

# Time from a stage's leaving until a stream is moved away, seconds: a move
# costs a pause, most streams end by themselves, and a stage serves on for
# 2 s at least, of which telling and the order take under half a second.
_LEAVE_S = 1.5


class _Stream:
    """What the caller of one stream has received.

    Attributes
    ----------
    started : bool
        Whether the head of the answer was sent.
    last_id : int or None
        Id of the last event that was sent.
    first_at, last_at : float or None
        When the first and the newest event were sent, loop time.
    events : int
    longest_pause_s : float
        Longest time between two events, seconds.
    """

    __slots__ = (
        'events',
        'first_at',
        'last_at',
        'last_id',
        'longest_pause_s',
        'started',
    )

    def __init__(self, last_id):
        self.started = False
        self.last_id = last_id
        self.first_at = None
        self.last_at = None
        self.events = 0
        self.longest_pause_s = 0.0

    def may_resume(self, job):
        """Tell whether the stream may go on at another chain.

        Events without an id name no place to go on from.
        """
        placed = self.last_id is not None or not self.started
        return job.route.resumable and placed

    def record_events(self, count, now):
        """Count events that were sent; return the pause before them."""
        pause_s = 0.0
        if self.first_at is None:
            self.first_at = now
        else:
            pause_s = now - self.last_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_at = now
        self.events += count
        return pause_s


async def forward_stream(forwarder, job, caller):
    """Forward a stream, from one chain or from several in turn."""
    resumed_from = job.head.last_event_id
    stream = _Stream(
        int(resumed_from)
        if resumed_from is not None and resumed_from.isdecimal()
        else None
    )
    code = _Code.NO_ENDPOINT
    while True:
        parts = _choose_parts(forwarder, job)
        if not parts:
            if not job.sends:
                code = _name_shortage(forwarder, job)
            break
        attempt = _Attempt(forwarder, job, caller, stream, parts)
        sent_at = forwarder.now()
        outcome = await attempt.run()
        if outcome is None:
            _note_answered(forwarder, job, stream)
            return
        forwarder.note_outcome(job, parts[0].endpoint, outcome, sent_at)
        if isinstance(outcome, _sends.NotRun):
            code = _Code.TARGET_UNREACHABLE
            if not await forwarder.may_go_on(job, outcome):
                break
            continue
        failed = not isinstance(outcome, _sends.Answered)
        if failed or outcome.status >= _jobs.SERVER_ERROR:
            job.tried.add(parts[0].endpoint.id)
            if stream.may_resume(job) and forwarder.may_send_again(job):
                continue
        if failed or stream.started:
            break
        caller.send_answer(outcome.status, outcome.headers, outcome.body)
        reason = f'status {outcome.status}'
        forwarder.note_end(job, _Code.ANSWERED, reason)
        return
    _give_up(forwarder, job, caller, stream, code)


def _give_up(forwarder, job, caller, stream, code):
    reason = ''.join(job.sends[-1:])
    if stream.started:
        # Without the end of the body: it must not look complete.
        caller.abort()
        reason = f'{stream.events} events, then {reason}'
        forwarder.note_end(job, _Code.RETRIES_EXHAUSTED, reason)
    elif job.maybe_run:
        forwarder.refuse(job, caller, _Code.RETRIES_EXHAUSTED, reason)
    else:
        forwarder.refuse(job, caller, code, reason)


def _note_answered(forwarder, job, stream):
    first_at = stream.first_at or forwarder.now()
    first_s = first_at - job.request.arrived_at
    metrics.record_time(
        forwarder.measures,
        metrics.Timing.FIRST_TOKEN,
        job.rank,
        job.organisation.name if job.organisation else '',
        first_s,
    )
    forwarder.note_end(
        job,
        _Code.ANSWERED,
        f'{stream.events} events',
        first_ms=round(first_s * 1000),
        pause_ms=round(stream.longest_pause_s * 1000),
    )


def _choose_parts(forwarder, job):
    endpoints = fleet.list_endpoints(forwarder.T, job.service.name)
    engine = job.service.engine
    now = forwarder.now()
    home = forwarder.settings.data_centre
    if engine is None or not engine.layers:
        endpoint = routing.choose_endpoint(
            forwarder.T, endpoints, home, now, forwarder.rng, job.tried
        )
        return () if endpoint is None else (fleet.Part(endpoint, None),)
    demand = get_demand(job, engine)
    parts = routing.choose_chain(
        forwarder.T,
        [e for e in endpoints if e.id not in job.tried],
        engine,
        demand,
        home,
        now,
        forwarder.rng,
        # What has begun elsewhere is not given up for want of rank.
        1.0 if job.attempts else forwarder.pressure.get_urgency(job.rank),
    )
    if parts:
        routing.check_chain(parts, engine.layers)
    return parts


def _name_shortage(forwarder, job):
    """Return why there is no chain: no room, or layers without a holder."""
    engine = job.service.engine
    if engine is None or not engine.layers:
        return _Code.NO_ENDPOINT
    covered = set()
    for endpoint in fleet.list_endpoints(forwarder.T, job.service.name):
        if endpoint.layers is not None:
            layers = endpoint.layers
            covered.update(range(layers.start, layers.end))
    whole = len(covered) >= engine.layers
    return _Code.SHED if whole else _Code.NO_ENDPOINT


def get_demand(job, engine):
    """Return the size of a generation, as far as it is known."""
    return routing.Demand(
        job.head.prompt_tokens or engine.usual_prompt,
        job.head.answer_tokens or engine.usual_answer,
    )


class _Attempt:
    """A stream on one chain.

    Attributes
    ----------
    parts : tuple of sniperudder.fleet.Part
        The chain, which may change under way.
    """

    def __init__(self, forwarder, job, caller, stream, parts):
        self._forwarder = forwarder
        self._job = job
        self._caller = caller
        self._stream = stream
        self._send = None
        self._holdings = []
        self._changes = forwarder.T.changes
        self._leave_at = None
        self._sent_at = 0.0
        self._moving = None
        self.parts = parts

    def _note_sent(self):
        state = self._get_state(self.parts[0])
        self._forwarder.journal.write(
            'request:sent',
            self._job.head.request_id,
            attempt=self._job.attempts,
            path=platform.write_path(self.parts),
            after=self._stream.last_id,
            in_flight=state.requests,
            instances=self._forwarder.T.peers.count_alive(),
        )

    async def run(self):
        """Send the request and pass its events on.

        Returns
        -------
        Answered, NotRun, Broken or None
            None once the stream has been passed on to its end.
        """
        job, forwarder = self._job, self._forwarder
        last_event_id = job.head.last_event_id
        if self._stream.started and self._stream.last_id is not None:
            last_event_id = str(self._stream.last_id)
        sent_before = job.maybe_run
        job.attempts += 1
        job.endpoint = self.parts[0].endpoint
        job.maybe_run = True
        self._sent_at = forwarder.now()
        self._hold()
        self._note_sent()
        self._send = _sends.Send(
            forwarder.pool,
            self.parts[0].endpoint.address,
            forwarder.make_outgoing(job, self.parts, last_event_id),
        )
        try:
            outcome = await self._send.open()
            if outcome is None:
                outcome = await self._receive_answer()
        finally:
            if self._moving is not None:
                self._moving.cancel()
            self._send.close()
            self._let_go()
        if isinstance(outcome, _sends.NotRun):
            job.maybe_run = sent_before
        elif isinstance(outcome, _sends.Broken):
            forwarder.note_broken(job, self.parts)
        return outcome

    async def _receive_answer(self):
        head = await self._watch(self._send.receive_head, _FIRST_STALL_S)
        if not isinstance(head, h11.Response):
            return head
        if head.status_code != 200:
            return await self._send.receive_rest(head)
        known = platform.read_answer_head(head.status_code, head.headers)
        if not known.sealed:
            return _sends.Broken('stream without a digest')
        return await self._relay(
            platform.make_answer_headers(_sends.list_headers(head))
        )

    async def _relay(self, headers):
        stream, caller = self._stream, self._caller
        splitter = _events.EventSplitter()
        while True:
            stall_s = _STALL_S if stream.started else _FIRST_STALL_S
            try:
                event = await self._watch(self._send.receive, stall_s)
                if isinstance(event, h11.EndOfMessage):
                    break
                if not isinstance(event, h11.Data):
                    return event
                whole = splitter.feed(event.data)
            except (_events.EventTooLong, OSError) as error:
                return _sends.Broken(_sends.describe_error(error))
            if whole:
                broken = _pass_on(
                    self._forwarder,
                    caller,
                    stream,
                    headers,
                    whole,
                    self._job.route.pause_goal_s,
                )
                if broken is not None:
                    return broken
                self._note_progress()
                await caller.drain()
                self._leave_stages()
        if splitter.rest:
            return _sends.Broken('ended within an event')
        if not stream.started:
            caller.start_answer(200, headers)
            stream.started = True
        self._send.release()
        caller.end_answer()
        return None

    async def _watch(self, receive, stall_s):
        """Receive, and look for a dead stage where nothing comes.

        Returns
        -------
        object
            What was received, or Broken where the first stage is dead.
        """
        looks = 0
        while True:
            try:
                return await receive(stall_s)
            except TimeoutError:
                if not await self._examine():
                    return _sends.Broken('first stage silent')
            # A stream that only is slow is looked at less and less often.
            looks += 1
            stall_s = _LOOK_S if looks < _FREQUENT_LOOKS else stall_s * 2

    async def _examine(self):
        """Tell whether the stream may go on; move it where it stalls."""
        mover, job = self._forwarder.mover, self._job
        first = self.parts[0]
        if first.layers is None:
            return True
        reached, address = await mover.find_stalled(
            first.endpoint, job.head.request_id
        )
        if not reached:
            return self._must_wait()
        if address is None and self._is_mute():
            return self._must_wait()
        # Reports lag; a stage that left needs no report.
        broken = self._list_leaving()
        if address is not None:
            broken.add(address)
        if not broken:
            broken = self._guess_stalled()
        if broken:
            self._start_move(broken)
        return True

    def _guess_stalled(self):
        """Return the one stage on which no stream of this instance goes on.

        Where several stages are silent, none is guessed.
        """
        now = self._forwarder.now()
        silent = {
            part.endpoint.address
            for part in self.parts
            if now - self._get_state(part).progress_at > _SILENT_S
        }
        first = self.parts[0].endpoint.address
        return silent if len(silent) == 1 and first not in silent else set()

    def _get_state(self, part):
        return fleet.get_state(self._forwarder.T, part.endpoint)

    def _must_wait(self):
        """Tell whether a silent first stage is still the best hope.

        A stage that leaves refuses new connections, and yet ends what it
        has begun.
        """
        return (
            not self._job.route.resumable
            or not fleet.is_serving(self._forwarder.T, self.parts[0])
            or not self._forwarder.can_send_again(self._job)
        )

    def _is_mute(self):
        """Tell whether the first stage begins nothing that it is sent.

        Its reports may say that all is well; but of this instance's
        streams none has gone on there since this one was sent.
        """
        if self._stream.started or not self._job.route.resumable:
            return False
        state = self._get_state(self.parts[0])
        waited_s = self._forwarder.now() - self._sent_at
        return waited_s >= _MUTE_S and state.progress_at < self._sent_at

    def _leave_stages(self):
        """Move the stream away from stages that leave, after a while."""
        T = self._forwarder.T
        now = self._forwarder.now()
        if self._changes != T.changes:
            self._changes = T.changes
            if self._leave_at is None and self._list_leaving():
                self._leave_at = now + _LEAVE_S
        if self._leave_at is not None and now >= self._leave_at:
            self._leave_at = None
            leaving = self._list_leaving()
            if leaving:
                self._start_move(leaving)

    def _list_leaving(self):
        T = self._forwarder.T
        return {
            part.endpoint.address
            for part in self.parts[1:]
            if not fleet.is_serving(T, part)
        }

    def _start_move(self, broken):
        """Move the stream beside its forwarding.

        Events may come before the order to move is answered.
        """
        if self._moving is not None and not self._moving.done():
            return
        self._moving = asyncio.create_task(self._move(broken))
        self._moving.add_done_callback(self._note_moved)

    def _note_moved(self, task):
        if not task.cancelled() and task.exception() is not None:
            self._forwarder.journal.write(
                'instance:fault',
                type(task.exception()).__name__,
                reason=str(task.exception()),
                request=self._job.head.request_id,
            )

    async def _move(self, broken):
        engine = self._job.service.engine
        moved = await self._forwarder.mover.move(
            self._job.head.request_id,
            self.parts,
            broken,
            engine,
            get_demand(self._job, engine),
            self._job.service.name,
        )
        if moved is not self.parts:
            self._let_go()
            self.parts = moved
            self._hold()

    def _note_progress(self):
        now = self._forwarder.now()
        for part in self.parts:
            state = self._get_state(part)
            state.progress_at = now

    def _hold(self):
        """Count the request, and the KV cache it may take, at each stage."""
        engine = self._job.service.engine
        tokens = 0.0
        if engine is not None:
            demand = get_demand(self._job, engine)
            tokens = demand.prompt + demand.answer
        self._holdings = []
        now = self._forwarder.now()
        for pair in fleet.list_crossings(self.parts):
            self._forwarder.T.crossings.record(pair, tokens, now)
        for part in self.parts:
            state = self._get_state(part)
            held = tokens * (len(part.layers) if part.layers else 0)
            state.requests += 1
            state.token_layers += held
            self._holdings.append((state, held))

    def _let_go(self):
        for state, held in self._holdings:
            state.requests -= 1
            state.token_layers -= held
        self._holdings = []


def _pass_on(forwarder, caller, stream, headers, events, pause_goal_s):
    """Send events to the caller; return Broken where they do not fit."""
    fitting = []
    for event in events:
        if event.id is not None and stream.last_id is not None:
            if event.id <= stream.last_id:
                return _sends.Broken(
                    f'event {event.id} after {stream.last_id}'
                )
        if event.id is not None:
            stream.last_id = event.id
        fitting.append(event.data)
    if not stream.started:
        caller.start_answer(200, headers)
        stream.started = True
    pause_s = stream.record_events(len(fitting), forwarder.now())
    forwarder.pressure.record_event(pause_s, pause_goal_s)
    caller.send_data(b''.join(fitting))
    return None
