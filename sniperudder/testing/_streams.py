"""Decision cores and engines together in virtual time."""

import dataclasses

from sniperudder import core
from sniperudder import effects
from sniperudder import inputs
from sniperudder import outcomes
from sniperudder import tables

_TICK_S = 0.05
_LINK_S = 0.0005
_POST_TIMEOUT_S = 0.5

# These runs have no platform and no peers.
_IGNORED = (
    effects.ListInstances,
    effects.Note,
    effects.Scan,
    effects.SendBeat,
    effects.Transact,
)


@dataclasses.dataclass(slots=True)
class Heard:
    """What the caller of one request has heard.

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
    """Entries and engines joined by links in virtual time.

    Parameters
    ----------
    clock : VirtualTime
    entries : dict of str to Tables
    engines : dict of str to FakeEngine
    lag_s : float
        Age of load reports when they arrive, seconds.
    confirm : bool
        Whether the configuration counts as current all the time, for
        runs without a platform.

    Attributes
    ----------
    heard : dict of str to Heard
        By request.
    step_timeout_s : float
        Wait after which a step counts as lost.
    lose : set of str
        Engines whose answers are lost at present.
    """

    def __init__(self, clock, entries, engines, lag_s=0.5, confirm=True):
        self.clock = clock
        self.entries = entries
        self.engines = engines
        self.lag_s = lag_s
        self.confirm = confirm
        self.heard = {}
        self.dead = set()
        self.lose = set()
        self.step_timeout_s = 5.0
        self.routes = {
            effects.SendStep: self._send_step,
            effects.CancelStream: self._cancel,
            effects.EmitToken: self._emit,
            effects.Finish: self._finish,
            effects.Post: self._post,
        }
        for kind in _IGNORED:
            self.routes[kind] = _ignore
        for name, T in entries.items():
            for ep in T.endpoints.values():
                ep.boot = engines[ep.name].boot
            clock.call_in(0.0, self._tick, name)
        for name in engines:
            clock.call_in(0.0, self._report, name)

    def submit(self, name, inp):
        """Give an input to an entry and carry out its effects."""
        if name in self.dead:
            return
        T = self.entries[name]
        self._route(name, core.handle_input(T, inp, self.clock.now))

    def send_request(self, name, arrival):
        """Let a caller send a request to an entry."""
        self.heard[arrival.request] = Heard(arrival, name, self.clock.now)
        self.submit(name, arrival)

    def _tick(self, name):
        if name in self.dead:
            return
        T = self.entries[name]
        if self.confirm:
            T.confirmed_at = self.clock.now
            self._set_states(T)
        self._route(name, core.run_tick(T, self.clock.now))
        self.clock.call_in(_TICK_S, self._tick, name)

    def _set_states(self, T):
        # In place of heartbeats, which these runs leave out.
        for peer in T.instances.values():
            if peer.name not in self.dead:
                peer.heard_at = self.clock.now
                peer.state = tables.InstanceState.LIVE

    def _route(self, name, result):
        for effect in result:
            self.routes[type(effect)](name, effect)

    def _send_step(self, name, effect):
        engine = self.engines[effect.endpoint]
        answer = _Once(self, name, effect)
        self.clock.call_in(_LINK_S, engine.take_step, effect.step, answer)
        self.clock.call_in(self.step_timeout_s, answer.expire)

    def _cancel(self, name, effect):
        engine = self.engines[effect.endpoint]
        self.clock.call_in(
            _LINK_S, engine.cancel, effect.request, effect.attempt
        )

    def _post(self, name, effect):
        if effect.peer in self.dead:
            lost = inputs.PostLost(effect.peer, effect.message)
            self.clock.call_in(_POST_TIMEOUT_S, self.submit, name, lost)
            return
        arrived = inputs.PostArrived(name, effect.message)
        self.clock.call_in(_LINK_S, self.submit, effect.peer, arrived)

    def _emit(self, name, effect):
        heard = self.heard[effect.request]
        if heard.outcome is not None:
            raise AssertionError(f'{effect.request}: token after the end')
        if effect.position != len(heard.tokens):
            raise AssertionError(f'{effect.request}: token out of order')
        heard.tokens.append(effect.token)
        heard.times.append(self.clock.now)

    def _finish(self, name, effect):
        heard = self.heard[effect.request]
        if heard.outcome is not None:
            raise AssertionError(f'{effect.request}: finished twice')
        heard.outcome = effect.outcome
        heard.ended_at = self.clock.now

    def _report(self, name):
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
        self.clock.call_in(1.0, self._report, name)


def _ignore(name, effect):
    pass


class _Once:
    """Gives an entry the first of a step's answer and its timeout."""

    __slots__ = ('fleet', 'name', 'effect', 'done')

    def __init__(self, fleet, name, effect):
        self.fleet = fleet
        self.name = name
        self.effect = effect
        self.done = False

    def __call__(self, answer):
        if self.effect.endpoint in self.fleet.lose:
            return
        # A late answer is passed on too: the core has to drop it.
        self.done = True
        clock = self.fleet.clock
        clock.call_in(_LINK_S, self.fleet.submit, self.name, answer)

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
    """Return what callers and engines saw that must never be.

    Parameters
    ----------
    fleet : StreamFleet
    layers : int
        Layers of the model.
    predict : callable
        ``predict(prompt, layers, count)`` gives the right tokens.

    Returns
    -------
    list of str
        Empty where every promise held.
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
    touched = {key[0] for key in ran}
    for name, heard in fleet.heard.items():
        found.extend(_check_answer(name, heard, layers, predict))
        if isinstance(heard.outcome, outcomes.Refused) and name in touched:
            found.append(f'{name}: refused as not run, but ran')
    return found


def _check_answer(name, heard, layers, predict):
    arrival = heard.arrival
    right = predict(arrival.prompt, layers, arrival.max_tokens)
    if heard.tokens != right[: len(heard.tokens)]:
        return [f'{name}: wrong tokens']
    whole = len(heard.tokens) == len(right)
    if isinstance(heard.outcome, outcomes.Answered) and not whole:
        return [f'{name}: a truncated answer looks whole']
    return []
