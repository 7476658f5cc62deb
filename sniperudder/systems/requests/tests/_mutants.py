"""Naive variants of the request systems, which the checker must catch."""

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
from sniperudder.systems.requests import _finish
from sniperudder.systems.requests import _pipeline
from sniperudder.systems.requests import _slots
from sniperudder.systems.requests import _steps
from sniperudder.systems import suspicion
from sniperudder import testing


def resend_lost_steps():
    """Send a step again whose answer was lost, to any endpoint."""

    def may_resend(ep, req, inp):
        return inp.step is not None and not req.resent

    return mock.patch.object(_pipeline, '_may_resend', may_resend)


def accept_late_answers():
    """Match a result by request alone."""

    def find(T, inp):
        req = T.requests.get(inp.request)
        return req if req is not None and req.chain else None

    return mock.patch.object(_pipeline, '_find_awaited', find)


def begin_without_state():
    """Let an engine that lost its state go on with an attempt."""
    real = _steps.make_step

    def make(*args):
        effect = real(*args)
        step = dataclasses.replace(effect.step, prefill=True)
        return effects.SendStep(effect.endpoint, step)

    return mock.patch.object(_steps, 'make_step', make)


def call_cut_answers_whole():
    """End a request that already gave tokens as answered."""

    def end(T, req, inp, now):
        if req.tokens:
            answered = outcomes.Answered()
            return _finish.finish_request(T, req, answered, now)
        return real(T, req, inp, now)

    real = _pipeline._end_attempt
    return mock.patch.object(_pipeline, '_end_attempt', end)


def refuse_after_lost_step():
    """Take a lost step for one that was not run."""
    real = _pipeline._end_attempt

    def end(T, req, inp, now):
        result = real(T, req, inp, now)
        req.maybe_ran = bool(req.tokens)
        return result

    return mock.patch.object(_pipeline, '_end_attempt', end)


def forget_abandoned_steps():
    """Take a step under way for not run when its attempt ends."""

    def abandon(T, req):
        req.in_flight = False

    return mock.patch.object(_finish, '_abandon_step', abandon)


def ignore_crashes():
    """Try a content again however often it crashed an engine."""
    return mock.patch.object(suspicion, 'mark_crash', lambda *args: None)


def take_timeouts_for_harmless():
    """Suspect a content only where the connection broke."""
    real = _pipeline.handle_failure

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
    valid = mock.patch.object(_slots, '_is_valid', lambda *args: True)
    stack.enter_context(usable)
    stack.enter_context(valid)
    return stack


def keep_slots_of_the_old_home():
    """Do not tell the old home when another one takes over."""

    def change(T, req, home, now):
        if req.chain:
            req.home = home
            return []
        return real(T, req, home, now)

    real = _slots._change_home
    return mock.patch.object(_slots, '_change_home', change)


def grant_undecided_contents():
    """Run a content while the proof of its crashes is awaited."""
    return mock.patch.object(
        suspicion, 'is_undecided', lambda T, fingerprint, now: False
    )


def use_the_crashed_run_again():
    """Let a suspect run on the engine that it may have ended."""

    def may_take(T, ticket, ep, taken):
        return ep.name not in taken

    return mock.patch.object(_grants, '_may_take', may_take)


def draw_yielding(seed):
    """Return a plan in which a stream gives way at its first step."""
    return testing.draw_plan(102997 + seed)


def draw_losses(seed):
    """Return a plan of lost answers only."""
    return testing.draw_plan(seed, (testing.FaultKind.LOSE,))


def draw_slowness(seed):
    """Return a plan of engines that answer after the timeout."""
    return testing.draw_plan(seed, (testing.FaultKind.SLOW,))


def draw_blinks(seed):
    """Return a plan of engines that restart faster than a step."""
    kinds = (testing.FaultKind.CRASH,)
    return testing.draw_plan(seed, kinds, (0.0, 0.0), 60)


def draw_changes(seed):
    """Return a plan of entries that stop or die."""
    kinds = (testing.FaultKind.KILL_ENTRY, testing.FaultKind.STOP_ENTRY)
    return testing.draw_plan(seed, kinds)


@dataclasses.dataclass(frozen=True, slots=True)
class Mutant:
    """A naive variant.

    Attributes
    ----------
    apply : callable
        Returns a context in which the variant is in force.
    breaks : str
        Part of the sentence that names its fault.
    draw : callable
        Returns the plan of a seed.
    """

    apply: typing.Callable
    breaks: str
    draw: typing.Callable = testing.draw_plan


MUTANTS = [
    Mutant(resend_lost_steps, 'ran twice', draw_losses),
    Mutant(accept_late_answers, 'wrong tokens', draw_slowness),
    Mutant(begin_without_state, 'wrong tokens', draw_blinks),
    Mutant(call_cut_answers_whole, 'looks whole'),
    Mutant(refuse_after_lost_step, 'refused as not run, but ran'),
    Mutant(forget_abandoned_steps, 'not run, but ran', draw_yielding),
    Mutant(ignore_crashes, 'crashed'),
    Mutant(take_timeouts_for_harmless, 'crashed'),
    Mutant(use_withdrawn_endpoints, 'withdrawn'),
    Mutant(keep_slots_of_the_old_home, 'left', draw_changes),
    Mutant(grant_undecided_contents, 'crashed'),
    Mutant(use_the_crashed_run_again, 'crashed'),
]
