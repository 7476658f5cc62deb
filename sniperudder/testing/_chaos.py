"""Random faults and operator commands on a monitored fleet."""

from sniperudder import intents
from sniperudder.systems import configuration
from sniperudder.tables import Policy
from sniperudder.testing._fleet import create_fleet
from sniperudder.testing._operators import ENDPOINTS
from sniperudder.testing._operators import fill_endpoints
from sniperudder.testing._operators import GuaranteeMonitor

_MAX_NODES = 8
_LIST_LAG_S = 10.0
_SETTLE_S = 25.0


class Chaos:
    """Injects faults and operator commands into a fleet.

    Attributes
    ----------
    fleet : Fleet
    monitor : GuaranteeMonitor
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
        self.monitor = GuaranteeMonitor(self.fleet)
        self.policy = Policy(list_lag_s=_LIST_LAG_S)
        self._count = 0
        for _ in range(size):
            self.start(0)
        self.fleet.run(3.0)

    def act(self, action, choice, pause_s):
        """Perform one action, then advance the virtual time.

        Parameters
        ----------
        action : str
            One of ``ACTIONS``.
        choice : int
            Selects the instance, the endpoint or the severity.
        pause_s : float
            Virtual time that passes after the action, seconds.
        """
        getattr(self, action)(choice)
        self.fleet.run(pause_s)

    def finish(self):
        """End all faults and check that the fleet converges."""
        for node in list(self.fleet.nodes.values()):
            if node.alive and node.frozen:
                self.fleet.thaw(node.name)
        self.heal(0)
        self.fleet.run(_SETTLE_S)
        if not self.fleet.live_nodes():
            return
        self.monitor.check_outcomes()
        self._check_settled()

    def wait(self, choice):
        """Do nothing."""

    def start(self, choice):
        """Start an instance under a new name."""
        if len(self._list_alive()) >= _MAX_NODES:
            return
        name = f'entry-{self._count}'
        self._count += 1
        self.fleet.start(name, policy=self.policy, prepare=fill_endpoints)

    def kill(self, choice):
        """Kill an instance."""
        node = self._choose_node(choice)
        if node is not None:
            self.fleet.kill(node.name)

    def restart(self, choice):
        """Kill an instance and start another under the same name."""
        node = self._choose_node(choice)
        if node is not None:
            self.fleet.kill(node.name)
            self.fleet.start(
                node.name, policy=self.policy, prepare=fill_endpoints
            )

    def freeze(self, choice):
        """Suspend an instance; its inputs are queued."""
        node = self._choose_node(choice)
        if node is not None:
            self.fleet.freeze(node.name)

    def thaw(self, choice):
        """Resume all frozen instances."""
        for node in self._list_alive():
            if node.frozen:
                self.fleet.thaw(node.name)

    def cut_platform(self, choice):
        """Cut the links between an instance and the platform."""
        node = self._choose_node(choice)
        if node is not None:
            self.fleet.cut(node.name, 'platform')

    def cut_peers(self, choice):
        """Cut the links between an instance and all others."""
        node = self._choose_node(choice)
        for other in self._list_alive():
            if other is not node:
                self.fleet.cut(node.name, other.name)

    def cut_pair(self, choice):
        """Cut one direction between two instances."""
        one, other = self._choose_node(choice), self._choose_node(choice // 7)
        if one is not None:
            self.fleet.cuts.add((one.name, other.name))

    def split(self, choice):
        """Partition some instances from the others and the platform."""
        nodes = self._list_alive()
        size = choice % (len(nodes) + 1)
        for node in nodes[:size]:
            self.fleet.cut(node.name, 'platform')
            for other in nodes[size:]:
                self.fleet.cut(node.name, other.name)

    def heal(self, choice):
        """End all faults of links and platform; frozen instances stay so."""
        platform = self.fleet.platform
        platform.up = True
        platform.delay_s = 0.005
        platform.lose_answer = platform.lose_request = 0.0
        platform.scan_lag_s = platform.list_lag_s = 0.0
        self.fleet.delay_s = 0.003
        self.fleet.lose_message = 0.0
        self.fleet.heal()

    def stop_platform(self, choice):
        """Make the platform unavailable."""
        self.fleet.platform.up = False

    def start_platform(self, choice):
        """Make the platform available again."""
        self.fleet.platform.up = True

    def slow_platform(self, choice):
        """Delay the platform, possibly beyond the client's timeout."""
        self.fleet.platform.delay_s = 0.5 * (choice % 7)

    def lose_answers(self, choice):
        """Lose some requests to the platform and some of its answers."""
        self.fleet.platform.lose_answer = 0.25 * (choice % 5)
        self.fleet.platform.lose_request = 0.25 * (choice // 5 % 3)

    def lag_platform(self, choice):
        """Make scans and the list of instances return stale data."""
        self.fleet.platform.scan_lag_s = choice % 5
        self.fleet.platform.list_lag_s = choice % 7

    def slow_links(self, choice):
        """Delay or lose messages between instances."""
        self.fleet.delay_s = 0.3 * (choice % 6)
        self.fleet.lose_message = 0.2 * (choice % 4)

    def withdraw(self, choice):
        """Submit an operator's command that withdraws an endpoint."""
        self._submit_command(choice, intents.Withdraw, choice)

    def bring_back(self, choice):
        """Submit an operator's command that returns an endpoint."""
        self._submit_command(choice, intents.Return, choice)

    def race(self, choice):
        """Submit two conflicting commands on one endpoint at once."""
        self._submit_command(choice, intents.Withdraw, choice)
        self._submit_command(choice + 1, intents.Return, choice)

    def repeat(self, choice):
        """Submit an earlier command again at any instance."""
        node = self._choose_node(choice)
        records = list(self.monitor.commands.values())
        if node is not None and records:
            record = records[choice % len(records)]
            self.monitor.submit_command(node, record.command, record.intent)

    def _submit_command(self, choice, kind, endpoint_choice):
        node = self._choose_node(choice)
        if node is None:
            return
        name = f'c{len(self.monitor.commands)}'
        intent = kind(ENDPOINTS[endpoint_choice // 3 % len(ENDPOINTS)])
        self.monitor.submit_command(node, name, intent, force=choice % 5 == 0)

    def _list_alive(self):
        return [node for node in self.fleet.nodes.values() if node.alive]

    def _choose_node(self, choice):
        nodes = self._list_alive()
        return nodes[choice % len(nodes)] if nodes else None

    def _check_settled(self):
        found = self.monitor.violations
        head = len(self.monitor.read_audit())
        for node in self.fleet.live_nodes():
            T = node.T
            now = self.fleet.read_clock(node)
            if not configuration.is_fresh(T, now):
                found.append(
                    f'{node.name} is not fresh after all faults ended'
                )
            if T.config.version != head:
                found.append(f'{node.name} is behind the audit trail')
            if configuration.get_accepted_version(T) != head:
                found.append(f'{node.name} does not know the last acceptance')
        self._check_outcomes()

    def _check_outcomes(self):
        """Check that each command at a live instance got an outcome."""
        for node in self.fleet.live_nodes():
            for command in node.T.commands.values():
                if command.state.value != 'done':
                    self.monitor.violations.append(
                        f'{command.name} has no outcome at {node.name}'
                    )


def run_chaos(seed, steps, size=5):
    """Run a fleet through a sequence of actions.

    Parameters
    ----------
    seed : int
    steps : sequence of (str, int, float)
        Arguments of ``Chaos.act``.
    size : int
        Number of instances at the start.

    Returns
    -------
    Chaos
        ``monitor.violations`` is empty if every guarantee held.
    """
    chaos = Chaos(seed, size)
    for step in steps:
        chaos.act(*step)
    chaos.finish()
    return chaos


def draw_steps(rng, count):
    """Return random steps for ``run_chaos``.

    At least half of them, on average, are commands of operators.
    """
    commands = Chaos.ACTIONS[-4:]
    return [
        (
            rng.choice(rng.choice((Chaos.ACTIONS, commands))),
            rng.randrange(1000),
            rng.choice((0.0, 0.05, 0.3, 1.0, 2.5, 6.0)),
        )
        for _ in range(count)
    ]
