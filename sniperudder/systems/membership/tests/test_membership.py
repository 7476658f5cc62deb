"""Tests of the upkeep of other instances' records."""

from sniperudder import inputs
from sniperudder.systems import membership
from sniperudder.tables import create_tables
from sniperudder.tables import InstanceState
from sniperudder.tables import Policy
from sniperudder.tables import Suspicion
from sniperudder import testing
import testtools


def _beat(sender='b', version=0, **fields):
    defaults = {'address': f'{sender}:1', 'data_centre': 'milan'}
    defaults |= {'incarnation': 1, 'config_version': version}
    return inputs.Beat(sender, **(defaults | fields))


class EvidenceTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.T = create_tables('a', 'milan')
        membership.add_self(self.T, 'a:1', 1)

    def take(self, inp, now):
        handler = membership.HANDLERS[type(inp)]
        return handler(self.T, inp, now)

    def test_an_answer_counts_from_its_request_on(self):
        self.take(inputs.BeatReturned(_beat(version=3), 10.0), 15.0)
        self.assertEqual(10.0, self.T.instances['b'].heard_at)
        self.assertEqual(3, self.T.instances['b'].config_version)

    def test_a_request_is_no_evidence(self):
        self.take(inputs.BeatReceived(_beat(version=3)), 15.0)
        peer = self.T.instances['b']
        self.assertEqual(float('-inf'), peer.heard_at)
        self.assertEqual(3, peer.acked_version)

    def test_answers_out_of_order_never_move_back(self):
        self.take(inputs.BeatReturned(_beat(version=4), 12.0), 13.0)
        self.take(inputs.BeatReturned(_beat(version=3), 11.0), 14.0)
        peer = self.T.instances['b']
        self.assertEqual((12.0, 4), (peer.heard_at, peer.config_version))

    def test_an_earlier_incarnation_is_ignored(self):
        self.take(inputs.BeatReturned(_beat(incarnation=5), 10.0), 10.0)
        late = _beat(incarnation=4, version=9)
        self.take(inputs.BeatReturned(late, 11.0), 11.0)
        self.assertEqual(0, self.T.instances['b'].acked_version)

    def test_a_peers_reading_of_the_platform_counts(self):
        beat = _beat(head_version=0, head_age_s=0.5)
        self.T.started_at = 0.0
        self.take(inputs.BeatReturned(beat, 10.0), 10.2)
        self.assertEqual(9.5, self.T.confirmed_at)
        self.assertTrue(self.T.rooted)

    def test_marks_are_joined(self):
        self.T.suspicions['f'] = Suspicion('f', frozenset({'x'}), 1.0)
        marks = (Suspicion('f', frozenset({'y'})),)
        self.take(inputs.BeatReceived(_beat(suspicions=marks)), 5.0)
        mark = self.T.suspicions['f']
        self.assertEqual({'x', 'y'}, mark.crashes)
        self.assertEqual(5.0, mark.updated_at)

    def test_a_peer_that_is_being_stopped_is_leaving(self):
        beat = _beat(stopping=True)
        self.take(inputs.BeatReturned(beat, 10.0), 10.0)
        membership.run_membership(self.T, 10.1)
        self.assertIs(InstanceState.LEAVING, self.T.instances['b'].state)


class FleetTest(testtools.TestCase):
    def start(self, size):
        fleet = testing.create_fleet(5)
        for number in range(size):
            fleet.start(f'e{number}', policy=Policy(list_lag_s=5.0))
        fleet.run(4.0)
        return fleet

    def states(self, fleet, name):
        peers = fleet.nodes[name].T.instances.values()
        return {peer.name: peer.state for peer in peers}

    def test_a_dead_peer_is_suspected_and_then_gone(self):
        fleet = self.start(4)
        fleet.platform.list_lag_s = 4.0
        fleet.kill('e3')
        fleet.run(3.0)
        self.assertIs(InstanceState.SUSPECT, self.states(fleet, 'e0')['e3'])
        fleet.run(20.0)
        self.assertNotIn('e3', self.states(fleet, 'e0'))
        self.assertNotIn('e3', fleet.nodes['e0'].T.config.members)

    def test_no_one_is_suspected_while_all_is_well(self):
        for size in (9, 24):
            fleet = self.start(size)
            for _ in range(10):
                fleet.run(0.7)
                found = set(self.states(fleet, 'e0').values())
                self.assertEqual({InstanceState.LIVE}, found)

    def test_peers_are_found_without_the_list(self):
        fleet = self.start(3)
        fleet.platform.up = False
        late = fleet.start('late')
        fleet.run(0.5)
        seed = inputs.Member('e1', 'e1:9000', 'milan')
        membership.add_seed(late.T, seed)
        fleet.run(2.0)
        self.assertEqual({'e0', 'e1', 'e2', 'late'}, set(late.T.instances))
        self.assertEqual(3, late.T.config.version)
        self.assertFalse(late.T.rooted)
        now = fleet.read_clock(late)
        self.assertLess(now - late.T.confirmed_at, 1.5)
