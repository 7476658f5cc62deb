"""Faults and commands at random moments, on a fleet with a watch."""

from sniperudder import intents
from sniperudder.systems import configuration
from sniperudder.tables import Policy
from sniperudder.testing._fleet import create_fleet
from sniperudder.testing._operators import ENDPOINTS
from sniperudder.testing._operators import fill_endpoints
from sniperudder.testing._operators import Watch

_MAX_NODES = 8
_LIST_LAG_S = 10.0
_SETTLE_S = 25.0


class Chaos:
    """Does to a fleet what may come at any moment.

    Attributes
    ----------
    fleet : Fleet
    watch : Watch
    """

    ACTIONS = (
        'wait',
        'start',
        'kill',
        'restart',
        'freeze',
        'thaw',
        'cut_platform',
        'cut_peers',
        'cut_pair',
        'split',
        'heal',
        'stop_platform',
        'start_platform',
        'slow_platform',
        'lose_answers',
        'lag_platform',
        'slow_links',
        'withdraw',
        'bring_back',
        'race',
        'repeat',
    )

    def __init__(self, seed, size=5):
        self.fleet = create_fleet(seed)
        self.watch = Watch(self.fleet)
        self.policy = Policy(list_lag_s=_LIST_LAG_S)
        self._count = 0
        for _ in range(size):
            self.start(0)
        self.fleet.run(3.0)

    def act(self, action, choice, pause_s):
        """Do one thing, then let time pass.

        Parameters
        ----------
        action : str
            One of ``ACTIONS``.
        choice : int
            Chooses the instance, endpoint or degree.
        pause_s : float
        """
        getattr(self, action)(choice)
        self.fleet.run(pause_s)

    def finish(self):
        """End all faults and check that everything settles."""
        for node in list(self.fleet.nodes.values()):
            if node.alive and node.frozen:
                self.fleet.thaw(node.name)
        self.heal(0)
        self.fleet.run(_SETTLE_S)
        if not self.fleet.live_nodes():
            return
        self.watch.check_answers()
        self._check_settled()

    def wait(self, choice):
        """Do nothing."""

    def start(self, choice):
        """Start an instance under a new name."""
        if len(self._alive()) >= _MAX_NODES:
            return
        name = f'entry-{self._count}'
        self._count += 1
        self.fleet.start(name, policy=self.policy, prepare=fill_endpoints)

    def kill(self, choice):
        """End an instance."""
        node = self._pick(choice)
        if node is not None:
            self.fleet.kill(node.name)

    def restart(self, choice):
        """End an instance and start it anew under its name."""
        node = self._pick(choice)
        if node is not None:
            self.fleet.kill(node.name)
            self.fleet.start(
                node.name, policy=self.policy, prepare=fill_endpoints
            )

    def freeze(self, choice):
        """Stop an instance's processing."""
        node = self._pick(choice)
        if node is not None:
            self.fleet.freeze(node.name)

    def thaw(self, choice):
        """Let all frozen instances go on."""
        for node in self._alive():
            if node.frozen:
                self.fleet.thaw(node.name)

    def cut_platform(self, choice):
        """Cut an instance from the platform."""
        node = self._pick(choice)
        if node is not None:
            self.fleet.cut(node.name, 'platform')

    def cut_peers(self, choice):
        """Cut an instance from all others."""
        node = self._pick(choice)
        for other in self._alive():
            if other is not node:
                self.fleet.cut(node.name, other.name)

    def cut_pair(self, choice):
        """Cut one direction between two instances."""
        one, other = self._pick(choice), self._pick(choice // 7)
        if one is not None:
            self.fleet.cuts.add((one.name, other.name))

    def split(self, choice):
        """Cut some instances from the others and from the platform."""
        nodes = self._alive()
        size = choice % (len(nodes) + 1)
        for node in nodes[:size]:
            self.fleet.cut(node.name, 'platform')
            for other in nodes[size:]:
                self.fleet.cut(node.name, other.name)

    def heal(self, choice):
        """End all faults but those of the instances themselves."""
        platform = self.fleet.platform
        platform.up = True
        platform.delay_s = 0.005
        platform.lose_answer = platform.lose_request = 0.0
        platform.scan_lag_s = platform.list_lag_s = 0.0
        self.fleet.delay_s = 0.003
        self.fleet.lose_message = 0.0
        self.fleet.heal()

    def stop_platform(self, choice):
        """Let the platform be down."""
        self.fleet.platform.up = False

    def start_platform(self, choice):
        """Let the platform be up."""
        self.fleet.platform.up = True

    def slow_platform(self, choice):
        """Let the platform be slow, up to beyond the timeout."""
        self.fleet.platform.delay_s = 0.5 * (choice % 7)

    def lose_answers(self, choice):
        """Let answers and requests of the platform get lost."""
        self.fleet.platform.lose_answer = 0.25 * (choice % 5)
        self.fleet.platform.lose_request = 0.25 * (choice // 5 % 3)

    def lag_platform(self, choice):
        """Let scans and the list be old."""
        self.fleet.platform.scan_lag_s = choice % 5
        self.fleet.platform.list_lag_s = choice % 7

    def slow_links(self, choice):
        """Let messages between instances be slow or get lost."""
        self.fleet.delay_s = 0.3 * (choice % 6)
        self.fleet.lose_message = 0.2 * (choice % 4)

    def withdraw(self, choice):
        """Let an operator withdraw an endpoint."""
        self._give(choice, intents.Withdraw, choice)

    def bring_back(self, choice):
        """Let an operator return an endpoint."""
        self._give(choice, intents.Return, choice)

    def race(self, choice):
        """Let two operators change one endpoint at one moment."""
        self._give(choice, intents.Withdraw, choice)
        self._give(choice + 1, intents.Return, choice)

    def repeat(self, choice):
        """Let an operator give an earlier command again, elsewhere."""
        node = self._pick(choice)
        asked = list(self.watch.asked.values())
        if node is not None and asked:
            again = asked[choice % len(asked)]
            self.watch.give(node, again.command, again.intent)

    def _give(self, choice, kind, subject):
        node = self._pick(choice)
        if node is None:
            return
        name = f'c{len(self.watch.asked)}'
        intent = kind(ENDPOINTS[subject // 3 % len(ENDPOINTS)])
        self.watch.give(node, name, intent, force=choice % 5 == 0)

    def _alive(self):
        return [node for node in self.fleet.nodes.values() if node.alive]

    def _pick(self, choice):
        nodes = self._alive()
        return nodes[choice % len(nodes)] if nodes else None

    def _check_settled(self):
        found = self.watch.violations
        head = len(self.watch.read_audit())
        for node in self.fleet.live_nodes():
            T = node.T
            now = self.fleet.read_clock(node)
            if not configuration.is_fresh(T, now):
                found.append(f'{node.name} is not fresh in the end')
            if T.config.version != head:
                found.append(f'{node.name} is behind in the end')
            if configuration.get_accepted(T) != head:
                found.append(f'{node.name} knows of no acceptance')
        self._check_told()

    def _check_told(self):
        """Check that each operator at a live instance got an answer."""
        for node in self.fleet.live_nodes():
            for command in node.T.commands.values():
                if command.state.value != 'done':
                    self.watch.violations.append(
                        f'{command.name} has no outcome at {node.name}'
                    )


def run_chaos(seed, steps, size=5):
    """Run a fleet through drawn faults.

    Parameters
    ----------
    seed : int
    steps : sequence of (str, int, float)
        Arguments of ``Chaos.act``.
    size : int
        Instances at the start.

    Returns
    -------
    Chaos
        Its ``watch.violations`` are empty where every promise held.
    """
    chaos = Chaos(seed, size)
    for step in steps:
        chaos.act(*step)
    chaos.finish()
    return chaos


def draw_steps(rng, count):
    """Return random steps for ``run_chaos``, half of them commands."""
    commands = Chaos.ACTIONS[-4:]
    return [
        (
            rng.choice(rng.choice((Chaos.ACTIONS, commands))),
            rng.randrange(1000),
            rng.choice((0.0, 0.05, 0.3, 1.0, 2.5, 6.0)),
        )
        for _ in range(count)
    ]
