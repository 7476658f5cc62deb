"""Tests of routes, retry budgets and endpoint health."""

import random

import testtools

from sniperudder import fleet
from sniperudder import routing
from sniperudder.routing.tests import _fleets


def create_route(prefix, host='shop.example', **fields):
    """Return a route with default values for the missing fields."""
    values = {
        'name': prefix,
        'targets': (fleet.Target('desk', 1.0),),
        'repeatable': True,
        'streaming': False,
        'resumable': False,
        'public': False,
        'timeout_s': 1.0,
        'gap_target_s': 0.0,
        'rank': 1,
        'max_attempts': 2,
        **fields,
    }
    return fleet.Route(host=host, prefix=prefix, **values)


def create_configuration(*routes):
    """Return a configuration with routes of one host."""
    ordered = sorted(routes, key=lambda route: -len(route.prefix))
    return fleet.Configuration(
        version=1,
        routes={'shop.example': tuple(ordered)},
        services={},
        keys=None,
        limits=fleet.Limits(1, 1, 1.0, 1.0),
    )


class RouteTest(testtools.TestCase):
    def match(self, target, host='shop.example'):
        """Return the name of the route that a request takes."""
        configuration = create_configuration(
            create_route('/a/'), create_route('/a/b/')
        )
        route = routing.match_route(configuration, host, target)
        return route and route.name

    def test_longest_prefix_wins(self):
        self.assertEqual('/a/b/', self.match('/a/b/c'))
        self.assertEqual('/a/', self.match('/a/bc'))
        self.assertEqual('/a/', self.match('/a/?next=/a/b/'))

    def test_no_prefix_matches(self):
        self.assertIsNone(self.match('/a'))
        self.assertIsNone(self.match('/a/b', host='other.example'))

    def test_case_and_port_of_the_host_are_ignored(self):
        self.assertEqual('/a/', self.match('/a/x', 'Shop.Example:80'))

    def test_requests_are_divided_by_weight(self):
        targets = fleet.Target('old', 90.0), fleet.Target('new', 10.0)
        route = create_route('/a/', targets=targets)
        rng = random.Random(3)
        chosen = [routing.choose_service(route, rng) for _ in range(2_000)]
        self.assertTrue(130 < chosen.count('new') < 270)

    def test_rank_of_the_organisation_takes_precedence(self):
        route = create_route('/a/')
        urgent = fleet.Organisation('studio', 0)
        self.assertEqual(0, routing.get_rank(route, urgent))
        plain = fleet.Organisation('studio', None)
        self.assertEqual(1, routing.get_rank(route, plain))


class BudgetTest(testtools.TestCase):
    """All endpoints fail, and every instance retries."""

    def test_sum_over_isolated_instances_stays_in_budget(self):
        instances, ratio, slack, window_s = 12, 0.2, 200.0, 10.0
        budgets = [
            routing.RetryBudget(ratio, window_s) for _ in range(instances)
        ]
        rng = random.Random(5)
        requests, retries = [], []
        now = 0.0
        while now < 60.0:
            now += rng.expovariate(200.0)
            budget = rng.choice(budgets)
            budget.record_request(now)
            requests.append(now)
            for _ in range(2):
                if budget.spend(now, slack / instances):
                    retries.append(now)
        for end in range(10, 61):
            spent = [t for t in retries if end - window_s < t <= end]
            received = [t for t in requests if end - window_s < t <= end]
            allowed = ratio * len(received) + slack
            self.assertTrue(len(spent) <= allowed, end)

    def test_instance_without_requests_may_use_its_slack(self):
        budget = routing.RetryBudget(0.2, 10.0)
        self.assertTrue(budget.spend(0.0, 200.0 / 12))


class HealthTest(testtools.TestCase):
    def test_repeated_failures_are_avoided_for_longer(self):
        state = fleet.EndpointState()
        routing.record_failure(state, 0.0)
        self.assertTrue(routing.is_avoided(state, 0.4))
        self.assertFalse(routing.is_avoided(state, 0.6))
        routing.record_failure(state, 1.0)
        self.assertTrue(routing.is_avoided(state, 1.9))

    def test_success_ends_avoidance(self):
        state = fleet.EndpointState()
        routing.record_failure(state, 0.0)
        routing.record_success(state, 0.1)
        self.assertFalse(routing.is_avoided(state, 0.1))

    def test_refusals_of_a_full_endpoint_do_not_add_up(self):
        # A full endpoint refuses requests for a while. Avoiding it like a
        # failed one would cost its data centre a chain.
        state = fleet.EndpointState()
        for number in range(10):
            routing.record_refusal(state, float(number))
            state.progress_at = number + 0.1
        self.assertFalse(routing.is_avoided(state, 9.3))

    def test_refusals_without_progress_are_avoided_for_longer(self):
        # While the store is down, a stage that has ended remains listed.
        # Each request with a chain through it is refused at once.
        state = fleet.EndpointState()
        for number in range(8):
            routing.record_refusal(state, 0.2 * number)
        self.assertTrue(routing.is_avoided(state, 5.0))
        self.assertGreater(state.dead_until, 5.0)

    def test_fault_notice_is_ignored_after_recent_progress(self):
        state = fleet.EndpointState(progress_at=9.9)
        self.assertFalse(routing.record_fault_notice(state, 10.0, 3.0))
        self.assertTrue(routing.record_fault_notice(state, 11.0, 3.0))
        self.assertTrue(routing.is_avoided(state, 13.9))


class PlainServiceTest(testtools.TestCase):
    def choose(self, T, endpoints, **options):
        """Return the id of the chosen endpoint."""
        rng = _fleets.create_rng()
        chosen = routing.choose_endpoint(
            T, endpoints, 'north', 0.0, rng, **options
        )
        return chosen and chosen.id

    def test_idle_remote_endpoint_is_preferred_to_a_queue(self):
        near = _fleets.create_endpoint('near', 0, 1, slots=6)
        far = _fleets.create_endpoint('far', 0, 1, 'south', slots=6)
        T = _fleets.create_tables(near, far)
        self.assertEqual('near', self.choose(T, [near, far]))
        _fleets.record_peer_load(T, near, 6, 0)
        self.assertEqual('far', self.choose(T, [near, far]))

    def test_tried_endpoint_is_used_last(self):
        one = _fleets.create_endpoint('one', 0, 1)
        two = _fleets.create_endpoint('two', 0, 1, 'south')
        T = _fleets.create_tables(one, two)
        chosen = self.choose(T, [one, two], excluded={'one'})
        self.assertEqual('two', chosen)

    def test_no_endpoint_gives_none(self):
        self.assertIsNone(self.choose(_fleets.create_tables(), []))


class FlappingTest(testtools.TestCase):
    """An endpoint that many instances use goes down and up repeatedly.

    Without fault notices from others, each instance would detect this only
    by a failed request of its own.
    """

    def test_fault_notice_of_a_failure_expires_soon(self):
        state = fleet.EndpointState()
        routing.record_failure(state, 10.0)
        self.assertTrue(10.5 < state.dead_until < 12.0)
        routing.record_success(state, 10.6)
        self.assertLessEqual(state.dead_until, 10.6)
