"""Forwarding of event streams, and their continuation elsewhere."""

from sniperudder import fleet
from sniperudder.forwarding import _attempts
from sniperudder.forwarding import _jobs
from sniperudder.forwarding import _progress
from sniperudder.forwarding import _sends
from sniperudder import metrics
from sniperudder import outcomes
from sniperudder import routing

_Code = outcomes.Code


async def forward_stream(forwarder, job, caller):
    """Forward a stream, from one chain or from several in turn."""
    resumed_from = job.head.last_event_id
    stream = _progress.StreamProgress(
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
        attempt = _attempts.Attempt(forwarder, job, caller, stream, parts)
        sent_at = forwarder.now()
        outcome = await attempt.run()
        if outcome is None:
            _note_answered(forwarder, job, stream)
            return
        forwarder.note_outcome(job, parts, outcome, sent_at)
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
    metrics.record_times(
        forwarder.measures,
        metrics.Timing.BETWEEN_TOKENS,
        job.rank,
        '',
        stream.pauses_s,
    )
    forwarder.note_end(
        job,
        _Code.ANSWERED,
        f'{stream.events} events',
        first_ms=round(first_s * 1000),
        pause_ms=round(max(stream.pauses_s, default=0.0) * 1000),
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
    parts = routing.choose_chain(
        forwarder.T,
        [e for e in endpoints if e.id not in job.tried],
        engine,
        _jobs.get_demand(job),
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
    endpoints = fleet.list_endpoints(forwarder.T, job.service.name)
    if engine is None or not engine.layers:
        return _Code.SHED if endpoints else _Code.NO_ENDPOINT
    covered = set()
    for endpoint in endpoints:
        if endpoint.layers is not None:
            layers = endpoint.layers
            covered.update(range(layers.start, layers.end))
    whole = len(covered) >= engine.layers
    return _Code.SHED if whole else _Code.NO_ENDPOINT
