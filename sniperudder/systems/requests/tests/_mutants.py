"""Mutants of the request systems that the checker must detect."""

import contextlib
import dataclasses
import typing
from unittest import mock

from sniperudder.core import _core
from sniperudder import effects
from sniperudder import inputs
from sniperudder import outcomes
from sniperudder.systems.dispatch import _chains
from sniperudder.systems.dispatch import _grants
from sniperudder.systems.requests import _execution
from sniperudder.systems.requests import _finish
from sniperudder.systems.requests import _slots
from sniperudder.systems.requests import _steps
from sniperudder.systems import suspicion
from sniperudder import testing


def resend_lost_steps():
    """Resend a step whose result was lost, whatever the endpoint."""

    def may_resend(ep, req, inp):
        return inp.step is not None and not req.resent

    return mock.patch.object(_execution, '_may_resend', may_resend)


def accept_late_answers():
    """Match results by request only."""

    def find(T, inp):
        req = T.requests.get(inp.request)
        return req if req is not None and req.chain else None

    return mock.patch.object(_execution, '_find_awaiting_request', find)


def resume_without_state():
    """Continue an attempt on an engine that lost its state."""
    real = _steps.make_step

    def make(*args):
        effect = real(*args)
        step = dataclasses.replace(effect.step, prefill=True)
        return effects.SendStep(effect.endpoint, step)

    return mock.patch.object(_steps, 'make_step', make)


def report_truncated_answers_as_complete():
    """Finish a failed request as answered if it has emitted tokens."""

    def end(T, req, inp, now):
        if req.tokens:
            answered = outcomes.Answered()
            return _finish.finish_request(T, req, answered, now)
        return real(T, req, inp, now)

    real = _execution._end_attempt
    return mock.patch.object(_execution, '_end_attempt', end)


def refuse_after_lost_step():
    """Treat a lost step as not run."""
    real = _execution._end_attempt

    def end(T, req, inp, now):
        result = real(T, req, inp, now)
        req.may_have_run = bool(req.tokens)
        return result

    return mock.patch.object(_execution, '_end_attempt', end)


def forget_abandoned_steps():
    """Treat a step in flight at the end of its attempt as not run."""

    def abandon(T, req):
        req.in_flight = False

    return mock.patch.object(_finish, '_abandon_step', abandon)


def ignore_crashes():
    """Retry request content no matter how often it crashed an engine."""
    return mock.patch.object(suspicion, 'record_crash', lambda *args: None)


def ignore_step_timeouts():
    """Suspect request content only if the connection broke."""
    real = _execution.handle_step_failure

    def handle(T, inp, now):
        before = dict(T.suspicions)
        result = real(T, inp, now)
        if not inp.crashed:
            T.suspicions.clear()
            T.suspicions.update(before)
        return result

    handlers = _core._HANDLERS
    return mock.patch.dict(handlers, {inputs.StepFailed: [handle]})


def use_withdrawn_endpoints():
    """Give new work to endpoints that operators withdrew."""
    stack = contextlib.ExitStack()
    usable = mock.patch.object(_chains, 'is_usable', lambda *args: True)
    valid = mock.patch.object(_slots, '_is_grant_valid', lambda *args: True)
    stack.enter_context(usable)
    stack.enter_context(valid)
    return stack


def keep_slots_at_old_home():
    """Do not release the slot at the old home when the home changes."""

    def change(T, req, home, now):
        if req.chain:
            req.home = home
            return []
        return real(T, req, home, now)

    real = _slots._change_home
    return mock.patch.object(_slots, '_change_home', change)


def grant_unconfirmed_contents():
    """Run request content while its crashes await confirmation."""
    return mock.patch.multiple(
        suspicion,
        is_awaiting_confirmation=lambda T, fingerprint, now: False,
        is_request_awaiting=lambda T, req, now: False,
    )


def reuse_crashed_boot():
    """Run a suspect request on the engine process that it may have crashed."""

    def may_run_suspect(T, ticket, ep, occupied):
        return ep.name not in occupied

    return mock.patch.object(_grants, '_may_run_suspect', may_run_suspect)


def draw_preemption(seed):
    """Return a plan in which a stream is preempted during its first step."""
    return testing.draw_plan(102997 + seed)


def draw_lost_answers(seed):
    """Return a plan whose only faults are lost results."""
    return testing.draw_plan(seed, (testing.FaultKind.LOSE,))


def draw_slow_engines(seed):
    """Return a plan with engines that answer after the timeout."""
    return testing.draw_plan(seed, (testing.FaultKind.SLOW,))


def draw_fast_restarts(seed):
    """Return a plan with engines that restart in less time than a step."""
    kinds = (testing.FaultKind.CRASH,)
    return testing.draw_plan(seed, kinds, (0.0, 0.0), 60)


def draw_entry_failures(seed):
    """Return a plan with entries that stop or are killed."""
    kinds = (testing.FaultKind.KILL_ENTRY, testing.FaultKind.STOP_ENTRY)
    return testing.draw_plan(seed, kinds)


@dataclasses.dataclass(frozen=True, slots=True)
class Mutant:
    """Request systems with one fault.

    Attributes
    ----------
    apply : callable
        Returns a context manager that activates the mutant.
    violation : str
        Part of the violation message that the mutant must cause.
    draw : callable
        Returns the plan for a seed.
    """

    apply: typing.Callable
    violation: str
    draw: typing.Callable = testing.draw_plan


MUTANTS = [
    Mutant(resend_lost_steps, 'ran twice', draw_lost_answers),
    Mutant(accept_late_answers, 'wrong tokens', draw_slow_engines),
    Mutant(resume_without_state, 'wrong tokens', draw_fast_restarts),
    Mutant(report_truncated_answers_as_complete, 'looks whole'),
    Mutant(refuse_after_lost_step, 'refused as not run, but ran'),
    Mutant(forget_abandoned_steps, 'not run, but ran', draw_preemption),
    Mutant(ignore_crashes, 'crashed'),
    Mutant(ignore_step_timeouts, 'crashed'),
    Mutant(use_withdrawn_endpoints, 'withdrawn'),
    Mutant(keep_slots_at_old_home, 'left', draw_entry_failures),
    Mutant(grant_unconfirmed_contents, 'crashed'),
    Mutant(reuse_crashed_boot, 'crashed'),
]
