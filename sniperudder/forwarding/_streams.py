"""Forwarding of event streams, resumed at other chains after failures."""

import asyncio

from sniperudder.forwarding import _attempts
from sniperudder.forwarding import _events
from sniperudder.forwarding import _exchanges
from sniperudder.forwarding import _jobs
from sniperudder.forwarding import _progress
from sniperudder.forwarding import _selection
from sniperudder import metrics
from sniperudder import outcomes

_Code = outcomes.Code

# Time since the last event for which a chain is sought to resume a stream, and
# the interval of the attempts, seconds. Callers leave after a gap of 2 s.
_MAX_RESUME_WAIT_S = 1.5
_RESUME_INTERVAL_S = 0.1


async def forward_stream(forwarder, job, caller):
    """Forward a stream, resuming it at other chains after failures.

    Parameters
    ----------
    forwarder : Forwarder
    job : Job
    caller : CallerConnection
    """
    resumed_from = job.head.last_event_id
    stream = _progress.StreamProgress(
        None
        if resumed_from is None
        else _events.parse_event_id(resumed_from.encode('latin-1'))
    )
    code = _Code.NO_ENDPOINT
    while True:
        stages = _selection.choose_stages(forwarder, job)
        if not stages:
            if await _await_chain(forwarder, job, stream):
                continue
            if not job.send_outcomes:
                code = _selection.classify_shortage(forwarder, job)
            break
        attempt = _attempts.Attempt(forwarder, job, caller, stream, stages)
        sent_at = forwarder.now()
        outcome = await attempt.run()
        if outcome is None:
            _record_completion(forwarder, job, stream)
            return
        forwarder.record_outcome(job, stages, outcome, sent_at)
        if isinstance(outcome, _exchanges.NotRun):
            code = _Code.TARGET_UNREACHABLE
            if not await forwarder.take_retry_after_not_run(job, outcome):
                break
            continue
        failed = not isinstance(outcome, _exchanges.Answered)
        if failed or outcome.status >= _jobs.MIN_SERVER_ERROR_STATUS:
            job.failed_ids.add(stages[0].endpoint.id)
            if stream.can_resume(job) and forwarder.take_retry(job):
                continue
        if failed or stream.started:
            break
        caller.send_response(outcome.status, outcome.headers, outcome.body)
        reason = f'status {outcome.status}'
        forwarder.record_end(job, _Code.ANSWERED, reason)
        return
    _fail_stream(forwarder, job, caller, stream, code)


async def _await_chain(forwarder, job, stream):
    """Wait before a chain is sought again to resume a stream.

    Breaking the stream off at once would lose what a chain that is full, or
    a stage that was silent, could serve a moment later.

    Returns
    -------
    bool
        False if there is nothing to resume or the caller is about to leave.
    """
    if not stream.started or not stream.can_resume(job):
        return False
    if forwarder.now() - stream.last_event_at > _MAX_RESUME_WAIT_S:
        return False
    await asyncio.sleep(_RESUME_INTERVAL_S)
    job.failed_ids.clear()
    return True


def _fail_stream(forwarder, job, caller, stream, code):
    reason = ''.join(job.send_outcomes[-1:])
    if stream.started:
        # Omit the end of the body, so that it does not look complete.
        caller.abort()
        reason = f'{stream.events} events, then {reason}'
        forwarder.record_end(job, _Code.RETRIES_EXHAUSTED, reason)
    elif job.may_have_run:
        forwarder.end_with_error(job, caller, _Code.RETRIES_EXHAUSTED, reason)
    else:
        forwarder.end_with_error(job, caller, code, reason)


def _record_completion(forwarder, job, stream):
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
