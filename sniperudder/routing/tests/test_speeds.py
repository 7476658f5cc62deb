"""Tests of telling slow engines from the streams through them."""

import random

import testtools

from sniperudder import fleet
from sniperudder import routing
from sniperudder.routing.tests import _fleets

_DEMAND = routing.Demand(760.0, 200.0)


class SlowEngineTest(testtools.TestCase):
    """Pattern: a few engines of a kind run at a fraction of its speed."""

    def play(self, slowness, seconds=4.0, noise=0.15, seed=1):
        """Play streams over random chains; return the tables.

        Parameters
        ----------
        slowness : dict of str to float
            Of the engines that are slow.
        """
        rng = random.Random(seed)
        engines = [
            _fleets.create_endpoint(f'{start}-{copy}', start, start + 20)
            for start in (0, 20, 40, 60)
            for copy in range(4)
        ]
        T = _fleets.create_tables(*engines)
        now = 0.0
        while now < seconds:
            now += 1 / 25
            stages = [
                rng.choice([e for e in engines if e.layers.start == start])
                for start in (0, 20, 40, 60)
            ]
            ratio = sum(slowness.get(e.id, 1.0) for e in stages) / 4
            shares = {(e.id, e.born_ms): 0.25 for e in stages}
            ratio *= 1.0 + noise * (2 * rng.random() - 1)
            T.speeds.record(shares, 2.0 * ratio, now)
        return T, engines, now

    def list_slow(self, T, engines, now):
        """Return the ids of the engines that are known to be slow."""
        return {
            e.id
            for e in engines
            if T.speeds.get_slowness((e.id, e.born_ms), now) > 1.0
        }

    def test_slow_engines_are_told_and_no_others(self):
        for seed in range(20):
            slow = {'0-1': 5.0, '40-2': 4.0}
            T, engines, now = self.play(slow, seed=seed)
            found = self.list_slow(T, engines, now)
            self.assertEqual({'0-1', '40-2'}, found, seed)

    def test_noise_and_load_make_nobody_slow(self):
        for seed in range(20):
            T, engines, now = self.play({}, seed=seed)
            self.assertEqual(set(), self.list_slow(T, engines, now))
            T, engines, now = self.play(
                {f'{s}-{c}': 3.0 for s in (0, 20, 40, 60) for c in range(4)},
                seed=seed,
            )
            self.assertEqual(set(), self.list_slow(T, engines, now))

    def test_new_requests_pass_slow_engines_by(self):
        T, engines, now = self.play({'0-1': 5.0, '40-2': 4.0})
        rng = random.Random(2)
        for _ in range(20):
            chain = routing.choose_chain(
                T, engines, _fleets.ENGINE, _DEMAND, 'north', now, rng
            )
            used = {part.endpoint.id for part in chain}
            self.assertEqual(set(), used & {'0-1', '40-2'})

    def test_engine_is_tried_again_later(self):
        T, engines, now = self.play({'0-1': 5.0})
        self.assertEqual({'0-1'}, self.list_slow(T, engines, now + 5.0))
        self.assertEqual(set(), self.list_slow(T, engines, now + 7.0))

    def test_runs_that_ended_are_forgotten(self):
        T, engines, now = self.play({'0-1': 5.0})
        T.endpoints.clear()
        fleet.forget_states(T)
        self.assertEqual(set(), self.list_slow(T, engines, now))
