"""Operators who withdraw and return endpoints, and a watch on the work.

The watch sees what the outside sees: which instance would give new work
to which endpoint at what time, what operators are told, and the audit
trail in the table service.
"""

import dataclasses

from sniperudder import effects
from sniperudder import inputs
from sniperudder import intents
from sniperudder import outcomes
from sniperudder.systems import configuration
from sniperudder import tables

ENDPOINTS = ('gpu-0', 'gpu-1', 'gpu-2', 'gpu-3')

_LOOK_S = 0.05
_VERIFY_S = 0.2


def fill_endpoints(T):
    """Fill in the endpoints that the fleet's settings name."""
    for name in ENDPOINTS:
        T.endpoints[name] = tables.Endpoint(
            name, f'{name}:1', 'milan', 'a', 'm', '1', 0, 4, 8
        )
    T.models['m'] = tables.Model('m', 4)


@dataclasses.dataclass(slots=True)
class Asked:
    """A command as its operator sees it.

    Attributes
    ----------
    command : str
    intent : Withdraw or Return
    given_at : float
    accepted_at : float or None
        When an operator was first told that it is accepted.
    """

    command: str
    intent: object
    given_at: float
    accepted_at: float | None = None


def _is_routing(intent):
    return isinstance(intent, intents.Withdraw | intents.Return)


class Watch:
    """Watches a fleet for broken promises.

    Attributes
    ----------
    bound_s : float
        Time after acceptance from which a command must hold.
    asked : dict of str to Asked
    violations : list of str
    slowest_s : float
        Longest time from acceptance to the last work that went against
        a command, seconds.
    """

    def __init__(self, fleet, bound_s=3.0):
        self.fleet = fleet
        self.bound_s = bound_s
        self.asked = {}
        self.violations = []
        self.slowest_s = 0.0
        self._audit = {}
        self._accepted = 0
        self._expected = {}
        self._expected_at = None
        fleet.observers.append(self.look_at)
        fleet.after(0.0, self._look)
        fleet.after(0.0, self._verify)

    def give(self, node, command, intent, at_version=None, force=False):
        """Let an operator give a command at a node."""
        self.asked.setdefault(command, Asked(command, intent, self.fleet.now))
        inp = inputs.CommandArrived(
            command, 'ada', intent, at_version=at_version, force=force
        )
        self.fleet.give(node, inp)

    def list_answers(self, command):
        """Return the outcomes that operators were told of a command."""
        return [
            effect.outcome
            for _, _, effect in self.fleet.effects
            if isinstance(effect, effects.CommandDone)
            and effect.command == command
        ]

    def read_audit(self):
        """Return the committed changes by version."""
        changes = {}
        version = 1
        while row := self.fleet.platform.read(f'config/change/{version:012d}'):
            changes[version] = configuration.decode_change(row.value)
            version += 1
        return changes

    def _verify(self):
        for node in self.fleet.live_nodes():
            now = self.fleet.read_clock(node)
            for asked in self.asked.values():
                if asked.accepted_at is not None:
                    continue
                told = configuration.verify_intent(node.T, asked.command, now)
                if told.accepted:
                    asked.accepted_at = self.fleet.now
                    self._accepted += 1
        self.fleet.after(_VERIFY_S, self._verify)

    def _look(self):
        for node in self.fleet.live_nodes():
            self.look_at(node)
        self.fleet.after(_LOOK_S, self._look)

    def look_at(self, node):
        """Check what work a node would give out at this moment."""
        now = self.fleet.read_clock(node)
        if not configuration.is_fresh(node.T, now):
            return
        for name, asked in self._find_expected().items():
            leaving = isinstance(asked.intent, intents.Withdraw)
            if (name in node.T.config.withdrawn) != leaving:
                self._note_late(node, asked)

    def _note_late(self, node, asked):
        late_s = self.fleet.now - asked.accepted_at
        self.slowest_s = max(self.slowest_s, late_s)
        if late_s > self.bound_s:
            self.violations.append(
                f'{node.name} at {self.fleet.now:.2f} s goes against'
                f' {asked.command}, accepted {late_s:.2f} s before'
            )

    def _find_expected(self):
        """Return the accepted command that decides on each endpoint."""
        audit = self.read_audit()
        state = (len(audit), self._accepted)
        if state != self._expected_at:
            self._expected_at = state
            self._expected = self._fold(audit)
        return self._expected

    def _fold(self, audit):
        result = {}
        for change in audit.values():
            asked = self.asked.get(change.command_id)
            if asked is None or not _is_routing(asked.intent):
                continue
            name = asked.intent.endpoint
            result.pop(name, None)
            if asked.accepted_at is not None:
                result[name] = asked
        return result

    def check_answers(self):
        """Check what operators were told against the audit trail."""
        audit = self.read_audit()
        versions = {}
        for version, change in audit.items():
            if change.command_id in versions:
                self.violations.append(f'{change.command_id} done twice')
            versions[change.command_id] = version
        for command in self.asked:
            for outcome in self.list_answers(command):
                self._check_answer(command, outcome, versions, audit)

    def _check_answer(self, command, outcome, versions, audit):
        match outcome:
            case outcomes.UnknownSoFar():
                return
            case outcomes.CommittedAt(version=version):
                right = versions.get(command) == version
            case outcomes.LostTo(version=version, command=winner):
                right = (
                    command not in versions
                    and audit[version].command_id == winner
                )
            case _:
                right = command not in versions
        if not right:
            self.violations.append(f'{command} was told {outcome}')
