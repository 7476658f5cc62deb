"""Tests that accepted commands hold on every instance despite faults.

Where a mutant is named, its scenario runs twice: the mutant must break
the guarantee and the real systems must keep it.
"""

from sniperudder import intents
from sniperudder import outcomes
from sniperudder.systems import configuration
from sniperudder.systems.configuration.tests import _mutants
from sniperudder.tables import Policy
from sniperudder import testing
import testtools

_WITHDRAWAL_BOUND_S = 3.0


def _start(size, seed=1):
    fleet = testing.create_fleet(seed)
    monitor = testing.GuaranteeMonitor(fleet, _WITHDRAWAL_BOUND_S)
    for number in range(size):
        _add(fleet, f'entry-{number}')
    fleet.run(3.0)
    return fleet, monitor


def _add(fleet, name):
    policy = Policy(list_lag_s=10.0)
    return fleet.start(name, policy=policy, prepare=testing.fill_endpoints)


def _split(fleet, names):
    """Partition instances from the platform and from all others."""
    for name in names:
        fleet.cut(name, 'platform')
        for other in fleet.nodes:
            if other not in names:
                fleet.cut(name, other)


def _withdraw(monitor, name='entry-0', command='w', endpoint='gpu-0'):
    node = monitor.fleet.nodes[name]
    monitor.submit_command(node, command, intents.Withdraw(endpoint))


def _verify(fleet, name, command='w'):
    node = fleet.nodes[name]
    now = fleet.read_clock(node)
    return configuration.verify_command(node.T, command, now)


def _is_instance_fresh(fleet, name):
    node = fleet.nodes[name]
    return configuration.is_fresh(node.T, fleet.read_clock(node))


class _Scenarios(testtools.TestCase):
    def check(self, scenario, mutant=None):
        """Check that a mutant breaks the guarantee and real systems don't.

        Returns
        -------
        GuaranteeMonitor
            GuaranteeMonitor of the real systems' run.
        """
        if mutant is not None:
            with mutant():
                mutant_monitor = scenario()
            self.assertNotEqual([], mutant_monitor.violations)
        monitor = scenario()
        monitor.check_outcomes()
        self.assertEqual([], monitor.violations)
        return monitor


class WithdrawTest(_Scenarios):
    def test_without_faults(self):
        fleet, monitor = _start(5)
        _withdraw(monitor)
        fleet.run(1.5)
        verification = _verify(fleet, 'entry-0')
        self.assertTrue(
            verification.accepted and verification.in_force_everywhere
        )
        self.assertEqual(
            5, sum(status.in_force for status in verification.statuses)
        )
        self.assertEqual([], monitor.violations)

    def test_while_entry_is_frozen(self):
        def scenario():
            fleet, monitor = _start(5)
            fleet.delay_s = fleet.platform.delay_s = 0.2
            for number in range(8):
                fleet.run(1.0)
                fleet.freeze('entry-4')
                fleet.cut('entry-4', 'platform')
                kind = intents.Return if number % 2 else intents.Withdraw
                node = fleet.nodes['entry-0']
                monitor.submit_command(node, f'w{number}', kind('gpu-0'))
                fleet.run(5.0)
                fleet.thaw('entry-4')
                fleet.run(1.0)
                fleet.heal()
            return monitor

        monitor = self.check(scenario, _mutants.timestamp_answers_at_receipt)
        for record in monitor.commands.values():
            self.assertIsNotNone(record.accepted_at)

    def test_while_entry_is_cut_from_platform(self):
        fleet, monitor = _start(5)
        fleet.cut('entry-4', 'platform')
        fleet.run(10.0)
        self.assertTrue(_is_instance_fresh(fleet, 'entry-4'))
        _withdraw(monitor)
        fleet.run(2.0)
        verification = _verify(fleet, 'entry-0')
        self.assertEqual(
            5, sum(status.in_force for status in verification.statuses)
        )

    def test_while_entry_is_cut_from_peers(self):
        def scenario():
            fleet, monitor = _start(5)
            for number in range(4):
                fleet.cut('entry-4', f'entry-{number}')
            _withdraw(monitor)
            fleet.run(8.0)
            return monitor

        monitor = self.check(scenario)
        verification = _verify(monitor.fleet, 'entry-0')
        self.assertTrue(
            verification.accepted and verification.in_force_everywhere
        )
        self.assertTrue(_is_instance_fresh(monitor.fleet, 'entry-4'))

    def test_while_minority_is_partitioned(self):
        def scenario():
            fleet, monitor = _start(5)
            _split(fleet, {'entry-3', 'entry-4'})
            _withdraw(monitor)
            fleet.run(8.0)
            return monitor

        for mutant in (
            _mutants.confirm_without_platform,
            _mutants.count_majority_of_recent_peers,
        ):
            monitor = self.check(scenario, mutant)
        fleet = monitor.fleet
        self.assertFalse(_is_instance_fresh(fleet, 'entry-4'))
        verification = _verify(fleet, 'entry-0')
        self.assertTrue(
            verification.accepted and verification.in_force_everywhere
        )
        reasons = [p.reason for p in verification.statuses if not p.in_force]
        self.assertEqual(2, len(reasons))
        self.assertIn('gives out no new work', reasons[0])

    def test_while_majority_is_partitioned(self):
        def scenario():
            fleet, monitor = _start(5)
            _split(fleet, {'entry-2', 'entry-3', 'entry-4'})
            _withdraw(monitor)
            fleet.run(8.0)
            return monitor

        for mutant in (
            _mutants.accept_by_half,
            _mutants.accept_at_commit,
        ):
            monitor = self.check(scenario, mutant)
        verification = _verify(monitor.fleet, 'entry-0')
        self.assertIsInstance(verification.outcome, outcomes.CommittedAt)
        self.assertFalse(
            verification.accepted or verification.in_force_everywhere
        )
        self.assertTrue(_is_instance_fresh(monitor.fleet, 'entry-4'))

    def test_while_fleet_grows_beside_partitioned_former_majority(self):
        def scenario():
            fleet, monitor = _start(5)
            cut_off = {'entry-2', 'entry-3', 'entry-4'}
            for number in range(5, 10):
                _add(fleet, f'entry-{number}')
            for name in fleet.nodes:
                if name not in cut_off:
                    for cut in cut_off:
                        fleet.cut(name, cut)
            for cut in cut_off:
                fleet.cut(cut, 'platform')
            fleet.run(4.0)
            _withdraw(monitor)
            fleet.run(8.0)
            return monitor

        self.check(scenario, _mutants.accept_by_latest_roster)

    def test_during_start_of_entry(self):
        fleet, monitor = _start(3)
        _add(fleet, 'entry-9')
        _withdraw(monitor)
        fleet.run(2.0)
        self.assertTrue(_verify(fleet, 'entry-9').in_force_everywhere)
        self.assertEqual([], monitor.violations)

    def test_immediately_before_platform_outage(self):
        fleet, monitor = _start(5)
        _withdraw(monitor)
        while not monitor.list_outcomes('w'):
            fleet.run(0.001)
        fleet.platform.up = False
        fleet.run(3.0)
        self.assertTrue(_verify(fleet, 'entry-3').accepted)
        fleet.run(60.0)
        for name in fleet.nodes:
            self.assertTrue(_is_instance_fresh(fleet, name))
        self.assertEqual([], monitor.violations)

    def test_immediately_before_platform_outage_and_entry_crash(self):
        fleet, monitor = _start(5)
        _withdraw(monitor)
        while not monitor.list_outcomes('w'):
            fleet.run(0.0005)
        fleet.platform.up = False
        fleet.kill('entry-0')
        fleet.run(10.0)
        self.assertIsNone(monitor.commands['w'].accepted_at)
        fleet.platform.up = True
        fleet.run(3.0)
        self.assertTrue(_verify(fleet, 'entry-1').accepted)
        self.assertEqual([], monitor.violations)

    def test_while_member_restarts_during_platform_outage(self):
        def scenario():
            fleet, monitor = _start(3)
            fleet.cut('entry-2', 'entry-0')
            fleet.cut('entry-2', 'platform')
            fleet.cut('entry-2', 'entry-1')
            _withdraw(monitor)
            fleet.run(0.3)
            fleet.platform.up = False
            fleet.run(1.0)
            fleet.kill('entry-1')
            _add(fleet, 'entry-1')
            fleet.heal()
            fleet.cut('entry-0', 'entry-1')
            fleet.cut('entry-0', 'entry-2')
            fleet.run(10.0)
            return monitor

        monitor = self.check(scenario, _mutants.trust_restarted_members)
        self.assertIsNotNone(monitor.commands['w'].accepted_at)

    def test_while_frozen_entry_is_considered_ended(self):
        def scenario():
            fleet, monitor = _start(3)
            fleet.freeze('entry-1')
            fleet.platform.unlisted.add('entry-1')
            fleet.cut('entry-1', 'entry-0')
            fleet.cut('entry-2', 'entry-0')
            fleet.cut('entry-2', 'platform')
            _withdraw(monitor)
            fleet.run(25.0)
            fleet.cut('entry-1', 'platform')
            fleet.thaw('entry-1')
            fleet.run(8.0)
            return monitor

        monitor = self.check(scenario, _mutants.trust_paused_members)
        self.assertIsNotNone(monitor.commands['w'].accepted_at)

    def test_operator_declares_dead_members_ended(self):
        fleet, monitor = _start(3)
        fleet.nodes['entry-0'].T.policy.list_lag_s = 900.0
        fleet.kill('entry-1')
        fleet.kill('entry-2')
        _withdraw(monitor)
        fleet.run(30.0)
        self.assertFalse(_verify(fleet, 'entry-0').accepted)
        node = fleet.nodes['entry-0']
        for name in ('entry-1', 'entry-2'):
            intent = intents.Leave(name, ended=True)
            monitor.submit_command(node, f'leave {name}', intent)
        fleet.run(2.0)
        self.assertTrue(_verify(fleet, 'entry-0').accepted)
        self.assertTrue(_verify(fleet, 'entry-0').in_force_everywhere)


class HistoryTest(_Scenarios):
    def test_lost_commit_answers(self):
        def scenario():
            fleet, monitor = _start(3)
            fleet.platform.lose_answer = 1.0
            node = fleet.nodes['entry-0']
            intent = intents.Withdraw('gpu-0')
            monitor.submit_command(node, 'w', intent, force=True)
            fleet.run(4.0)
            fleet.platform.lose_answer = 0.0
            fleet.run(4.0)
            monitor.check_outcomes()
            return monitor

        monitor = self.check(scenario, _mutants.retry_unconditionally)
        (answer,) = monitor.list_outcomes('w')
        self.assertIsInstance(answer, outcomes.CommittedAt)

    def test_entries_replaced_one_after_another(self):
        fleet, monitor = _start(5)
        _withdraw(monitor)
        fleet.run(2.0)
        for number in range(5):
            fleet.kill(f'entry-{number}')
            _add(fleet, f'entry-{number + 5}')
            fleet.run(3.0)
            self.assertTrue(_is_instance_fresh(fleet, f'entry-{number + 5}'))
        fleet.run(25.0)
        expected = {f'entry-{number}' for number in range(5, 10)}
        for name in expected:
            T = fleet.nodes[name].T
            self.assertEqual({'gpu-0'}, T.config.withdrawn)
            self.assertEqual(expected, T.config.members)
            self.assertTrue(_verify(fleet, name).accepted)
        self.assertEqual([], monitor.violations)

    def test_entries_replaced_at_once_during_platform_outage(self):
        fleet, monitor = _start(5)
        _withdraw(monitor)
        fleet.run(2.0)
        fleet.platform.up = False
        for number in range(5):
            fleet.kill(f'entry-{number}')
            _add(fleet, f'entry-{number + 5}')
        fleet.run(20.0)
        self.assertFalse(_is_instance_fresh(fleet, 'entry-5'))
        fleet.platform.up = True
        fleet.run(2.0)
        self.assertTrue(_is_instance_fresh(fleet, 'entry-5'))
        _withdraw(monitor, 'entry-5', 'w2', 'gpu-1')
        fleet.run(25.0)
        self.assertTrue(_verify(fleet, 'entry-6', 'w2').accepted)
        self.assertEqual([], monitor.violations)

    def test_entry_rejoins_after_an_hour(self):
        fleet, monitor = _start(3)
        fleet.freeze('entry-2')
        for number in range(20):
            kind = intents.Return if number % 2 else intents.Withdraw
            node = fleet.nodes['entry-0']
            monitor.submit_command(node, f'c{number}', kind('gpu-0'))
            fleet.run(2.0)
        for node in fleet.nodes.values():
            node.clock_offset += 3600.0
        fleet.run(5.0)
        fleet.thaw('entry-2')
        fleet.run(3.0)
        self.assertTrue(_is_instance_fresh(fleet, 'entry-2'))
        versions = {n.T.config.version for n in fleet.nodes.values()}
        self.assertEqual(1, len(versions))
        self.assertEqual([], monitor.violations)

    def test_scans_that_lag(self):
        fleet, monitor = _start(3)
        fleet.platform.scan_lag_s = 5.0
        for number in range(100):
            kind = intents.Return if number % 2 else intents.Withdraw
            monitor.submit_command(
                fleet.nodes['entry-0'], f'c{number}', kind('gpu-0')
            )
            fleet.run(0.1)
        late = _add(fleet, 'entry-3')
        versions_seen = []
        for _ in range(100):
            fleet.run(0.1)
            versions_seen.append(late.T.config.version)
        self.assertEqual(sorted(versions_seen), versions_seen)
        self.assertEqual(len(monitor.read_audit()), versions_seen[-1])
        self.assertEqual([], monitor.violations)
