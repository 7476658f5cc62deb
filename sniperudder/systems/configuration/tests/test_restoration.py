"""Tests of the configuration after the platform was restored from a copy."""

from sniperudder import intents
from sniperudder import outcomes
from sniperudder import testing
import testtools

_WITHDRAWAL_BOUND_S = 3.0


class RestoredPlatformTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = testing.create_fleet(5)
        self.monitor = testing.GuaranteeMonitor(
            self.fleet, _WITHDRAWAL_BOUND_S
        )
        for number in range(5):
            self.fleet.start(f'entry-{number}', prepare=testing.fill_endpoints)
        self.fleet.run(3.0)

    def submit(self, command, intent, node='entry-0'):
        """Submit a command and give it time."""
        self.monitor.submit_command(self.fleet.nodes[node], command, intent)
        self.fleet.run(1.5)

    def lose_changes(self):
        """Commit three changes and restore the platform without them."""
        copied_at = self.fleet.now
        for number in range(3):
            self.submit(f'w{number}', intents.SetWeight(f'org-{number}', 2.0))
        self.platform_down_for(1.0)
        self.fleet.platform.restore(copied_at)

    def platform_down_for(self, duration_s):
        """Have the platform fail for some time."""
        self.fleet.platform.up = False
        self.fleet.run(duration_s)
        self.fleet.platform.up = True

    def list_weights(self):
        """Return the organisations with a weight at each live instance."""
        return [
            sorted(node.T.config.weights)
            for node in self.fleet.nodes.values()
            if node.alive
        ]

    # Guards against: after a restoration, each command failed until as many
    # others had been given.
    def test_commands_are_committed_after_a_restoration(self):
        self.lose_changes()
        self.fleet.run(3.0)
        self.submit('w9', intents.SetWeight('org-9', 2.0), 'entry-3')
        (outcome,) = self.monitor.list_outcomes('w9')
        self.assertIsInstance(outcome, outcomes.CommittedAt)
        self.fleet.run(1.0)
        names = ['org-0', 'org-1', 'org-2', 'org-9']
        self.assertEqual([names] * 5, self.list_weights())
        self.assertEqual([], self.monitor.violations)

    # Guards against: an instance that started after a restoration had the
    # configuration of the copy for good.
    def test_instance_that_starts_later_has_the_lost_changes(self):
        self.lose_changes()
        self.fleet.run(0.3)
        self.fleet.start('entry-9', prepare=testing.fill_endpoints)
        self.fleet.run(4.0)
        names = ['org-0', 'org-1', 'org-2']
        self.assertEqual([names] * 6, self.list_weights())
        self.submit('w9', intents.SetWeight('org-9', 2.0), 'entry-9')
        self.fleet.run(1.0)
        self.assertEqual([[*names, 'org-9']] * 6, self.list_weights())
        self.assertEqual([], self.monitor.violations)

    def test_changes_outlive_a_second_restoration_and_their_instances(self):
        copied_at = self.fleet.now
        self.lose_changes()
        self.fleet.run(0.5)
        self.fleet.platform.restore(copied_at)
        self.fleet.run(3.0)
        # All but one instance end, so that the others learn from the platform.
        for number in range(5):
            self.fleet.kill(f'entry-{number}')
        for number in range(5, 8):
            self.fleet.start(f'entry-{number}', prepare=testing.fill_endpoints)
        self.fleet.run(4.0)
        names = ['org-0', 'org-1', 'org-2']
        self.assertEqual([names] * 3, self.list_weights())
