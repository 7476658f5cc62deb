"""Tests of the detection of slow endpoints."""

import random

import testtools

from sniperudder import digests
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


class SharedSpeedTest(testtools.TestCase):
    """Many instances pass on a few streams each over many endpoints.

    A stream is sampled each 0.4 s, and an instance has about eight.
    """

    _ENDPOINTS = {
        f'{start}-{copy}': start
        for start in range(0, 80, 20)
        for copy in range(20)
    }
    _SECONDS = 2.0
    _SAMPLES_PER_S = 20

    def record(self, instances, slow, seed, share=True):
        """Record samples of all instances; return what each finds slow.

        Parameters
        ----------
        instances : int
        slow : dict of str to float
            Slowness by id.
        share : bool
            Whether the instances exchange digests.
        """
        rng = random.Random(seed)
        tables = [fleet.SpeedTable() for _ in range(instances)]
        steps = int(self._SECONDS * self._SAMPLES_PER_S)
        for step in range(steps):
            now = step / self._SAMPLES_PER_S
            for table in tables:
                chain = [
                    f'{start}-{rng.randrange(20)}' for start in (0, 20, 40, 60)
                ]
                ratio = sum(slow.get(name, 1.0) for name in chain) / 4
                ratio *= rng.uniform(0.85, 1.15)
                table.record({(name, 1): 0.25 for name in chain}, ratio, now)
        if share:
            told = [
                digests.Digest(f'entry-{n}', 1, 1, {}, (), speeds=speeds)
                for n, speeds in enumerate(t.list_speeds(now) for t in tables)
            ]
            total = digests.add_digests(told[0], told, [0.0] * instances)
            total = digests.decode_digest(digests.encode_digest(total))
            for table in tables:
                table.set_told(total.speeds, now)
        return [
            {
                name
                for name in self._ENDPOINTS
                if table.get_slowness((name, 1), now) > 1.0
            }
            for table in tables
        ]

    # Guards against: instances with few streams each called sound endpoints
    # slow, and did not recognise slow ones.
    def test_all_instances_find_just_the_slow_endpoints(self):
        slow = {'0-1': 5.0, '20-7': 5.0, '40-2': 5.0}
        for instances in (9, 83, 390):
            for found in self.record(instances, slow, seed=instances):
                self.assertEqual(set(slow), found)

    def test_single_instances_cannot_tell(self):
        slow = {'0-1': 5.0, '20-7': 5.0, '40-2': 5.0}
        found = self.record(83, slow, seed=1, share=False)
        self.assertLess(found.count(set(slow)), 83 / 4)

    # Guards against: samples from before an engine became slow hide for
    # seconds that it is.
    def test_new_slowness_is_found_within_a_second(self):
        table = fleet.SpeedTable()
        now = 0.0
        while now < 4.0:
            now += 0.05
            for name in ('a', 'b', 'c'):
                is_slow = name == 'a' and now > 3.0
                table.record({(name, 1): 1.0}, 5.0 if is_slow else 1.0, now)
            table.set_told({('a', 1): digests.Speed(9, 5.0, 0.0)}, now)
        self.assertEqual(5.0, table.get_slowness(('a', 1), now))

    # Guards against: what others told once holds although newer streams of
    # this instance show the contrary.
    def test_newer_samples_replace_what_was_told(self):
        table = fleet.SpeedTable()
        table.set_told({('a', 1): digests.Speed(5, 4.0, 0.0)}, 0.0)
        self.assertEqual(4.0, table.get_slowness(('a', 1), 1.0))
        for step in range(12):
            table.record({('a', 1): 1.0}, 1.0, 3.0 + step / 10)
        self.assertEqual(1.0, table.get_slowness(('a', 1), 4.2))
