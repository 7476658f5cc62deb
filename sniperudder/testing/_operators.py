"""Operators' commands on endpoints, and a monitor of their effect.

The monitor uses only what is visible from outside: to which endpoints
each instance would send new work at a given time, the outcomes that
operators receive, and the audit trail in the table service.
"""

import dataclasses

from sniperudder import effects
from sniperudder import inputs
from sniperudder import intents
from sniperudder import outcomes
from sniperudder.systems import configuration
from sniperudder import tables

ENDPOINTS = ('gpu-0', 'gpu-1', 'gpu-2', 'gpu-3')

_CHECK_INTERVAL_S = 0.05
_POLL_INTERVAL_S = 0.2


def fill_endpoints(T):
    """Add the endpoints and the model of the fleet's settings."""
    for name in ENDPOINTS:
        T.endpoints[name] = tables.Endpoint(
            name, f'{name}:1', 'milan', 'a', 'm', '1', 0, 4, 8
        )
    T.models['m'] = tables.Model('m', 4)


@dataclasses.dataclass(slots=True)
class CommandRecord:
    """Command as seen by its operator.

    Attributes
    ----------
    command : str
    intent : Withdraw or Return
    given_at : float
        Time at which it was first submitted, seconds.
    accepted_at : float or None
        Time at which a verification first reported it as accepted,
        seconds.
    """

    command: str
    intent: object
    given_at: float
    accepted_at: float | None = None


def _is_routing(intent):
    return isinstance(intent, intents.Withdraw | intents.Return)


class GuaranteeMonitor:
    """Monitors a fleet for violated guarantees.

    Attributes
    ----------
    bound_s : float
        Maximum time from the acceptance of a command until every
        instance obeys it, seconds.
    commands : dict of str to CommandRecord
        Submitted commands, by identifier.
    violations : list of str
    longest_lag_s : float
        Longest time after acceptance at which an instance still
        contradicted a command, seconds.
    """

    def __init__(self, fleet, bound_s=3.0):
        self.fleet = fleet
        self.bound_s = bound_s
        self.commands = {}
        self.violations = []
        self.longest_lag_s = 0.0
        self._audit = {}
        self._accepted = 0
        self._expected = {}
        self._expected_at = None
        fleet.observers.append(self.check_node)
        fleet.after(0.0, self._check_nodes)
        fleet.after(0.0, self._poll_acceptance)

    def submit_command(
        self, node, command, intent, at_version=None, force=False
    ):
        """Submit an operator's command at a node."""
        self.commands.setdefault(
            command, CommandRecord(command, intent, self.fleet.now)
        )
        inp = inputs.CommandArrived(
            command, 'ada', intent, at_version=at_version, force=force
        )
        self.fleet.handle_input(node, inp)

    def list_outcomes(self, command):
        """Return the outcomes of a command that operators received."""
        return [
            effect.outcome
            for _, _, effect in self.fleet.effects
            if isinstance(effect, effects.CommandDone)
            and effect.command == command
        ]

    def read_audit(self):
        """Return the committed changes, by version."""
        changes = {}
        version = 1
        while row := self.fleet.platform.read(f'config/change/{version:012d}'):
            changes[version] = configuration.decode_change(row.value)
            version += 1
        return changes

    def _poll_acceptance(self):
        for node in self.fleet.live_nodes():
            now = self.fleet.read_clock(node)
            for record in self.commands.values():
                if record.accepted_at is not None:
                    continue
                verification = configuration.verify_command(
                    node.T, record.command, now
                )
                if verification.accepted:
                    record.accepted_at = self.fleet.now
                    self._accepted += 1
        self.fleet.after(_POLL_INTERVAL_S, self._poll_acceptance)

    def _check_nodes(self):
        for node in self.fleet.live_nodes():
            self.check_node(node)
        self.fleet.after(_CHECK_INTERVAL_S, self._check_nodes)

    def check_node(self, node):
        """Check where a node would send new work at this moment."""
        now = self.fleet.read_clock(node)
        if not configuration.is_fresh(node.T, now):
            return
        for name, record in self._find_expected().items():
            withdrawn = isinstance(record.intent, intents.Withdraw)
            if (name in node.T.config.withdrawn) != withdrawn:
                self._record_lag(node, record)

    def _record_lag(self, node, record):
        late_s = self.fleet.now - record.accepted_at
        self.longest_lag_s = max(self.longest_lag_s, late_s)
        if late_s > self.bound_s:
            self.violations.append(
                f'{node.name} at {self.fleet.now:.2f} s contradicts'
                f' {record.command}, accepted {late_s:.2f} s before'
            )

    def _find_expected(self):
        """Return the accepted command in force for each endpoint."""
        audit = self.read_audit()
        state = (len(audit), self._accepted)
        if state != self._expected_at:
            self._expected_at = state
            self._expected = self._compute_expected(audit)
        return self._expected

    def _compute_expected(self, audit):
        result = {}
        for change in audit.values():
            record = self.commands.get(change.command_id)
            if record is None or not _is_routing(record.intent):
                continue
            name = record.intent.endpoint
            result.pop(name, None)
            if record.accepted_at is not None:
                result[name] = record
        return result

    def check_outcomes(self):
        """Check the outcomes that operators received by the audit trail."""
        audit = self.read_audit()
        versions = {}
        for version, change in audit.items():
            if change.command_id in versions:
                self.violations.append(
                    f'{change.command_id} was committed twice'
                )
            versions[change.command_id] = version
        for command in self.commands:
            for outcome in self.list_outcomes(command):
                self._check_outcome(command, outcome, versions, audit)

    def _check_outcome(self, command, outcome, versions, audit):
        match outcome:
            case outcomes.UnknownSoFar():
                return
            case outcomes.CommittedAt(version=version):
                correct = versions.get(command) == version
            case outcomes.LostTo(version=version, command=winner):
                correct = (
                    command not in versions
                    and audit[version].command_id == winner
                )
            case _:
                correct = command not in versions
        if not correct:
            self.violations.append(
                f'{command}: {outcome} contradicts the audit trail'
            )
