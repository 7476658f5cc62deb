"""Simulation of entries and engines in virtual time."""

import dataclasses

from sniperudder import core
from sniperudder import effects
from sniperudder import inputs
from sniperudder import outcomes
from sniperudder import tables

_TICK_S = 0.05
_LINK_DELAY_S = 0.0005
_MESSAGE_TIMEOUT_S = 0.5

# These simulations have no platform and no heartbeats.
_IGNORED = (
    effects.ListInstances,
    effects.LogEvent,
    effects.Scan,
    effects.SendHeartbeat,
    effects.Transact,
)


@dataclasses.dataclass(slots=True)
class ReceivedAnswer:
    """Answer that the caller of one request has received so far.

    Attributes
    ----------
    arrival : RequestArrived
    entry : str
    sent_at : float
        Seconds.
    tokens : list of str
    times : list of float
        Time of each token, seconds.
    outcome : Outcome or None
        None until the request ends.
    ended_at : float
        Seconds.
    """

    arrival: inputs.RequestArrived
    entry: str
    sent_at: float
    tokens: list = dataclasses.field(default_factory=list)
    times: list = dataclasses.field(default_factory=list)
    outcome: object = None
    ended_at: float = 0.0


class StreamFleet:
    """Entries and engines connected by simulated links.

    Parameters
    ----------
    clock : VirtualTime
    entries : dict of str to Tables
    engines : dict of str to FakeEngine
    lag_s : float
        Delay of load reports, seconds.
    confirm : bool
        Whether the configuration always counts as fresh, for
        simulations without a platform.

    Attributes
    ----------
    received : dict of str to ReceivedAnswer
        Answers, by request.
    dead : set of str
        Entries that were killed.
    step_timeout_s : float
        Time after which an unanswered step counts as lost, seconds.
    lose : set of str
        Engines whose answers are lost at present.
    """

    def __init__(self, clock, entries, engines, lag_s=0.5, confirm=True):
        self.clock = clock
        self.entries = entries
        self.engines = engines
        self.lag_s = lag_s
        self.confirm = confirm
        self.received = {}
        self.dead = set()
        self.lose = set()
        self.step_timeout_s = 5.0
        self.routes = {
            effects.SendStep: self._send_step,
            effects.CancelStream: self._cancel,
            effects.EmitToken: self._emit,
            effects.SendOutcome: self._finish,
            effects.SendSlotMessage: self._send_message,
        }
        for kind in _IGNORED:
            self.routes[kind] = _ignore
        for name, T in entries.items():
            for ep in T.endpoints.values():
                ep.boot = engines[ep.name].boot
            clock.call_in(0.0, self._tick, name)
        for name in engines:
            clock.call_in(0.0, self._report_load, name)

    def submit(self, name, inp):
        """Pass an input to an entry and perform its effects."""
        if name in self.dead:
            return
        T = self.entries[name]
        self._route(name, core.handle_input(T, inp, self.clock.now))

    def send_request(self, name, arrival):
        """Send a caller's request to an entry."""
        self.received[arrival.request] = ReceivedAnswer(
            arrival, name, self.clock.now
        )
        self.submit(name, arrival)

    def _tick(self, name):
        if name in self.dead:
            return
        T = self.entries[name]
        if self.confirm:
            T.confirmed_at = self.clock.now
            self._set_peers_live(T)
        self._route(name, core.run_tick(T, self.clock.now))
        self.clock.call_in(_TICK_S, self._tick, name)

    def _set_peers_live(self, T):
        # Replaces heartbeats, which are not simulated here.
        for peer in T.instances.values():
            if peer.name not in self.dead:
                peer.heard_at = self.clock.now
                peer.state = tables.InstanceState.LIVE

    def _route(self, name, result):
        for effect in result:
            self.routes[type(effect)](name, effect)

    def _send_step(self, name, effect):
        engine = self.engines[effect.endpoint]
        answer = _StepReply(self, name, effect)
        self.clock.call_in(
            _LINK_DELAY_S, engine.submit_step, effect.step, answer
        )
        self.clock.call_in(self.step_timeout_s, answer.expire)

    def _cancel(self, name, effect):
        engine = self.engines[effect.endpoint]
        self.clock.call_in(
            _LINK_DELAY_S, engine.cancel, effect.request, effect.attempt
        )

    def _send_message(self, name, effect):
        if effect.peer in self.dead:
            lost = inputs.SlotMessageLost(effect.peer, effect.message)
            self.clock.call_in(_MESSAGE_TIMEOUT_S, self.submit, name, lost)
            return
        arrived = inputs.SlotMessageArrived(name, effect.message)
        self.clock.call_in(_LINK_DELAY_S, self.submit, effect.peer, arrived)

    def _emit(self, name, effect):
        received = self.received[effect.request]
        if received.outcome is not None:
            raise AssertionError(f'{effect.request}: token after the outcome')
        if effect.position != len(received.tokens):
            raise AssertionError(f'{effect.request}: token out of order')
        received.tokens.append(effect.token)
        received.times.append(self.clock.now)

    def _finish(self, name, effect):
        received = self.received[effect.request]
        if received.outcome is not None:
            raise AssertionError(f'{effect.request}: finished twice')
        received.outcome = effect.outcome
        received.ended_at = self.clock.now

    def _report_load(self, name):
        engine = self.engines[name]
        if engine.up:
            report = inputs.LoadReported(
                name,
                engine.count_streams(),
                engine.boot,
                self.clock.now,
            )
            for entry in self.entries:
                self.clock.call_in(self.lag_s, self.submit, entry, report)
        self.clock.call_in(1.0, self._report_load, name)


def _ignore(name, effect):
    pass


class _StepReply:
    """Passes a step's answers, or its timeout if it comes first."""

    __slots__ = ('fleet', 'name', 'effect', 'done')

    def __init__(self, fleet, name, effect):
        self.fleet = fleet
        self.name = name
        self.effect = effect
        self.done = False

    def __call__(self, answer):
        if self.effect.endpoint in self.fleet.lose:
            return
        # An answer after the timeout is passed on too: the core must drop it.
        self.done = True
        clock = self.fleet.clock
        clock.call_in(_LINK_DELAY_S, self.fleet.submit, self.name, answer)

    def expire(self):
        """Report the step as lost unless it was answered."""
        if self.done:
            return
        self.done = True
        step = self.effect.step
        failed = inputs.StepFailed(
            self.effect.endpoint,
            step.request,
            step.attempt,
            step.position,
            inputs.Delivery.LOST,
            step=step,
        )
        self.fleet.submit(self.name, failed)


def list_violations(fleet, layers, predict):
    """Return violations of the guarantees on answers and runs.

    Parameters
    ----------
    fleet : StreamFleet
    layers : int
        Layers of the model.
    predict : callable
        ``predict(prompt, layers, count)`` returns the correct tokens.

    Returns
    -------
    list of str
        Empty if every guarantee held.
    """
    found = []
    ran = set()
    for engine in fleet.engines.values():
        for record in engine.log:
            key = (
                record.request,
                record.attempt,
                record.position,
                record.first_layer,
            )
            if key in ran:
                found.append(f'{key} ran twice')
            ran.add(key)
    started = {key[0] for key in ran}
    for name, received in fleet.received.items():
        found.extend(_check_answer(name, received, layers, predict))
        if isinstance(received.outcome, outcomes.Refused) and name in started:
            found.append(f'{name}: refused as not run, but ran')
    return found


def _check_answer(name, received, layers, predict):
    arrival = received.arrival
    expected = predict(arrival.prompt, layers, arrival.max_tokens)
    if received.tokens != expected[: len(received.tokens)]:
        return [f'{name}: wrong tokens']
    complete = len(received.tokens) == len(expected)
    if isinstance(received.outcome, outcomes.Answered) and not complete:
        return [f'{name}: a truncated answer looks whole']
    return []
