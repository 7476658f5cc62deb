"""Tests of the sharing of endpoints' rate limits.

The pattern: endpoints in need accept a few requests per second from all
instances together, which get many more.
"""

import testtools

from sniperudder import digests
from sniperudder import fleet
from sniperudder import routing
from sniperudder.routing.tests import _quota_fleets
from sniperudder import testing

# The users' bounds; see `sniperudder.entry.tests.test_notices`.
_WINDOW_S = 4.0
_RATIO = 1.5
_SLACK = 5
_FIRST_S = 2.0
_CONTACT_S = 3.0

_LIMITS = (4.3, 2.0, 0.7)


def count_excess(simulation, limits, start):
    """Return by how much each limit was exceeded in the worst window."""
    return [
        testing.count_most(times, _WINDOW_S, start)
        - (_RATIO * limit * _WINDOW_S + _SLACK)
        for times, limit in zip(simulation.sent, limits)
    ]


class SharedLimitTest(testtools.TestCase):
    """The invariant in simulated fleets, with all instances counted."""

    def assert_held(self, simulation, limits=_LIMITS, start=None):
        """Check the requests that each endpoint received."""
        start = _FIRST_S + _CONTACT_S if start is None else start
        excess = count_excess(simulation, limits, start)
        self.assertLessEqual(max(excess), 0.0, excess)

    def test_limits_hold_at_any_number_of_instances(self):
        for count in (1, 2, 8, 26, 60, 195):
            simulation = _quota_fleets.QuotaFleet(1, count, _LIMITS, 40.0)
            simulation.run(20.0)
            self.assert_held(simulation)

    def test_limits_are_used(self):
        for count in (1, 8):
            simulation = _quota_fleets.QuotaFleet(2, count, _LIMITS, 40.0)
            simulation.run(30.0)
            for times, limit in zip(simulation.sent, _LIMITS):
                used = sum(1 for at in times if at > 10.0) / 20.0
                self.assertGreater(used, 0.8 * limit, (count, limit))

    # Guards against: an instance that was suspended spends what others have
    # taken over meanwhile, as soon as it runs again.
    def test_suspended_instances_spend_nothing_twice(self):
        for seed in range(10):
            simulation = _quota_fleets.QuotaFleet(seed, 8, _LIMITS, 40.0)
            for at in (8.0, 15.0, 22.0):
                simulation.run(at)
                for index in simulation.rng.sample(range(8), 3):
                    simulation.pause(index, simulation.rng.uniform(1.0, 9.0))
            simulation.run(34.0)
            self.assert_held(simulation)

    # Guards against: instances that start do not know the others, and each
    # takes the whole limit for itself.
    def test_restarted_instances_spend_nothing_before_they_are_known(self):
        for seed in range(10):
            simulation = _quota_fleets.QuotaFleet(seed, 8, _LIMITS, 40.0)
            for at in range(6, 26, 2):
                simulation.run(float(at))
                for index in simulation.rng.sample(range(8), 4):
                    simulation.restart(index)
            simulation.run(30.0)
            self.assert_held(simulation)

    # Guards against: each part of a split fleet takes over the other's share.
    def test_split_fleet_keeps_limits_in_sum(self):
        for seed in range(10):
            simulation = _quota_fleets.QuotaFleet(seed, 8, _LIMITS, 40.0)
            simulation.run(8.0)
            simulation.split = True
            simulation.run(28.0)
            simulation.split = False
            simulation.run(36.0)
            self.assert_held(simulation)

    def test_changed_and_lifted_limits_reach_all_instances(self):
        for count in (8, 60):
            simulation = _quota_fleets.QuotaFleet(3, count, (8.0, 8.0), 40.0)
            simulation.run(12.0)
            self.assert_held(simulation, (8.0, 8.0))
            simulation.limits[0] = 2.0
            simulation.limits[1] = None
            simulation.run(18.0)
            changed_at = 12.0 + _CONTACT_S
            self.assert_held(simulation, (2.0, 1e3), changed_at)
            # Requests are no longer counted at the endpoint without a limit.
            lifted = [at for at in simulation.sent[1] if at > changed_at]
            self.assertGreater(len(lifted), 3 * 30)
            simulation.limits[0] = None
            simulation.run(24.0)
            lifted = [at for at in simulation.sent[0] if at > 21.0]
            self.assertGreater(len(lifted), 3 * 10)

    def test_limit_of_zero_is_asked_again(self):
        simulation = _quota_fleets.QuotaFleet(4, 8, (0.0,), 40.0)
        simulation.run(30.0)
        self.assert_held(simulation, (0.0,))
        simulation.limits[0] = None
        simulation.run(50.0)
        self.assertGreater(len(simulation.sent[0]), 200)


class HolderTest(testtools.TestCase):
    def test_all_instances_choose_alike(self):
        names = [f'entry-{number}' for number in range(60)]
        first = routing.rank_instances(names)
        second = routing.rank_instances(reversed(names))
        for number in range(20):
            run_id = f'gpu-{number}', 5
            chosen = routing.choose_holders(run_id, first, 4.3)
            self.assertEqual(
                chosen, routing.choose_holders(run_id, second, 4.3)
            )
            self.assertEqual(6, len(set(chosen)))

    def test_change_of_the_fleet_moves_few_holders(self):
        names = [f'entry-{number}' for number in range(60)]
        before = routing.rank_instances(names)
        after = routing.rank_instances(names[1:])
        moved = 0
        for number in range(200):
            run_id = f'gpu-{number}', 5
            kept = set(routing.choose_holders(run_id, before, 4.3))
            kept &= set(routing.choose_holders(run_id, after, 4.3))
            moved += 6 - len(kept)
        # Each instance holds a part of 6 of 60 endpoints on average.
        self.assertLess(moved, 2 * 200 * 6 / 60)

    def test_holders_share_is_in_proportion_to_demand(self):
        holders = ['a', 'b', 'c']
        demands = {'a': 9.0, 'b': 3.0, 'c': 0.0}
        shares = [
            routing.compute_share(name, holders, demands) for name in holders
        ]
        self.assertAlmostEqual(1.0, sum(shares))
        self.assertGreater(shares[0], 0.6)
        self.assertGreater(shares[2], 0.0)
        self.assertEqual(0.0, routing.compute_share('d', holders, demands))


class SharingPeerTest(testtools.TestCase):
    def list_sharing(self, silent, count=8):
        """Return the peers that count when some have been silent for 9 s."""
        table = digests.PeerTable()
        for number in range(1, count):
            heard_at = 1.0 if number <= silent else 10.0
            table.add_peer(f'entry-{number}', ('h', number), heard_at)
        return len(table.list_sharing_peers(10.5))

    def test_silent_minority_loses_its_part(self):
        self.assertEqual(4, self.list_sharing(silent=3))

    def test_part_of_half_or_more_is_not_taken_over(self):
        self.assertEqual(7, self.list_sharing(silent=4))
        self.assertEqual(7, self.list_sharing(silent=7))


class ExpiryTest(testtools.TestCase):
    # Guards against: an instance whose update is overdue acts on a share that
    # may have run out meanwhile.
    def test_quota_expires_without_updates(self):
        T = fleet.FleetTables(instances_known=True)
        endpoint = fleet.Endpoint(
            'e-1', 'desk', 'h:1', 'north', 8, False, '', None, 1
        )
        T.endpoints['e-1'] = endpoint
        T.notices.record(('e-1', 1), fleet.Notice(rate_limit=50.0), 0.0)
        simulation = _quota_fleets.QuotaFleet(1, 1, (), 1.0)
        for tick in range(20):
            routing.update_quotas(T, 'a', {}, {}, tick / 4, simulation.rng)
        self.assertTrue(routing.has_quota(T, endpoint, 5.0))
        self.assertFalse(routing.has_quota(T, endpoint, 8.0))
        routing.update_quotas(T, 'a', {}, {}, 8.0, simulation.rng)
        self.assertFalse(routing.spend_quota(T, endpoint, 8.1))
