"""Simulation of many instances in virtual time over a fake platform."""

import dataclasses
import random
import typing

from sniperudder.effects import AnswerHeartbeat
from sniperudder.effects import ListInstances
from sniperudder.effects import Scan
from sniperudder.effects import SendHeartbeat
from sniperudder.effects import Transact
from sniperudder.inputs import HeartbeatLost
from sniperudder.inputs import HeartbeatReceived
from sniperudder.inputs import HeartbeatReturned
from sniperudder.inputs import InstancesListed
from sniperudder.inputs import NotSent
from sniperudder.inputs import ScanReturned
from sniperudder.inputs import TransactReturned
from sniperudder.inputs import Unknown
from sniperudder.systems import configuration
from sniperudder.systems import membership
from sniperudder.systems import restoration
from sniperudder.tables import create_tables
from sniperudder.testing._platform import FakePlatform
from sniperudder.testing._virtual_time import VirtualTime

_TICK_S = 0.1
_HEARTBEAT_TIMEOUT_S = 1.0
_SYSTEMS = (configuration, membership)
_RUN_FUNCTIONS = (configuration.run_configuration, membership.run_membership)


@dataclasses.dataclass(slots=True)
class Node:
    """An instance in a fleet.

    Attributes
    ----------
    name : str
    T : sniperudder.tables.Tables
    clock_offset : float
        Offset of its clock from the fleet's time, seconds.
    alive : bool
    frozen : bool
    backlog : list
        Calls, as function and arguments, queued while it was frozen.
    """

    name: str
    T: typing.Any
    clock_offset: float
    alive: bool = True
    frozen: bool = False
    backlog: list = dataclasses.field(default_factory=list)


class Fleet:
    """Runs decision cores and performs their effects.

    Attributes
    ----------
    clock : VirtualTime
    rng : random.Random
        Source of delays and losses.
    platform : FakePlatform
    nodes : dict of str to Node
        All instances that were started, including dead ones.
    routes : dict
        Map from the class of an effect to ``f(fleet, node, effect)``.
        Effects of other classes are appended to ``effects``.
    effects : list of (float, str, effect)
        Time, node and effect, oldest first.
    observers : list of callable
        Each ``observer(node)`` is called after each input of a node
        and when a node is thawed.
    cuts : set of (str, str)
        Directed links, sender first, that lose all messages; the
        platform is named ``platform``.
    delay_s : float
        Maximum one-way delay between two instances, seconds.
    lose_message : float
        Probability that a message between instances gets lost.
    """

    def __init__(self, seed, systems, run_functions, platform):
        self.clock = VirtualTime()
        self.rng = random.Random(seed)
        self.platform = platform
        self.nodes = {}
        self.effects = []
        self.observers = []
        self.cuts = set()
        self.delay_s = 0.003
        self.lose_message = 0.0
        self.handlers = {}
        self.purposes = {}
        for system in systems:
            self.handlers.update(system.HANDLERS)
            self.purposes.update(system.PURPOSES)
        self.run_functions = tuple(run_functions)
        self.routes = {
            AnswerHeartbeat: Fleet._ignore,
            ListInstances: Fleet._list_instances,
            Scan: Fleet._scan,
            SendHeartbeat: Fleet._send_heartbeat,
            Transact: Fleet._transact,
        }

    @property
    def now(self):
        """The fleet's time, seconds."""
        return self.clock.now

    def start(self, name, data_centre='milan', policy=None, prepare=None):
        """Start an instance with empty tables.

        Parameters
        ----------
        name, data_centre : str
        policy : sniperudder.tables.Policy, optional
        prepare : callable, optional
            Called with its tables, to fill in its settings.

        Returns
        -------
        Node
        """
        T = create_tables(name, data_centre, self.rng.random(), policy)
        incarnation = 1 + round(self.now * 1000)
        membership.add_own_record(T, f'{name}:9000', incarnation)
        if prepare is not None:
            prepare(T)
        node = Node(name, T, self.rng.uniform(0, 10_000))
        self.nodes[name] = node
        self.platform.record_start(name, f'{name}:9000', data_centre, self.now)
        self.after(self.rng.uniform(0, _TICK_S), self._tick, node)
        return node

    def kill(self, name):
        """Kill an instance at once."""
        self.nodes[name].alive = False
        self.platform.record_end(name, self.now)

    def freeze(self, name):
        """Suspend an instance; its inputs are queued."""
        self.nodes[name].frozen = True

    def thaw(self, name):
        """Resume a frozen instance and deliver its queued inputs."""
        node = self.nodes[name]
        node.frozen = False
        self._notify_observers(node)
        backlog, node.backlog = node.backlog, []
        for call, args in backlog:
            self.after(0.0, call, *args)

    def cut(self, one, other):
        """Cut both directions between two instances or to the platform."""
        self.cuts |= {(one, other), (other, one)}

    def heal(self):
        """Restore all links, including those to the platform."""
        self.cuts.clear()

    def live_nodes(self):
        """Return the nodes that are alive and not frozen."""
        nodes = self.nodes.values()
        return [node for node in nodes if node.alive and not node.frozen]

    def read_clock(self, node):
        """Return the time on a node's own clock, seconds."""
        return self.now + node.clock_offset

    def after(self, delay_s, call, *args):
        """Call ``call(*args)`` after a delay, seconds."""
        self.clock.call_in(delay_s, call, *args)

    def run(self, duration_s):
        """Advance the virtual time."""
        self.clock.run_until(self.now + duration_s)

    def handle_input(self, node, inp):
        """Pass an input to a node and perform the resulting effects.

        Returns
        -------
        list of effects
        """
        if not node.alive:
            return []
        if node.frozen:
            node.backlog.append((self.handle_input, (node, inp)))
            return []
        now = self.read_clock(node)
        key = type(inp)
        effects = []
        if key is TransactReturned:
            inp, effects = restoration.receive_result(node.T, inp, now)
        if key in (TransactReturned, ScanReturned):
            handler = self.purposes[type(inp.purpose)]
        else:
            handler = self.handlers[key]
        effects = effects + handler(node.T, inp, now)
        for run in self.run_functions:
            effects = effects + run(node.T, now)
        self.perform_effects(node, effects)
        self._notify_observers(node)
        return effects

    def _notify_observers(self, node):
        for observer in self.observers:
            observer(node)

    def perform_effects(self, node, effects):
        """Perform effects on the fakes, or record those without a route."""
        for effect in effects:
            route = self.routes.get(type(effect))
            if route is None:
                self.effects.append((self.now, node.name, effect))
            else:
                route(self, node, effect)

    def _tick(self, node):
        if not node.alive:
            return
        if node.frozen:
            node.backlog.append((self._tick, (node,)))
            return
        now = self.read_clock(node)
        for run in self.run_functions:
            self.perform_effects(node, run(node.T, now))
        self.after(_TICK_S, self._tick, node)

    def _ignore(self, node, effect):
        """Do nothing: ``_receive_heartbeat`` reads the answer itself."""

    def _draw_delay(self, longest):
        return self.rng.uniform(0, longest)

    def _is_cut(self, one, other):
        return (one, other) in self.cuts

    def _send_heartbeat(self, node, effect):
        peer = self.nodes.get(effect.peer)
        sent_at = self.read_clock(node)
        answered = [False]
        self.after(
            _HEARTBEAT_TIMEOUT_S,
            self._expire_heartbeat,
            node,
            effect,
            answered,
        )
        lost = self.rng.random() < self.lose_message
        if peer is None or lost or self._is_cut(node.name, peer.name):
            return
        delay = self._draw_delay(self.delay_s)
        arguments = (node, peer, effect.beat, sent_at, answered)
        self.after(delay, self._receive_heartbeat, *arguments)

    def _receive_heartbeat(self, node, peer, beat, sent_at, answered):
        if not peer.alive:
            return
        if peer.frozen:
            call = (node, peer, beat, sent_at, answered)
            peer.backlog.append((self._receive_heartbeat, call))
            return
        effects = self.handle_input(peer, HeartbeatReceived(beat))
        answers = [e.beat for e in effects if isinstance(e, AnswerHeartbeat)]
        lost = self.rng.random() < self.lose_message
        if lost or self._is_cut(peer.name, node.name):
            return
        returned = HeartbeatReturned(answers[0], sent_at)
        delay = self._draw_delay(self.delay_s)
        self.after(delay, self._return_heartbeat, node, returned, answered)

    def _return_heartbeat(self, node, returned, answered):
        if not answered[0]:
            answered[0] = True
            self.handle_input(node, returned)

    def _expire_heartbeat(self, node, effect, answered):
        if not answered[0]:
            answered[0] = True
            self.handle_input(node, HeartbeatLost(effect.peer))

    def _transact(self, node, call):
        def run():
            return self.platform.transact(call, self.now)

        def answer(outcome):
            return TransactReturned(call.purpose, outcome, sent_at)

        sent_at = self.read_clock(node)
        refused = self._is_refused(node)
        failure = NotSent() if refused else Unknown()
        self._call_platform(node, run, answer, failure, refused)

    def _scan(self, node, call):
        def run():
            return self.platform.scan(call, self.now)

        def answer(rows):
            return ScanReturned(call.purpose, rows, sent_at)

        sent_at = self.read_clock(node)
        refused = self._is_refused(node)
        self._call_platform(node, run, answer, None, refused)

    def _list_instances(self, node, call):
        def run():
            return self.platform.list_instances(self.now)

        refused = self._is_refused(node)
        self._call_platform(node, run, InstancesListed, None, refused)

    def _is_refused(self, node):
        reachable = not self._is_cut(node.name, 'platform')
        if reachable and self.platform.up:
            return False
        return self.rng.random() < 0.5

    def _call_platform(self, node, run, answer, failure, refused):
        answered = [False]

        def finish(inp):
            if not answered[0]:
                answered[0] = True
                self.handle_input(node, inp)

        def execute():
            if not self.platform.up or self._is_cut(node.name, 'platform'):
                return
            outcome = run()
            if self.rng.random() >= self.platform.lose_answer:
                delay = self._draw_delay(self.platform.delay_s)
                self.after(delay, finish, answer(outcome))

        if refused:
            self.after(0.001, finish, answer(failure))
            return
        timeout_s = node.T.policy.platform_timeout_s
        self.after(timeout_s, finish, answer(failure))
        if self.rng.random() >= self.platform.lose_request:
            delay = self._draw_delay(self.platform.delay_s)
            self.after(delay, execute)


def create_fleet(
    seed=0, systems=_SYSTEMS, run_functions=_RUN_FUNCTIONS, platform=None
):
    """Return a fleet without instances.

    Parameters
    ----------
    seed : int
    systems : sequence of modules
        Each defines ``HANDLERS`` and ``PURPOSES``.
    run_functions : sequence of callables
        Each ``run(T, now)`` is called, in order, at each tick and
        after each input.
    platform : FakePlatform, optional

    Returns
    -------
    Fleet

    Examples
    --------
    >>> fleet = create_fleet()
    >>> node = fleet.start('entry-1')
    >>> fleet.run(5.0)
    >>> sorted(node.T.config.members)
    ['entry-1']
    """
    return Fleet(seed, systems, run_functions, platform or FakePlatform())
