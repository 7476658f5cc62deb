"""Simulated model engines with continuous batching in virtual time.

An engine runs iterations. Each iteration runs all steps that are
pending when it begins as one batch, limited only by the number of
streams. It takes ``base_s`` plus ``step_s`` for each step plus
``prefill_s`` for each character of a prompt.
"""

import dataclasses
import hashlib
import itertools

from sniperudder import inputs


@dataclasses.dataclass(frozen=True, slots=True)
class IterationTimes:
    """Components of an iteration's duration, seconds."""

    base_s: float = 0.01
    step_s: float = 0.0005
    prefill_s: float = 0.000002


@dataclasses.dataclass(frozen=True, slots=True)
class RunRecord:
    """Entry of an engine's log for one step that it ran."""

    time: float
    engine: str
    request: str
    attempt: int
    position: int
    first_layer: int
    end_layer: int


@dataclasses.dataclass(slots=True)
class _PendingStep:
    step: object
    answer: object
    alive: bool = True


class FakeEngine:
    """Simulated model engine.

    Parameters
    ----------
    clock : VirtualTime
    ep : Endpoint
        Configuration, including the range of layers it holds.
    times : IterationTimes

    Attributes
    ----------
    log : list of RunRecord
    boot : str
        Identifier that changes with each restart.
    crashing_requests : list of str
        Requests whose prompt crashed it.
    started_attempts : list of (float, str, int)
        Time, request and number of each attempt that it began.
    up : bool
    slow : float
        Factor on the duration of each iteration; 1 is normal speed.
    poison : str
        A prompt that contains this text crashes the engine.
    checks_positions : bool
        Whether it refuses a position that does not follow the last.
    restart_s : float
        Time to restart after a crash by ``poison``, seconds.
    """

    def __init__(self, clock, ep, times):
        self.clock = clock
        self.ep = ep
        self.times = times
        self.log = []
        self.up = True
        self.slow = 1.0
        self.poison = '\0poison'
        self.crashes = []
        self.crashing_requests = []
        self.started_attempts = []
        self.restart_s = 1.0
        self.checks_positions = True
        self._boots = itertools.count(1)
        self._restart()

    def _restart(self):
        self.up = True
        self.boot = f'boot-{next(self._boots)}'
        self.positions = {}
        self.texts = {}
        self._pending = []
        self._busy = False
        self._batch_size = 0

    def submit_step(self, step, answer):
        """Queue a step; ``answer`` is called with its result or failure."""
        if not self.up:
            answer(self._fail(step, inputs.Delivery.NOT_SENT))
            return
        reason = self._find_refusal(step)
        if reason:
            failed = self._fail(step, inputs.Delivery.NOT_SENT)
            answer(dataclasses.replace(failed, refused=True, detail=reason))
            return
        key = (step.request, step.attempt)
        if key not in self.positions:
            self.started_attempts.append((self.clock.now, *key))
        self.positions[key] = step.position
        self._pending.append(_PendingStep(step, answer))
        if not self._busy:
            self._busy = True
            self.clock.call_in(0.0, self._begin_iteration, self.boot)

    def cancel(self, request, attempt):
        """Forget an attempt and drop its pending steps."""
        self.positions.pop((request, attempt), None)
        self.texts.pop((request, attempt), None)
        # Steps of the running iteration cannot be removed from its batch.
        running = self._pending[: self._batch_size]
        later = [
            item
            for item in self._pending[self._batch_size :]
            if (item.step.request, item.step.attempt) != (request, attempt)
        ]
        self._pending = running + later

    def count_streams(self):
        """Return the number of streams in the engine."""
        return len(self.positions)

    def crash(self, down_s):
        """Lose all streams and pending steps; restart after ``down_s``."""
        if not self.up:
            return
        self.up = False
        self.crashes.append((self.clock.now, tuple(self.positions)))
        waiting, self._pending = self._pending, []
        for item in waiting:
            self._report_lost(item)
        self.clock.call_in(down_s, self._restart)

    def break_calls(self):
        """Break the connections of all pending steps, but still run them."""
        waiting, self._pending = self._pending, []
        self._batch_size = 0
        for item in waiting:
            self._report_lost(item)
            self._run(item.step)

    def _report_lost(self, item):
        failed = self._fail(item.step, inputs.Delivery.LOST)
        item.answer(dataclasses.replace(failed, crashed=True))

    def _find_refusal(self, step):
        layers = (step.first_layer, step.end_layer)
        if layers != (self.ep.first_layer, self.ep.end_layer):
            return 'wrong layers'
        last = self.positions.get((step.request, step.attempt))
        if last is None:
            if not step.prefill:
                return 'unknown attempt'
            if len(self.positions) >= self.ep.max_streams:
                return 'busy'
            return ''
        if self.checks_positions and step.position != last + 1:
            return 'out of order'
        return ''

    def _begin_iteration(self, boot):
        if boot != self.boot or not self.up:
            return
        batch = self._pending
        time_s = self.times.base_s
        for item in batch:
            time_s += self.times.step_s
            if item.step.prefill and item.step.first_layer == 0:
                time_s += self.times.prefill_s * len(item.step.payload)
        self._batch_size = len(batch)
        self.clock.call_in(
            time_s * self.slow, self._end_iteration, boot, len(batch)
        )

    def _end_iteration(self, boot, count):
        if boot != self.boot or not self.up:
            return
        crashing_requests = [
            item.step.request
            for item in self._pending[:count]
            if self.poison in item.step.payload
        ]
        self.crashing_requests.extend(crashing_requests)
        if crashing_requests:
            self.crash(self.restart_s)
            return
        batch = self._pending[:count]
        self._pending = self._pending[count:]
        self._batch_size = 0
        for item in batch:
            item.answer(self._run(item.step))
        if self._pending:
            self._begin_iteration(boot)
        else:
            self._busy = False

    def _run(self, step):
        self.log.append(
            RunRecord(
                self.clock.now,
                self.ep.name,
                step.request,
                step.attempt,
                step.position,
                step.first_layer,
                step.end_layer,
            )
        )
        key = (step.request, step.attempt)
        text = step.payload
        if step.first_layer == 0:
            text = self.texts.get(key, '') + step.payload
            self.texts[key] = text
            text = digest_text(text)
        output = run_layers(text, step.first_layer, step.end_layer)
        return inputs.StepReturned(
            self.ep.name,
            step.request,
            step.attempt,
            step.position,
            step.first_layer,
            step.end_layer,
            f' {output[:4]}' if step.last else output,
            elapsed_s=self.times.base_s * self.slow,
        )

    def _fail(self, step, delivery):
        return inputs.StepFailed(
            self.ep.name,
            step.request,
            step.attempt,
            step.position,
            delivery,
            step=step,
        )


def digest_text(text):
    """Return the input of the first layer for a text."""
    return hashlib.md5(text.encode(), usedforsecurity=False).hexdigest()


def run_layers(hidden, first, end):
    """Return the output of the layers ``[first, end)``."""
    for layer in range(first, end):
        text = f'{layer}/{hidden}'
        hidden = hashlib.md5(text.encode(), usedforsecurity=False).hexdigest()
    return hidden


def predict_tokens(prompt, layers, count):
    """Return the tokens that every correct chain of engines generates."""
    text = prompt
    tokens = []
    for _ in range(count):
        token = f' {run_layers(digest_text(text), 0, layers)[:4]}'
        tokens.append(token)
        text += token
    return tokens
