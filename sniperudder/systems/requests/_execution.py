"""Step results and failures of running requests.

A result must match the endpoint, attempt and position of the step that
the request awaits; any other result is late and is dropped. A step that
may have run is never resent, except to an endpoint that deduplicates.
Otherwise the attempt ends and a new one starts from the prompt and the
tokens already emitted.
"""

from sniperudder import effects
from sniperudder import errors
from sniperudder import inputs
from sniperudder import messages
from sniperudder import outcomes
from sniperudder.systems import health
from sniperudder.systems.requests import _finish
from sniperudder.systems.requests import _slots
from sniperudder.systems.requests import _steps
from sniperudder.systems import suspicion

_RETRY_DELAY_MIN_S = 0.02
_RETRY_DELAY_MAX_S = 2.0
_MAX_RETRY_TOKENS = 50.0


def handle_step_result(T, inp, now):
    """Process the result of a step; handles ``StepReturned``.

    Raises
    ------
    InvariantBroken
        If the endpoint ran layers other than the requested ones.
    """
    ep = T.endpoints.get(inp.endpoint)
    if ep is not None:
        health.record_success(T, ep, inp.elapsed_s)
    req = _find_awaiting_request(T, inp)
    if req is None:
        T.counters['late_steps'] = T.counters.get('late_steps', 0) + 1
        T.abandoned.pop((inp.request, inp.attempt), None)
        return []
    req.may_have_run = True
    req.in_flight = False
    stage = req.chain[req.stage]
    layers = (inp.first_layer, inp.end_layer)
    if layers != (stage.first_layer, stage.end_layer):
        raise errors.InvariantBroken(
            f'{req.name}: endpoint ran layers {layers}, not those sent'
        )
    if req.stage + 1 < len(req.chain):
        return [_steps.make_step(T, req, req.stage + 1, now, inp.output)]
    return _accept_token(T, req, inp, now)


def _find_awaiting_request(T, inp):
    req = T.requests.get(inp.request)
    if req is None or not req.chain:
        return None
    stage = req.chain[req.stage]
    expected = (stage.endpoint, req.attempt, len(req.tokens))
    if expected != (inp.endpoint, inp.attempt, inp.position):
        return None
    return req


def _accept_token(T, req, inp, now):
    emit = effects.EmitToken(req.name, len(req.tokens), inp.output)
    req.tokens.append(inp.output)
    if not inp.finished and len(req.tokens) < req.max_tokens:
        return [emit, _steps.make_step(T, req, 0, now, inp.output)]
    suspicion.clear_request(T, req, now)
    return [emit, *_finish.finish_request(T, req, outcomes.Answered(), now)]


def handle_step_failure(T, inp, now):
    """Process a step that failed; handles ``StepFailed``."""
    req = _find_awaiting_request(T, inp)
    if req is None:
        return _handle_abandoned_failure(T, inp, now)
    req.in_flight = False
    ep = T.endpoints.get(inp.endpoint)
    boot = req.boots.get(inp.endpoint, '')
    if not inp.refused:
        req.samples[inp.endpoint] = messages.Sample(
            inp.endpoint, failed=True, crashed=inp.crashed, boot=boot
        )
    if inp.delivery is inputs.Delivery.LOST:
        _record_possible_crash(T, req, inp, boot, now)
    if _may_resend(ep, req, inp):
        req.resent = True
        req.in_flight = True
        return [effects.SendStep(inp.endpoint, inp.step)]
    return _end_attempt(T, req, inp, now)


def _record_possible_crash(T, req, inp, boot, now):
    # A crash may appear as a broken connection or just as a timeout; the
    # next load report of the engine shows whether it crashed. After a
    # timeout the step may still be running, so reports count only later.
    crash_id = suspicion.make_crash_id(inp.endpoint, boot)
    settle_s = 0.0 if inp.crashed else T.policy.step_timeout_s
    suspicion.record_request_crash(T, req, crash_id, now, settle_s)


def _handle_abandoned_failure(T, inp, now):
    # The attempt ended while the step was in flight: the request was
    # preempted or its caller left.
    step = T.abandoned.pop((inp.request, inp.attempt), None)
    if step is not None and inp.delivery is inputs.Delivery.LOST:
        _record_possible_crash(T, step, inp, step.boot, now)
    return []


def _may_resend(ep, req, inp):
    if ep is None or not ep.deduplicates or req.resent or inp.crashed:
        return False
    return inp.delivery is inputs.Delivery.LOST and inp.step is not None


def _end_attempt(T, req, inp, now):
    lost = inp.delivery is inputs.Delivery.LOST
    req.may_have_run = req.may_have_run or lost
    if suspicion.is_request_condemned(T, req, now):
        return _finish.end_condemned(T, req, now)
    if lost and not _consume_retry(T, req):
        failure = outcomes.Failed(outcomes.Code.RETRIES_EXHAUSTED)
        return _finish.finish_request(T, req, failure, now)
    released = _finish.release_slot(T, req, now)
    delay_s = min(_RETRY_DELAY_MAX_S, _RETRY_DELAY_MIN_S * 2**req.failures)
    _slots.ask_later(T, req, delay_s * (0.5 + T.rng.random()), now)
    return released


def _consume_retry(T, req):
    T.retry_tokens = min(T.retry_tokens, _MAX_RETRY_TOKENS)
    if req.failures + 1 >= T.policy.max_attempts or T.retry_tokens < 1.0:
        return False
    req.failures += 1
    T.retry_tokens -= 1.0
    return True


def handle_disconnect(T, inp, now):
    """Finish the request of a caller that disconnected."""
    req = T.requests.get(inp.request)
    if req is None:
        return []
    if _finish.has_started(req):
        outcome = outcomes.Failed(outcomes.Code.CALLER_LEFT)
    else:
        outcome = outcomes.Refused(outcomes.Code.LEFT_BEFORE_START)
    return _finish.finish_request(T, req, outcome, now)
