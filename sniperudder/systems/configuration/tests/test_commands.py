"""What operators are told of their commands."""

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
        self.watch = testing.Watch(self.fleet)
        for number in range(3):
            self.fleet.start(f'entry-{number}', prepare=testing.fill_endpoints)
        self.fleet.run(3.0)

    def give(self, command, intent, node='entry-0', **options):
        self.watch.give(self.fleet.nodes[node], command, intent, **options)

    def tell(self, command):
        (outcome,) = self.watch.list_answers(command)
        return outcome

    def test_one_of_two_racing_operators_wins(self):
        self.give('a', intents.Withdraw('gpu-0'), 'entry-0')
        self.give('b', intents.Return('gpu-0'), 'entry-1')
        self.fleet.run(3.0)
        told = {type(self.tell(name)): name for name in 'ab'}
        winner = told[outcomes.CommittedAt]
        lost = self.tell(told[outcomes.LostTo])
        version = self.tell(winner).version
        self.assertEqual(outcomes.LostTo(version, winner, 'ada'), lost)

    def test_races_on_different_subjects_are_both_won(self):
        self.give('a', intents.Withdraw('gpu-0'), 'entry-0')
        self.give('b', intents.Withdraw('gpu-1'), 'entry-1')
        self.give('c', intents.SetWeight('studio', 2.0), 'entry-2')
        self.fleet.run(3.0)
        for name in 'abc':
            self.assertIsInstance(self.tell(name), outcomes.CommittedAt)

    def test_a_command_on_an_old_view_loses(self):
        seen = self.fleet.nodes['entry-0'].T.config.version
        self.give('a', intents.Withdraw('gpu-0'))
        self.fleet.run(2.0)
        intent = intents.Return('gpu-0')
        self.give('b', intent, at_version=seen)
        self.give('c', intents.Withdraw('gpu-1'), at_version=seen)
        self.fleet.run(2.0)
        self.assertEqual('a', self.tell('b').command)
        self.assertIsInstance(self.tell('c'), outcomes.CommittedAt)

    def test_the_asked_instance_tells_since_when(self):
        self.give('a', intents.Withdraw('gpu-0'))
        self.fleet.run(6.0)
        node = self.fleet.nodes['entry-0']
        now = self.fleet.now + node.clock_offset
        told = configuration.verify_intent(node.T, 'a', now)
        ages = {place.instance: now - place.since for place in told.places}
        self.assertGreater(ages['entry-0'], 5.0)
        self.assertLess(ages['entry-0'], 6.5)

    def test_force_overrides_the_winner(self):
        seen = self.fleet.nodes['entry-0'].T.config.version
        self.give('a', intents.Withdraw('gpu-0'))
        self.fleet.run(2.0)
        intent = intents.Return('gpu-0')
        self.give('b', intent, at_version=seen, force=True)
        self.fleet.run(2.0)
        self.assertIsInstance(self.tell('b'), outcomes.CommittedAt)

    def test_the_same_command_elsewhere_gets_the_same_answer(self):
        intent = intents.Withdraw('gpu-0')
        self.give('a', intent, 'entry-0')
        self.fleet.run(2.0)
        self.give('b', intents.Return('gpu-0'), 'entry-0')
        self.fleet.run(2.0)
        self.give('a', intent, 'entry-2')
        self.give('a', intent, 'entry-0')
        self.fleet.run(2.0)
        told = self.watch.list_answers('a')
        self.assertEqual(3, len(told))
        self.assertEqual(1, len(set(told)))

    def test_an_identifier_belongs_to_one_command(self):
        for node in ('entry-0', 'entry-1'):
            self.give('a', intents.Withdraw('gpu-0'), 'entry-0')
            self.fleet.run(2.0)
            self.give('a', intents.Withdraw('gpu-1'), node)
            self.fleet.run(2.0)
            told = self.watch.list_answers('a')[-1]
            self.assertEqual(Code.IDEMPOTENCY_CONFLICT, told.code)

    def test_the_last_endpoint_of_a_model_is_kept(self):
        for number in range(4):
            intent = intents.Withdraw(f'gpu-{number}')
            self.give(f'w{number}', intent)
            self.fleet.run(1.0)
        self.assertEqual(Code.MODEL_UNCOVERED, self.tell('w3').code)
        intent = intents.Withdraw('gpu-3', force=True)
        self.give('forced', intent)
        self.fleet.run(1.0)
        self.assertIsInstance(self.tell('forced'), outcomes.CommittedAt)

    def test_unknown_names_are_refused(self):
        self.give('a', intents.Withdraw('gpu-77'))
        self.give('b', intents.StopInstance('entry-77'))
        self.fleet.run(1.0)
        self.assertEqual(Code.UNKNOWN_ENDPOINT, self.tell('a').code)
        self.assertEqual(Code.UNKNOWN_INSTANCE, self.tell('b').code)

    def test_an_outage_is_told_and_settled_afterwards(self):
        self.fleet.platform.up = False
        self.give('a', intents.Withdraw('gpu-0'))
        self.fleet.run(20.0)
        told = self.tell('a')
        self.assertIsInstance(told, outcomes.UnknownSoFar)
        self.fleet.platform.up = True
        self.fleet.run(5.0)
        final = self.watch.list_answers('a')[-1]
        self.assertEqual(Code.PLATFORM_UNAVAILABLE, final.code)
        self.watch.check_answers()
        self.assertEqual([], self.watch.violations)

    def test_a_commit_that_arrives_after_its_retry(self):
        self.fleet.platform.delay_s = 4.0
        self.give('a', intents.Withdraw('gpu-0'))
        self.fleet.run(2.2)
        self.fleet.platform.delay_s = 0.005
        self.fleet.run(8.0)
        self.assertIsInstance(
            self.watch.list_answers('a')[-1], outcomes.CommittedAt
        )
        self.watch.check_answers()
        self.assertEqual([], self.watch.violations)
