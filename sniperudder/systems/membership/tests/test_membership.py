"""Tests of the maintenance of other instances' records."""

from sniperudder import inputs
from sniperudder.systems import membership
from sniperudder.tables import create_tables
from sniperudder.tables import InstanceState
from sniperudder.tables import Policy
from sniperudder.tables import Suspicion
from sniperudder import testing
import testtools


def _heartbeat(sender='b', version=0, **fields):
    defaults = {'address': f'{sender}:1', 'data_centre': 'milan'}
    defaults |= {'incarnation': 1, 'config_version': version}
    return inputs.Heartbeat(sender, **(defaults | fields))


class EvidenceTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.T = create_tables('a', 'milan')
        membership.add_own_record(self.T, 'a:1', 1)

    def handle(self, inp, now):
        handler = membership.HANDLERS[type(inp)]
        return handler(self.T, inp, now)

    def test_answer_is_dated_to_its_request(self):
        self.handle(
            inputs.HeartbeatReturned(_heartbeat(version=3), 10.0), 15.0
        )
        self.assertEqual(10.0, self.T.instances['b'].heard_at)
        self.assertEqual(3, self.T.instances['b'].config_version)

    def test_request_is_no_evidence(self):
        self.handle(inputs.HeartbeatReceived(_heartbeat(version=3)), 15.0)
        peer = self.T.instances['b']
        self.assertEqual(float('-inf'), peer.heard_at)
        self.assertEqual(3, peer.acked_version)

    def test_answers_out_of_order_never_reduce_evidence(self):
        self.handle(
            inputs.HeartbeatReturned(_heartbeat(version=4), 12.0), 13.0
        )
        self.handle(
            inputs.HeartbeatReturned(_heartbeat(version=3), 11.0), 14.0
        )
        peer = self.T.instances['b']
        self.assertEqual((12.0, 4), (peer.heard_at, peer.config_version))

    def test_earlier_incarnation_is_ignored(self):
        self.handle(
            inputs.HeartbeatReturned(_heartbeat(incarnation=5), 10.0), 10.0
        )
        late = _heartbeat(incarnation=4, version=9)
        self.handle(inputs.HeartbeatReturned(late, 11.0), 11.0)
        self.assertEqual(0, self.T.instances['b'].acked_version)

    def test_platform_read_of_peer_confirms_configuration(self):
        beat = _heartbeat(head_version=0, head_age_s=0.5)
        self.T.started_at = 0.0
        self.handle(inputs.HeartbeatReturned(beat, 10.0), 10.2)
        self.assertEqual(9.5, self.T.confirmed_at)
        self.assertTrue(self.T.rooted)

    def test_suspicions_are_merged(self):
        self.T.suspicions['f'] = Suspicion('f', frozenset({'x'}), 1.0)
        suspicions = (Suspicion('f', frozenset({'y'})),)
        self.handle(
            inputs.HeartbeatReceived(_heartbeat(suspicions=suspicions)), 5.0
        )
        suspicion = self.T.suspicions['f']
        self.assertEqual({'x', 'y'}, suspicion.crashes)
        self.assertEqual(5.0, suspicion.updated_at)

    def test_stopping_peer_is_leaving(self):
        beat = _heartbeat(stopping=True)
        self.handle(inputs.HeartbeatReturned(beat, 10.0), 10.0)
        membership.run_membership(self.T, 10.1)
        self.assertIs(InstanceState.LEAVING, self.T.instances['b'].state)


class FleetTest(testtools.TestCase):
    def start_fleet(self, size):
        fleet = testing.create_fleet(5)
        for number in range(size):
            fleet.start(f'e{number}', policy=Policy(list_lag_s=5.0))
        fleet.run(4.0)
        return fleet

    def get_states(self, fleet, name):
        peers = fleet.nodes[name].T.instances.values()
        return {peer.name: peer.state for peer in peers}

    def test_dead_peer_is_suspected_and_then_removed(self):
        fleet = self.start_fleet(4)
        fleet.platform.list_lag_s = 4.0
        fleet.kill('e3')
        fleet.run(3.0)
        self.assertIs(
            InstanceState.SUSPECT, self.get_states(fleet, 'e0')['e3']
        )
        fleet.run(20.0)
        self.assertNotIn('e3', self.get_states(fleet, 'e0'))
        self.assertNotIn('e3', fleet.nodes['e0'].T.config.members)

    def test_no_peer_is_suspected_without_faults(self):
        for size in (9, 24):
            fleet = self.start_fleet(size)
            for _ in range(10):
                fleet.run(0.7)
                found = set(self.get_states(fleet, 'e0').values())
                self.assertEqual({InstanceState.LIVE}, found)

    def test_peers_are_found_by_seed_without_list(self):
        fleet = self.start_fleet(3)
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
