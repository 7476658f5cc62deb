"""Forwarding of event streams, and their continuation elsewhere."""

import h11

from sniperudder import fleet
from sniperudder.forwarding import _events
from sniperudder.forwarding import _sends
from sniperudder import outcomes
from sniperudder import platform
from sniperudder import routing

_Code = outcomes.Code


class _Stream:
    """What the caller of one stream has received.

    Attributes
    ----------
    started : bool
        Whether the head of the answer was sent.
    last_id : int or None
        Id of the last event that was sent.
    first_at : float or None
        When the first event was sent, loop time.
    """

    __slots__ = ('events', 'first_at', 'last_id', 'started')

    def __init__(self, last_id):
        self.started = False
        self.last_id = last_id
        self.first_at = None
        self.events = 0


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
            break
        outcome = await _run_attempt(forwarder, job, caller, stream, parts)
        if outcome is None:
            _note_answered(forwarder, job, stream)
            return
        forwarder.note_outcome(job, parts[0].endpoint, outcome)
        if isinstance(outcome, _sends.Answered):
            caller.send_answer(outcome.status, outcome.headers, outcome.body)
            reason = f'status {outcome.status}'
            forwarder.note_end(job, _Code.ANSWERED, reason)
            return
        if isinstance(outcome, _sends.NotRun):
            code = _Code.TARGET_UNREACHABLE
            if not outcome.arrived:
                # Nothing reached an endpoint: no send was made.
                job.attempts -= 1
        elif not job.route.resumable:
            break
        if not forwarder.may_send_again(job):
            break
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
    first_ms = round((first_at - job.request.arrived_at) * 1000)
    reason = f'{stream.events} events, first after {first_ms} ms'
    forwarder.note_end(job, _Code.ANSWERED, reason)


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
    )
    if parts:
        routing.check_chain(parts, engine.layers)
    return parts


def get_demand(job, engine):
    """Return the size of a generation, as far as it is known."""
    return routing.Demand(
        job.head.prompt_tokens or engine.usual_prompt,
        job.head.answer_tokens or engine.usual_answer,
    )


async def _run_attempt(forwarder, job, caller, stream, parts):
    """Send to one chain and pass its events on.

    Returns
    -------
    Answered, NotRun, Broken or None
        None once the stream has been passed on to its end.
    """
    last_event_id = job.head.last_event_id
    if stream.started and stream.last_id is not None:
        last_event_id = str(stream.last_id)
    sent_before = job.maybe_run
    job.attempts += 1
    job.maybe_run = True
    holdings = _hold(forwarder, job, parts)
    send = _sends.Send(
        forwarder.pool,
        parts[0].endpoint.address,
        forwarder.make_outgoing(job, parts, last_event_id),
    )
    try:
        refused = await send.open()
        if refused is not None:
            job.maybe_run = sent_before
            return refused
        head = await send.receive_head()
        if not isinstance(head, h11.Response):
            return head
        if head.status_code != 200:
            outcome = await send.receive_rest(head)
            if isinstance(outcome, _sends.NotRun):
                job.maybe_run = sent_before
            return outcome
        return await _relay(forwarder, job, caller, stream, send, head, parts)
    finally:
        send.close()
        _let_go(forwarder, parts, holdings)


async def _relay(forwarder, job, caller, stream, send, head, parts):
    known = platform.read_answer_head(head.status_code, head.headers)
    if not known.sealed:
        return _sends.Broken('stream without a digest')
    headers = platform.make_answer_headers(_sends.list_headers(head))
    splitter = _events.EventSplitter()
    while True:
        try:
            event = await send.receive()
            if isinstance(event, h11.EndOfMessage):
                break
            if not isinstance(event, h11.Data):
                return _sends.Broken('closed within a stream')
            whole = splitter.feed(event.data)
        except _events.EventTooLong as error:
            return _sends.Broken(str(error))
        except OSError as error:
            return _sends.Broken(_sends.describe_error(error))
        if whole:
            broken = _pass_on(forwarder, caller, stream, headers, whole)
            if broken is not None:
                return broken
            _note_progress(forwarder, parts)
            await caller.drain()
    if splitter.rest:
        return _sends.Broken('ended within an event')
    if not stream.started:
        caller.start_answer(200, headers)
        stream.started = True
    send.release()
    caller.end_answer()
    return None


def _pass_on(forwarder, caller, stream, headers, events):
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
        stream.first_at = forwarder.now()
    stream.events += len(fitting)
    caller.send_data(b''.join(fitting))
    return None


def _note_progress(forwarder, parts):
    now = forwarder.now()
    for part in parts:
        fleet.get_state(forwarder.T, part.endpoint).progress_at = now


def _hold(forwarder, job, parts):
    """Count a request at each stage; return its KV cache there."""
    engine = job.service.engine
    tokens = 0.0
    if engine is not None:
        demand = get_demand(job, engine)
        tokens = demand.prompt + demand.answer
    holdings = []
    for part in parts:
        state = fleet.get_state(forwarder.T, part.endpoint)
        held = tokens * (len(part.layers) if part.layers else 0)
        state.requests += 1
        state.token_layers += held
        holdings.append(held)
    return holdings


def _let_go(forwarder, parts, holdings):
    for part, held in zip(parts, holdings):
        state = fleet.get_state(forwarder.T, part.endpoint)
        state.requests -= 1
        state.token_layers -= held
