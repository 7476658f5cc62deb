"""Tests of the rejection of requests beyond the limits of all endpoints.

The pattern: every endpoint of a service accepts fewer requests than it used
to, and the most urgent callers must not wait behind the others.
"""

import random

import testtools

from sniperudder import fleet
from sniperudder import routing

_RATES = {0: 6.0, 1: 6.0, 2: 6.0}
_RUN_S = 60.0
# An instance uses no limited endpoint in the first second after its start.
_START_S = 2.0


def make_tables(limits):
    """Return tables with endpoints of one service and their limits."""
    T = fleet.FleetTables(instances_known=True)
    for number, limit in enumerate(limits):
        name = f'desk-{number}'
        T.endpoints[name] = fleet.Endpoint(
            name, 'desk', f'h:{number}', 'north', 8, False, '', None, 1
        )
        T.notices.record((name, 1), fleet.Notice(rate_limit=limit), 0.0)
    return T


def serve_requests(limits, uses_ranks):
    """Return the share of each rank's requests that one instance serves.

    Parameters
    ----------
    limits : list of float
    uses_ranks : bool
        Whether ranks count when requests are rejected.
    """
    rng = random.Random(1)
    T = make_tables(limits)
    counter = routing.RankCounter()
    asked = dict.fromkeys(_RATES, 0)
    served = dict.fromkeys(_RATES, 0)
    now, updated_at = 0.0, -1.0
    while now < _RUN_S:
        now += rng.expovariate(sum(_RATES.values()))
        if now - updated_at > 0.25:
            updated_at = now
            routing.update_quotas(T, 'entry-1', {}, {}, now, rng)
        (rank,) = rng.choices(list(_RATES), list(_RATES.values()))
        counter.record_request(rank, now)
        if now < _START_S:
            continue
        asked[rank] += 1
        capacity_per_s = routing.get_limited_capacity(
            T, T.endpoints.values(), now
        )
        if uses_ranks and capacity_per_s is not None:
            shares = routing.compute_admitted_shares(
                counter.get_rates(now), capacity_per_s
            )
            if rng.random() >= shares[rank]:
                continue
        for endpoint in T.endpoints.values():
            if routing.spend_quota(T, endpoint, now):
                served[rank] += 1
                break
    return {rank: served[rank] / asked[rank] for rank in _RATES}


class RankShortageTest(testtools.TestCase):
    # Guards against: while all endpoints name a limit, urgent requests are
    # rejected as often as the least urgent ones.
    def test_most_urgent_requests_are_served_first(self):
        limits = [3.0] * 3
        by_arrival = serve_requests(limits, uses_ranks=False)
        by_rank = serve_requests(limits, uses_ranks=True)
        self.assertGreater(by_rank[0], by_arrival[0] + 0.2)
        self.assertGreater(by_rank[0], by_rank[1])
        self.assertGreater(by_rank[1], by_rank[2] - 0.05)
        # No rank starves.
        self.assertGreater(by_rank[2], 0.1)

    def test_nothing_is_rejected_while_limits_suffice(self):
        served = serve_requests([20.0] * 3, uses_ranks=True)
        self.assertGreater(min(served.values()), 0.97)

    def test_endpoint_without_limit_has_capacity_for_all(self):
        T = make_tables([1.0, None])
        capacity = routing.get_limited_capacity(T, T.endpoints.values(), 1.0)
        self.assertIsNone(capacity)

    def test_paused_endpoint_without_limit_does_not_count(self):
        T = make_tables([1.0, None])
        T.notices.record(('desk-1', 1), fleet.Notice(pause_s=9.0), 0.5)
        capacity = routing.get_limited_capacity(T, T.endpoints.values(), 1.0)
        self.assertEqual(0.0, capacity)

    def test_admitted_requests_fit_in_the_capacity(self):
        rng = random.Random(3)
        for _ in range(500):
            rates = {
                rank: rng.uniform(0.1, 9.0)
                for rank in range(rng.randint(1, 5))
            }
            capacity = rng.uniform(0.0, 40.0)
            shares = routing.compute_admitted_shares(rates, capacity)
            admitted = sum(rates[rank] * shares[rank] for rank in rates)
            self.assertLessEqual(admitted, capacity + 1e-9)
            ordered = [shares[rank] for rank in sorted(rates)]
            for urgent, other in zip(ordered, ordered[1:]):
                self.assertGreaterEqual(urgent, other - 1e-9)
