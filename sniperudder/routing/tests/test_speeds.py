"""Tests of the detection of slow endpoints."""

import random

import testtools

from sniperudder import fleet
from sniperudder import routing
from sniperudder.routing.tests import _fleets

_REQUEST_SIZE = routing.RequestSize(760.0, 200.0)


class SlowEndpointTest(testtools.TestCase):
    """A few endpoints of a kind run at a fraction of its speed."""

    def record_streams(self, slowness, seconds=4.0, noise=0.15, seed=1):
        """Record samples of streams over random chains.

        Parameters
        ----------
        slowness : dict of str to float
            Time per step relative to other endpoints, by id; 1 if missing.

        Returns
        -------
        T : sniperudder.fleet.FleetTables
        endpoints : list of sniperudder.fleet.Endpoint
        now : float
            Time of the last sample, seconds.
        """
        rng = random.Random(seed)
        endpoints = [
            _fleets.create_endpoint(f'{start}-{copy}', start, start + 20)
            for start in (0, 20, 40, 60)
            for copy in range(4)
        ]
        T = _fleets.create_tables(*endpoints)
        now = 0.0
        while now < seconds:
            now += 1 / 25
            stages = [
                rng.choice([e for e in endpoints if e.layers.start == start])
                for start in (0, 20, 40, 60)
            ]
            ratio = sum(slowness.get(e.id, 1.0) for e in stages) / 4
            shares = {(e.id, e.born_ms): 0.25 for e in stages}
            ratio *= 1.0 + noise * (2 * rng.random() - 1)
            T.speeds.record(shares, 2.0 * ratio, now)
        return T, endpoints, now

    def list_slow(self, T, endpoints, now):
        """Return the ids of the endpoints that are found to be slow."""
        return {
            e.id
            for e in endpoints
            if T.speeds.get_slowness((e.id, e.born_ms), now) > 1.0
        }

    def test_only_slow_endpoints_are_detected(self):
        for seed in range(20):
            slow = {'0-1': 5.0, '40-2': 4.0}
            T, endpoints, now = self.record_streams(slow, seed=seed)
            found = self.list_slow(T, endpoints, now)
            self.assertEqual({'0-1', '40-2'}, found, seed)

    def test_noise_and_uniform_load_are_not_slowness(self):
        for seed in range(20):
            T, endpoints, now = self.record_streams({}, seed=seed)
            self.assertEqual(set(), self.list_slow(T, endpoints, now))
            T, endpoints, now = self.record_streams(
                {f'{s}-{c}': 3.0 for s in (0, 20, 40, 60) for c in range(4)},
                seed=seed,
            )
            self.assertEqual(set(), self.list_slow(T, endpoints, now))

    def test_new_requests_avoid_slow_endpoints(self):
        T, endpoints, now = self.record_streams({'0-1': 5.0, '40-2': 4.0})
        rng = random.Random(2)
        for _ in range(20):
            chain = routing.choose_chain(
                T, endpoints, _fleets.ENGINE, _REQUEST_SIZE, 'north', now, rng
            )
            used = {stage.endpoint.id for stage in chain}
            self.assertEqual(set(), used & {'0-1', '40-2'})

    def test_slowness_expires_without_new_samples(self):
        T, endpoints, now = self.record_streams({'0-1': 5.0})
        self.assertEqual({'0-1'}, self.list_slow(T, endpoints, now + 5.0))
        self.assertEqual(set(), self.list_slow(T, endpoints, now + 7.0))

    def test_samples_of_ended_runs_are_dropped(self):
        T, endpoints, now = self.record_streams({'0-1': 5.0})
        T.endpoints.clear()
        fleet.drop_ended_states(T)
        self.assertEqual(set(), self.list_slow(T, endpoints, now))
