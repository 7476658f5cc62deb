"""Threads that send steps to engines in batches across streams."""

import dataclasses
import queue

from sniperudder import effects
from sniperudder import inputs
from sniperudder.instance import _workers
from sniperudder.systems import requests

# Steps that become ready while a call runs are batched for the next call.
_CONCURRENT_CALLS_PER_ENGINE = 2
_MAX_STEPS_PER_CALL = 256
_CANCEL_TIMEOUT_S = 2.0


class EngineSender:
    """Sends the steps and cancels of one endpoint.

    Parameters
    ----------
    runtime : Runtime
    client : EngineClient
    ep : Endpoint
    timeout_s : float
        Timeout of one call, seconds.
    """

    __slots__ = ('runtime', 'client', 'ep', 'timeout_s', 'steps', 'cancels')

    def __init__(self, runtime, client, ep, timeout_s):
        self.runtime = runtime
        self.client = client
        self.ep = ep
        self.timeout_s = timeout_s
        self.steps = queue.SimpleQueue()
        self.cancels = queue.SimpleQueue()

    def start(self):
        """Start the threads."""
        for _ in range(_CONCURRENT_CALLS_PER_ENGINE):
            _workers.start_thread(self._run_steps, f'steps {self.ep.name}')
        _workers.start_thread(self._run_cancels, f'cancels {self.ep.name}')

    def _run_steps(self):
        while True:
            steps = _workers.take_batch(self.steps, _MAX_STEPS_PER_CALL)
            _workers.run_logged(self._send_steps, steps)

    def _send_steps(self, steps):
        checked = [self._check_start(step) for step in steps]
        ready = [step for step in checked if step is not None]
        if ready:
            answers = self.client.send_steps(self.ep, ready, self.timeout_s)
            self.runtime.submit_all(answers)

    def _check_start(self, step):
        # Only the first step of an attempt starts new work, so only it needs
        # a start deadline.
        if not (step.prefill and step.first_layer == 0):
            return step
        now = self.runtime.read_clock()
        start_by = self.runtime.read_tables(
            requests.find_start_deadline, step, now
        )
        if start_by is not None:
            return dataclasses.replace(step, start_by=start_by)
        not_sent = inputs.StepFailed(
            self.ep.name,
            step.request,
            step.attempt,
            step.position,
            inputs.Delivery.NOT_SENT,
            detail='start no longer permitted',
            refused=True,
        )
        self.runtime.submit(not_sent)
        return None

    def _run_cancels(self):
        while True:
            cancels = _workers.take_batch(self.cancels, _MAX_STEPS_PER_CALL)
            _workers.run_logged(
                self.client.cancel_streams,
                self.ep,
                cancels,
                _CANCEL_TIMEOUT_S,
            )


class EngineSenders:
    """Forwards steps and cancels to the sender of their endpoint."""

    __slots__ = ('senders',)

    def __init__(self, senders):
        self.senders = senders

    def send_step(self, effect):
        """Queue a step."""
        self.senders[effect.endpoint].steps.put(effect.step)

    def cancel_stream(self, effect):
        """Queue a cancel."""
        self.senders[effect.endpoint].cancels.put(effect)


def create_engine_senders(runtime, client):
    """Start the senders of all endpoints and register their effects.

    Parameters
    ----------
    runtime : Runtime
    client : EngineClient

    Returns
    -------
    EngineSenders
    """
    timeout_s = runtime.T.policy.step_timeout_s
    senders = EngineSenders(
        {
            ep.name: EngineSender(runtime, client, ep, timeout_s)
            for ep in runtime.T.endpoints.values()
        }
    )
    runtime.handlers[effects.SendStep] = senders.send_step
    runtime.handlers[effects.CancelStream] = senders.cancel_stream
    for sender in senders.senders.values():
        sender.start()
    return senders
