"""Tests of the answers to operators' commands."""

from sniperudder import intents
from sniperudder import outcomes
from sniperudder.outcomes import Code
from sniperudder.systems import configuration
from sniperudder import testing
import testtools


class CommandTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = testing.create_fleet(3)
        self.monitor = testing.GuaranteeMonitor(self.fleet)
        for number in range(3):
            self.fleet.start(f'entry-{number}', prepare=testing.fill_endpoints)
        self.fleet.run(3.0)

    def submit_command(self, command, intent, node='entry-0', **options):
        self.monitor.submit_command(
            self.fleet.nodes[node], command, intent, **options
        )

    def get_outcome(self, command):
        (outcome,) = self.monitor.list_outcomes(command)
        return outcome

    def test_one_of_two_competing_commands_wins(self):
        self.submit_command('a', intents.Withdraw('gpu-0'), 'entry-0')
        self.submit_command('b', intents.Return('gpu-0'), 'entry-1')
        self.fleet.run(3.0)
        names = {type(self.get_outcome(name)): name for name in 'ab'}
        winner = names[outcomes.CommittedAt]
        loser = self.get_outcome(names[outcomes.LostTo])
        version = self.get_outcome(winner).version
        self.assertEqual(outcomes.LostTo(version, winner, 'ada'), loser)

    def test_commands_on_different_subjects_do_not_compete(self):
        self.submit_command('a', intents.Withdraw('gpu-0'), 'entry-0')
        self.submit_command('b', intents.Withdraw('gpu-1'), 'entry-1')
        self.submit_command('c', intents.SetWeight('studio', 2.0), 'entry-2')
        self.fleet.run(3.0)
        for name in 'abc':
            self.assertIsInstance(self.get_outcome(name), outcomes.CommittedAt)

    def test_command_based_on_old_version_loses(self):
        base_version = self.fleet.nodes['entry-0'].T.config.version
        self.submit_command('a', intents.Withdraw('gpu-0'))
        self.fleet.run(2.0)
        intent = intents.Return('gpu-0')
        self.submit_command('b', intent, at_version=base_version)
        self.submit_command(
            'c', intents.Withdraw('gpu-1'), at_version=base_version
        )
        self.fleet.run(2.0)
        self.assertEqual('a', self.get_outcome('b').command)
        self.assertIsInstance(self.get_outcome('c'), outcomes.CommittedAt)

    def test_verification_dates_own_application(self):
        self.submit_command('a', intents.Withdraw('gpu-0'))
        self.fleet.run(6.0)
        node = self.fleet.nodes['entry-0']
        now = self.fleet.now + node.clock_offset
        verification = configuration.verify_command(node.T, 'a', now)
        ages = {
            status.instance: now - status.since
            for status in verification.statuses
        }
        self.assertGreater(ages['entry-0'], 5.0)
        self.assertLess(ages['entry-0'], 6.5)

    def test_force_overrides_competing_change(self):
        base_version = self.fleet.nodes['entry-0'].T.config.version
        self.submit_command('a', intents.Withdraw('gpu-0'))
        self.fleet.run(2.0)
        intent = intents.Return('gpu-0')
        self.submit_command('b', intent, at_version=base_version, force=True)
        self.fleet.run(2.0)
        self.assertIsInstance(self.get_outcome('b'), outcomes.CommittedAt)

    def test_repeated_command_at_other_instance_gets_same_answer(self):
        intent = intents.Withdraw('gpu-0')
        self.submit_command('a', intent, 'entry-0')
        self.fleet.run(2.0)
        self.submit_command('b', intents.Return('gpu-0'), 'entry-0')
        self.fleet.run(2.0)
        self.submit_command('a', intent, 'entry-2')
        self.submit_command('a', intent, 'entry-0')
        self.fleet.run(2.0)
        answers = self.monitor.list_outcomes('a')
        self.assertEqual(3, len(answers))
        self.assertEqual(1, len(set(answers)))

    def test_identifier_reused_for_other_intent_is_refused(self):
        for node in ('entry-0', 'entry-1'):
            self.submit_command('a', intents.Withdraw('gpu-0'), 'entry-0')
            self.fleet.run(2.0)
            self.submit_command('a', intents.Withdraw('gpu-1'), node)
            self.fleet.run(2.0)
            answer = self.monitor.list_outcomes('a')[-1]
            self.assertEqual(Code.IDEMPOTENCY_CONFLICT, answer.code)

    def test_last_endpoint_of_model_is_withdrawn_only_by_force(self):
        for number in range(4):
            intent = intents.Withdraw(f'gpu-{number}')
            self.submit_command(f'w{number}', intent)
            self.fleet.run(1.0)
        self.assertEqual(Code.MODEL_UNCOVERED, self.get_outcome('w3').code)
        intent = intents.Withdraw('gpu-3', force=True)
        self.submit_command('forced', intent)
        self.fleet.run(1.0)
        self.assertIsInstance(self.get_outcome('forced'), outcomes.CommittedAt)

    def test_unknown_names_are_refused(self):
        self.submit_command('a', intents.Withdraw('gpu-77'))
        self.submit_command('b', intents.StopInstance('entry-77'))
        self.fleet.run(1.0)
        self.assertEqual(Code.UNKNOWN_ENDPOINT, self.get_outcome('a').code)
        self.assertEqual(Code.UNKNOWN_INSTANCE, self.get_outcome('b').code)

    def test_platform_outage_is_reported_and_resolved_afterwards(self):
        self.fleet.platform.up = False
        self.submit_command('a', intents.Withdraw('gpu-0'))
        self.fleet.run(20.0)
        outcome = self.get_outcome('a')
        self.assertIsInstance(outcome, outcomes.UnknownSoFar)
        self.fleet.platform.up = True
        self.fleet.run(5.0)
        final = self.monitor.list_outcomes('a')[-1]
        self.assertEqual(Code.PLATFORM_UNAVAILABLE, final.code)
        self.monitor.check_outcomes()
        self.assertEqual([], self.monitor.violations)

    def test_commit_that_arrives_after_its_retry(self):
        self.fleet.platform.delay_s = 4.0
        self.submit_command('a', intents.Withdraw('gpu-0'))
        self.fleet.run(2.2)
        self.fleet.platform.delay_s = 0.005
        self.fleet.run(8.0)
        self.assertIsInstance(
            self.monitor.list_outcomes('a')[-1], outcomes.CommittedAt
        )
        self.monitor.check_outcomes()
        self.assertEqual([], self.monitor.violations)
