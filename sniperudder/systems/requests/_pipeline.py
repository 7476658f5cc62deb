"""Progress and failure of running requests, step by step.

A result is matched by request, attempt, position and layers; anything
else is late and dropped. When it is unknown whether a step ran, it is
never sent again, except to an endpoint that deduplicates: the attempt
ends and a new one begins from the prompt and the tokens already given.
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

_RETRY_MIN_S = 0.02
_RETRY_MAX_S = 2.0
_RETRY_TOKENS_MAX = 50.0


def accept_step(T, inp, now):
    """Take in a step that ran; handles ``StepReturned``.

    Raises
    ------
    InvariantBroken
        If an endpoint ran other layers than it was told to.
    """
    ep = T.endpoints.get(inp.endpoint)
    if ep is not None:
        health.record_success(T, ep, inp.elapsed_s)
    req = _find_awaited(T, inp)
    if req is None:
        T.counters['late_steps'] = T.counters.get('late_steps', 0) + 1
        T.abandoned.pop((inp.request, inp.attempt), None)
        return []
    req.maybe_ran = True
    req.in_flight = False
    stage = req.chain[req.stage]
    layers = (inp.first_layer, inp.end_layer)
    if layers != (stage.first_layer, stage.end_layer):
        raise errors.InvariantBroken(f'{req.name} ran layers {layers}')
    if req.stage + 1 < len(req.chain):
        return [_steps.make_step(T, req, req.stage + 1, now, inp.output)]
    return _accept_token(T, req, inp, now)


def _find_awaited(T, inp):
    req = T.requests.get(inp.request)
    if req is None or not req.chain:
        return None
    stage = req.chain[req.stage]
    awaited = (stage.endpoint, req.attempt, len(req.tokens))
    if awaited != (inp.endpoint, inp.attempt, inp.position):
        return None
    return req


def _accept_token(T, req, inp, now):
    emit = effects.EmitToken(req.name, len(req.tokens), inp.output)
    req.tokens.append(inp.output)
    if not inp.finished and len(req.tokens) < req.max_tokens:
        return [emit, _steps.make_step(T, req, 0, now, inp.output)]
    suspicion.clear_content(T, req.fingerprint, now)
    return [emit, *_finish.finish_request(T, req, outcomes.Answered(), now)]


def handle_failure(T, inp, now):
    """Take in a step without a result; handles ``StepFailed``."""
    req = _find_awaited(T, inp)
    if req is None:
        return _blame_abandoned(T, inp, now)
    req.in_flight = False
    ep = T.endpoints.get(inp.endpoint)
    boot = req.boots.get(inp.endpoint, '')
    if not inp.refused:
        req.samples[inp.endpoint] = messages.Sample(
            inp.endpoint, failed=True, crashed=inp.crashed, boot=boot
        )
    if inp.delivery is inputs.Delivery.LOST:
        _blame_content(T, req.fingerprint, inp, boot, now)
    if _may_resend(ep, req, inp):
        req.resent = True
        req.in_flight = True
        return [effects.SendStep(inp.endpoint, inp.step)]
    return _end_attempt(T, req, inp, now)


def _blame_content(T, fingerprint, inp, boot, now):
    # A crash may show as a broken connection or only as silence; the
    # engine's next report tells whether there was one.
    crash = suspicion.name_crash(inp.endpoint, boot)
    settle_s = 0.0 if inp.crashed else T.policy.step_timeout_s
    suspicion.mark_crash(T, fingerprint, crash, now, settle_s)


def _blame_abandoned(T, inp, now):
    # The request gave way, or its caller left, while the step ran.
    step = T.abandoned.pop((inp.request, inp.attempt), None)
    if step is not None and inp.delivery is inputs.Delivery.LOST:
        _blame_content(T, step.fingerprint, inp, step.boot, now)
    return []


def _may_resend(ep, req, inp):
    if ep is None or not ep.deduplicates or req.resent or inp.crashed:
        return False
    return inp.delivery is inputs.Delivery.LOST and inp.step is not None


def _end_attempt(T, req, inp, now):
    lost = inp.delivery is inputs.Delivery.LOST
    req.maybe_ran = req.maybe_ran or lost
    if suspicion.is_condemned(T, req.fingerprint, now):
        return _finish.end_condemned(T, req, now)
    if lost and not _take_retry(T, req):
        failure = outcomes.Failed(outcomes.Code.RETRIES_EXHAUSTED)
        return _finish.finish_request(T, req, failure, now)
    released = _finish.release_slot(T, req, now)
    delay_s = min(_RETRY_MAX_S, _RETRY_MIN_S * 2**req.failures)
    _slots.ask_later(T, req, delay_s * (0.5 + T.rng.random()), now)
    return released


def _take_retry(T, req):
    T.retry_tokens = min(T.retry_tokens, _RETRY_TOKENS_MAX)
    if req.failures + 1 >= T.policy.max_attempts or T.retry_tokens < 1.0:
        return False
    req.failures += 1
    T.retry_tokens -= 1.0
    return True


def drop_caller(T, inp, now):
    """End the request of a caller that has gone; ``CallerLeft``."""
    req = T.requests.get(inp.request)
    if req is None:
        return []
    if _finish.has_started(req):
        outcome = outcomes.Failed(outcomes.Code.CALLER_LEFT)
    else:
        outcome = outcomes.Refused(outcomes.Code.LEFT_BEFORE_START)
    return _finish.finish_request(T, req, outcome, now)
