"""Tests of routes, budgets, health and plain endpoints."""

import random

import testtools

from sniperudder import fleet
from sniperudder import routing
from sniperudder.routing.tests import _fleets


def create_route(prefix, host='shop.example', **fields):
    """Return a route."""
    values = {
        'name': prefix,
        'targets': (fleet.Target('desk', 1.0),),
        'repeatable': True,
        'streaming': False,
        'resumable': False,
        'public': False,
        'timeout_s': 1.0,
        'pause_goal_s': 0.0,
        'rank': 1,
        'max_attempts': 2,
        **fields,
    }
    return fleet.Route(host=host, prefix=prefix, **values)


def create_configuration(*routes):
    """Return a configuration of one host."""
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

    def test_case_and_port_of_the_host_do_not_count(self):
        self.assertEqual('/a/', self.match('/a/x', 'Shop.Example:80'))

    def test_weights_share_requests(self):
        targets = fleet.Target('old', 90.0), fleet.Target('new', 10.0)
        route = create_route('/a/', targets=targets)
        rng = random.Random(3)
        drawn = [routing.draw_service(route, rng) for _ in range(2_000)]
        self.assertTrue(130 < drawn.count('new') < 270)

    def test_rank_of_the_organisation_goes_first(self):
        route = create_route('/a/')
        urgent = fleet.Organisation('studio', 0)
        self.assertEqual(0, routing.get_rank(route, urgent))
        plain = fleet.Organisation('studio', None)
        self.assertEqual(1, routing.get_rank(route, plain))


class BudgetTest(testtools.TestCase):
    """Pattern: all endpoints fail, and every instance sends again."""

    def test_instances_apart_keep_the_sum(self):
        instances, ratio, slack, window_s = 12, 0.2, 200.0, 10.0
        budgets = [
            routing.RepeatBudget(ratio, window_s) for _ in range(instances)
        ]
        rng = random.Random(5)
        requests, repeats = [], []
        now = 0.0
        while now < 60.0:
            now += rng.expovariate(200.0)
            budget = rng.choice(budgets)
            budget.record_request(now)
            requests.append(now)
            for _ in range(2):
                if budget.spend(now, slack / instances):
                    repeats.append(now)
        for end in range(10, 61):
            within = [t for t in repeats if end - window_s < t <= end]
            asked = [t for t in requests if end - window_s < t <= end]
            allowed = ratio * len(asked) + slack
            self.assertTrue(len(within) <= allowed, end)

    def test_quiet_instance_may_repeat(self):
        budget = routing.RepeatBudget(0.2, 10.0)
        self.assertTrue(budget.spend(0.0, 200.0 / 12))


class HealthTest(testtools.TestCase):
    def test_each_failure_sets_aside_for_longer(self):
        state = fleet.EndpointState()
        routing.record_failure(state, 0.0)
        self.assertTrue(routing.is_avoided(state, 0.4))
        self.assertFalse(routing.is_avoided(state, 0.6))
        routing.record_failure(state, 1.0)
        self.assertTrue(routing.is_avoided(state, 1.9))

    def test_success_clears(self):
        state = fleet.EndpointState()
        routing.record_failure(state, 0.0)
        routing.record_success(state, 0.1)
        self.assertFalse(routing.is_avoided(state, 0.1))

    def test_refusal_for_want_of_room_does_not_add_up(self):
        # Pattern: a full endpoint refuses for a while; setting it aside
        # as if it had failed takes a chain from its data centre.
        state = fleet.EndpointState()
        for number in range(10):
            routing.record_refusal(state, float(number))
            state.progress_at = number + 0.1
        self.assertFalse(routing.is_avoided(state, 9.3))

    def test_refusals_without_progress_set_aside_for_longer(self):
        # Pattern: the store is down, and a stage that is gone is still
        # listed; each request that passes it is refused at once.
        state = fleet.EndpointState()
        for number in range(8):
            routing.record_refusal(state, 0.2 * number)
        self.assertTrue(routing.is_avoided(state, 5.0))
        self.assertGreater(state.dead_until, 5.0)

    def test_word_of_a_dead_stage_is_checked(self):
        state = fleet.EndpointState(progress_at=9.9)
        self.assertFalse(routing.record_told(state, 10.0, 3.0))
        self.assertTrue(routing.record_told(state, 11.0, 3.0))
        self.assertTrue(routing.is_avoided(state, 13.9))


class PlainTest(testtools.TestCase):
    def choose(self, T, endpoints, **options):
        """Return the id of the chosen endpoint."""
        rng = _fleets.create_random()
        chosen = routing.choose_endpoint(
            T, endpoints, 'north', 0.0, rng, **options
        )
        return chosen and chosen.id

    def test_idle_endpoint_elsewhere_beats_a_queue(self):
        near = _fleets.create_endpoint('near', 0, 1, slots=6)
        far = _fleets.create_endpoint('far', 0, 1, 'south', slots=6)
        T = _fleets.create_tables(near, far)
        self.assertEqual('near', self.choose(T, [near, far]))
        _fleets.load_endpoint(T, near, 6, 0)
        self.assertEqual('far', self.choose(T, [near, far]))

    def test_tried_endpoint_is_the_last_choice(self):
        one = _fleets.create_endpoint('one', 0, 1)
        two = _fleets.create_endpoint('two', 0, 1, 'south')
        T = _fleets.create_tables(one, two)
        chosen = self.choose(T, [one, two], excluded={'one'})
        self.assertEqual('two', chosen)

    def test_no_endpoint(self):
        self.assertIsNone(self.choose(_fleets.create_tables(), []))


class FlappingTest(testtools.TestCase):
    """Pattern: an endpoint goes down and up by turns before many instances.

    Each instance would learn of it by a failed request of its own.
    """

    def test_failure_is_told_for_a_moment(self):
        state = fleet.EndpointState()
        routing.record_failure(state, 10.0)
        self.assertTrue(10.5 < state.dead_until < 12.0)
        routing.record_success(state, 10.6)
        self.assertLessEqual(state.dead_until, 10.6)


class CrashTest(testtools.TestCase):
    """Pattern: one request crashes each endpoint that runs it."""

    def setUp(self):
        super().setUp()
        self.table = routing.CrashTable()

    def crash(self, fingerprint, count):
        """Have a request crash some endpoints."""
        for number in range(count):
            run = f'gpu-{number}', 1
            self.table.record_broken(fingerprint, run, 0.0)
            self.table.record_end(run, 1.0)

    def test_third_crash_condemns(self):
        self.crash('bad', 2)
        self.assertFalse(self.table.is_condemned('bad'))
        self.crash('bad', 1)
        self.assertTrue(self.table.is_condemned('bad'))

    def test_request_beside_one_crash_goes_on(self):
        self.table.record_broken('good', ('gpu-1', 1), 0.0)
        self.table.record_broken('bad', ('gpu-1', 1), 0.0)
        self.table.record_end(('gpu-1', 1), 1.0)
        self.assertFalse(self.table.is_condemned('good'))

    def test_broken_request_without_a_crash_does_not_count(self):
        for number in range(5):
            self.table.record_broken('good', (f'gpu-{number}', 1), 0.0)
            self.table.record_end((f'gpu-{number}', 1), 60.0)
        self.assertFalse(self.table.is_condemned('good'))

    def test_counts_of_peers_condemn(self):
        self.table.record_heard('entry-2', {'bad': 3})
        self.assertTrue(self.table.is_condemned('bad'))
        self.table.record_heard('entry-2', {})
        self.assertFalse(self.table.is_condemned('bad'))

    def test_fingerprint_tells_requests_apart(self):
        make = routing.make_fingerprint
        self.assertEqual(make('a', b'/x', b'1'), make('a', b'/x', b'1'))
        self.assertNotEqual(make('a', b'/x', b'1'), make('b', b'/x', b'1'))
        self.assertNotEqual(make('a', b'/x1', b''), make('a', b'/x', b'1'))
