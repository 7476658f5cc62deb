"""Tests of which requests are blocked because they crash endpoints.

The pattern: a few requests, alike as a whole or in one part of their prompts,
crash each endpoint that begins them, beside sound requests that share the
caller, the route and other parts with them.
"""

import random
import unittest.mock

import testtools

from sniperudder import digests
from sniperudder import routing
from sniperudder.routing import _crashes
from sniperudder.routing import _suspects
from sniperudder.routing.tests import _crash_fleets

# The users' bounds; see docs/incidents/2026-12-04-budget.md.
_CONTACT_S = 3.0
_COUNTED_CRASHES = 5
_MAX_FURTHER_SENDS = 3

_SEEDS = range(40)


def make_keys(*parts, body=b''):
    """Return the keys of a request with some shared parts."""
    return routing.make_crash_keys('studio', b'/a', body, parts)


def block(*keys):
    """Return what `find_block` returns for blocked keys."""
    return frozenset(keys)


class CrashKeyTest(testtools.TestCase):
    def test_equal_requests_have_the_same_key(self):
        make = routing.make_crash_keys
        self.assertEqual(make('a', b'/x', b'1'), make('a', b'/x', b'1'))
        for other in (('b', b'/x', b'1'), ('a', b'/x1', b'')):
            self.assertNotEqual(make('a', b'/x', b'1'), make(*other))

    def test_part_has_the_same_key_in_all_requests(self):
        make = routing.make_crash_keys
        shared = make('a', b'/x', b'1', ['p']) & make('b', b'/y', b'', ['p'])
        self.assertEqual({'part:p'}, shared)

    def test_long_part_has_a_short_key(self):
        (key,) = [k for k in make_keys('x' * 9_000) if k.startswith('part:')]
        self.assertLess(len(key), 40)


class CrashTableTest(testtools.TestCase):
    def test_third_crash_blocks_a_request(self):
        keys = make_keys(body=b'bad')
        self.assertIsNone(
            _crash_fleets.make_table(keys, keys).find_block(keys)
        )
        table = _crash_fleets.make_table(keys, keys, keys)
        self.assertEqual(keys, table.find_block(keys))
        self.assertIsNone(table.find_block(make_keys(body=b'good')))

    # Guards against: a part that crashed engine after engine was sent on, as
    # no two of its requests were alike.
    def test_third_crash_by_a_part_blocks_requests_that_differ(self):
        crashes = [make_keys('bad', body=b'%d' % n) for n in range(3)]
        table = _crash_fleets.make_table(*crashes)
        self.assertEqual(
            block('part:bad'), table.find_block(make_keys('bad', body=b'new'))
        )
        self.assertIsNone(table.find_block(make_keys('good')))

    def test_request_is_not_blocked_by_one_crash(self):
        table = _crash_fleets.make_table(make_keys('a'))
        table.record_interruption(make_keys('b'), [('gpu-0', 1)], 0.0)
        self.assertIsNone(table.find_block(make_keys('a')))
        self.assertIsNone(table.find_block(make_keys('b')))

    def test_interruption_without_a_crash_does_not_count(self):
        table = routing.CrashTable()
        keys = make_keys('good')
        for number in range(5):
            run_id = f'gpu-{number}', 1
            table.record_interruption(keys, [run_id], 10.0 * number)
            table.record_run_end(run_id, 10.0 * number + 60.0)
        self.assertIsNone(table.find_block(keys))

    def test_request_that_runs_on_clears_its_parts(self):
        bad = [make_keys('route', 'bad', body=b'%d' % n) for n in range(3)]
        table = _crash_fleets.make_table(*bad)
        table.record_survival(make_keys('route'), 5.0)
        self.assertEqual(block('part:bad'), table.find_block(bad[0]))
        self.assertIsNone(table.find_block(make_keys('route')))
        table.record_survival(bad[0], 6.0)
        self.assertIsNone(table.find_block(bad[0]))

    def test_crash_after_a_sound_run_counts(self):
        table = routing.CrashTable()
        table.record_survival(make_keys('bad'), 0.5)
        for number in range(_COUNTED_CRASHES):
            self.assertIsNone(table.find_block(make_keys('bad')))
            run_id = f'gpu-{number}', 1
            keys = make_keys('bad', body=b'%d' % number)
            table.record_interruption(keys, [run_id], 1.0 + number)
            table.record_run_end(run_id, 1.0 + number)
        self.assertIsNotNone(table.find_block(make_keys('bad')))

    # Guards against: a request whose chain lost three stages at once was
    # blocked for ten minutes, as each stage was counted against it.
    def test_chain_that_loses_several_stages_counts_once(self):
        table = routing.CrashTable()
        keys = make_keys('a')
        run_ids = [(f'gpu-{number}', 1) for number in range(5)]
        table.record_interruption(keys, run_ids, 0.0)
        for number, run_id in enumerate(run_ids):
            table.record_run_end(run_id, 2.0 + number / 2)
        self.assertIsNone(table.find_block(keys))
        self.assertEqual(1, len(table.list_crashes(keys)))

    def test_interruption_by_a_known_crash_leaves_other_requests_pending(self):
        table = _crash_fleets.make_table(make_keys('a'))
        waiting = make_keys('b')
        table.record_interruption(waiting, [('gpu-9', 1)], 0.01)
        chain = [('gpu-0', 1), ('gpu-9', 1)]
        table.record_interruption(make_keys('c'), chain, 0.02)
        ended = table.record_run_end(('gpu-9', 1), 0.03)
        self.assertEqual(waiting, ended.keys())

    def test_further_interruptions_count_for_a_known_crash(self):
        table = _crash_fleets.make_table(make_keys('a'))
        table.record_interruption(make_keys('b'), [('gpu-0', 1)], 0.01)
        (crash,) = table.make_report(0.1).crashes.values()
        self.assertIn('part:b', crash.suspects)

    def test_blocks_end_long_after_the_last_crash(self):
        bad = [make_keys('bad', body=b'%d' % n) for n in range(3)]
        table = _crash_fleets.make_table(*bad)
        table.update(3.0)
        added, _ = table.update(5.0)
        self.assertEqual([block('part:bad')], added)
        self.assertEqual(([], []), table.update(500.0))
        self.assertAlmostEqual(
            102.0, table.get_retry_after_s(block('part:bad'), 500.0)
        )
        _, ended = table.update(700.0)
        self.assertEqual([block('part:bad')], ended)
        self.assertIsNone(table.find_block(bad[0]))
        self.assertEqual(0, table.count_suspects())

    def test_memory_is_bounded_and_keeps_evidence(self):
        # One caller sends requests with endless new parts, all interrupted.
        bad = make_keys('bad')
        table = _crash_fleets.make_table(bad, bad)
        for number in range(400):
            parts = [f'{number}-{part}' for part in range(300)]
            run_id = f'gpu-flood-{number % 150}', number
            table.record_interruption(make_keys(*parts), [run_id], 3.0)
            table.record_run_end(run_id, 3.0)
        self.assertLessEqual(table.count_suspects(), 10_000)
        report = digests.encode_digest(
            digests.Digest(
                'a', 1, 1, {}, (), crash_report=table.make_report(3.0)
            )
        )
        self.assertLess(len(report), 10_000)


class WithdrawnCrashTest(testtools.TestCase):
    """A run that was taken for crashed runs on."""

    def make_table(self, crashes):
        """Return a table with a block after crashes by one part."""
        keys = [make_keys('bad', body=b'%d' % n) for n in range(crashes)]
        table = _crash_fleets.make_table(*keys)
        table.update(20.0)
        added, _ = table.update(22.0)
        self.assertEqual([block('part:bad')], added)
        return table

    def test_block_is_lifted_if_too_few_crashes_are_left(self):
        table = self.make_table(crashes=3)
        lifted = table.record_run_alive(('gpu-1', 1), 23.0)
        self.assertEqual([block('part:bad')], lifted)
        self.assertIsNone(table.find_block(make_keys('bad')))
        self.assertEqual(([], []), table.update(30.0))

    def test_block_stays_if_the_other_crashes_suffice(self):
        table = self.make_table(crashes=4)
        self.assertEqual([], table.record_run_alive(('gpu-1', 1), 23.0))
        self.assertIsNotNone(table.find_block(make_keys('bad')))
        self.assertEqual(
            [block('part:bad')], table.record_run_alive(('gpu-2', 1), 24.0)
        )

    def test_block_stays_if_another_run_is_alive(self):
        table = self.make_table(crashes=3)
        self.assertEqual([], table.record_run_alive(('gpu-1', 2), 23.0))
        self.assertIsNotNone(table.find_block(make_keys('bad')))

    def test_late_report_of_another_instance_does_not_count(self):
        table = _crash_fleets.make_table(
            *(make_keys('bad', body=b'%d' % n) for n in range(3))
        )
        late = table.make_report(3.0)
        table.record_run_alive(('gpu-1', 1), 3.0)
        table.apply_report(late, 3.2)
        self.assertIsNone(table.find_block(make_keys('bad')))

    def test_others_that_were_told_of_the_block_lift_it(self):
        table, other = self.make_table(crashes=3), routing.CrashTable()
        other.apply_report(table.make_report(22.0), 22.0)
        self.assertIsNotNone(other.find_block(make_keys('bad')))
        late = other.make_report(23.0)
        table.record_run_alive(('gpu-1', 1), 23.0)
        table.apply_report(late, 23.1)
        self.assertIsNone(table.find_block(make_keys('bad')))
        other.apply_report(table.make_report(23.2), 23.2)
        self.assertIsNone(other.find_block(make_keys('bad')))

    def test_next_crash_of_that_run_counts(self):
        table = self.make_table(crashes=3)
        table.record_run_alive(('gpu-1', 1), 23.0)
        for number in range(3):
            run_id = f'gpu-{number}', 1 + (number != 1)
            keys = make_keys('bad', body=b'new%d' % number)
            table.record_interruption(keys, [run_id], 24.0 + number)
            table.record_run_end(run_id, 24.5 + number)
        self.assertIsNotNone(table.find_block(make_keys('bad')))


class AttributionTest(testtools.TestCase):
    def test_part_that_all_requests_share_is_not_blocked(self):
        # Each crash interrupts sound requests of the route as well, and none
        # of them survives in between.
        table = routing.CrashTable()
        for number in range(6):
            run_id = f'gpu-{number}', 1
            for part in ('bad', f'subject-{number % 4}', f's-{number}'):
                keys = make_keys('route', part, body=b'%d' % number)
                table.record_interruption(keys, [run_id], float(number))
            table.record_run_end(run_id, float(number))
        self.assertEqual(
            block('part:bad'), table.find_block(make_keys('route', 'bad'))
        )
        for part in ('subject-1', 's-3', 'new'):
            self.assertIsNone(table.find_block(make_keys('route', part)))

    def test_parts_that_only_occur_together_are_blocked_together(self):
        bad = [make_keys('route', 'bad', body=b'%d' % n) for n in range(3)]
        table = _crash_fleets.make_table(*bad)
        self.assertIsNotNone(table.find_block(bad[0]))
        # It is not known which one it is, and a sound request will tell.
        self.assertIsNone(table.find_block(make_keys('route')))

    def test_rack_that_fails_does_not_block_what_its_requests_share(self):
        table = routing.CrashTable()
        for number in range(8):
            run_id = f'gpu-{number}', 1
            keys = make_keys('route', f's-{number}', body=b'%d' % number)
            at = 5.0 + number / 100
            table.record_interruption(keys, [run_id], at)
            table.record_run_end(run_id, at)
        self.assertIsNone(table.find_block(make_keys('route')))

    def test_repeated_request_does_not_block_its_parts(self):
        # Its parts are in sound requests that ran before.
        table = routing.CrashTable()
        table.record_survival(make_keys('route'), 0.0)
        bad = make_keys('route', body=b'bad')
        for number in range(3):
            run_id = f'gpu-{number}', 1
            table.record_interruption(bad, [run_id], 1.0 + number)
            table.record_run_end(run_id, 1.0 + number)
        self.assertIsNotNone(table.find_block(bad))
        self.assertIsNone(table.find_block(make_keys('route', body=b'x')))


class CrashReportTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.bad = [make_keys('bad', body=b'%d' % n) for n in range(3)]

    def test_instance_that_saw_no_crash_blocks_as_well(self):
        tables = [routing.CrashTable() for _ in range(3)]
        for number, keys in enumerate(self.bad):
            run_id = f'gpu-{number}', 1
            tables[number].record_interruption(keys, [run_id], float(number))
            tables[number].record_run_end(run_id, float(number))
        other = routing.CrashTable()
        for table in tables:
            other.apply_report(table.make_report(3.0), 3.0)
        self.assertEqual(block('part:bad'), other.find_block(self.bad[0]))

    # Guards against: what an instance had counted was forgotten by all others
    # as soon as it had started again.
    def test_crashes_outlive_the_instance_that_saw_them(self):
        witness = _crash_fleets.make_table(*self.bad)
        other = routing.CrashTable()
        other.apply_report(witness.make_report(3.0), 3.0)
        restarted = routing.CrashTable()
        other.apply_report(restarted.make_report(3.2), 3.2)
        self.assertIsNotNone(other.find_block(self.bad[0]))
        restarted.apply_report(other.make_report(3.4), 3.4)
        self.assertIsNotNone(restarted.find_block(self.bad[0]))

    def test_confirmed_block_is_told_long_after_the_crashes(self):
        witness = _crash_fleets.make_table(*self.bad)
        witness.update(3.0)
        witness.update(5.0)
        other = routing.CrashTable()
        added, _ = other.apply_report(witness.make_report(100.0), 100.0)
        self.assertEqual([block('part:bad')], added)
        self.assertIsNotNone(other.find_block(self.bad[0]))

    def test_repeated_and_reordered_reports_change_nothing(self):
        witness = _crash_fleets.make_table(*self.bad[:2])
        early, late = witness.make_report(2.0), witness.make_report(3.0)
        other = routing.CrashTable()
        for report in (late, early, late, early):
            other.apply_report(report, 3.0)
        self.assertIsNone(other.find_block(self.bad[0]))

    def test_sound_run_elsewhere_clears_a_suspect_here(self):
        witness = _crash_fleets.make_table(*self.bad)
        witness.update(3.0)
        witness.update(5.0)
        # The sound run is over when the other instance hears of the crashes.
        other = routing.CrashTable()
        other.record_survival(make_keys('bad', body=b'x'), 5.5)
        added, _ = other.apply_report(witness.make_report(5.6), 5.6)
        self.assertEqual([], added)
        _, lifted = witness.apply_report(other.make_report(5.7), 5.7)
        self.assertEqual([block('part:bad')], lifted)
        self.assertIsNone(witness.find_block(self.bad[0]))
        # An old report doesn't restore it.
        third = _crash_fleets.make_table(*self.bad)
        witness.apply_report(third.make_report(5.8), 5.8)
        self.assertIsNone(witness.find_block(self.bad[0]))

    def test_report_survives_encoding_and_sums(self):
        witness = _crash_fleets.make_table(*self.bad)
        witness.update(3.0)
        witness.update(5.0)
        parts = [
            digests.Digest(
                f'entry-{n}', 1, 1, {}, (), crash_report=table.make_report(5.0)
            )
            for n, table in enumerate((witness, routing.CrashTable()))
        ]
        total = digests.add_digests(parts[1], parts, [0.5, 0.0])
        decoded = digests.decode_digest(digests.encode_digest(total))
        other = routing.CrashTable()
        other.apply_report(decoded.crash_report, 5.5)
        self.assertIsNotNone(other.find_block(self.bad[0]))


class RandomCrashTest(testtools.TestCase):
    """Interleavings of crashes, sound runs, digests and restarts."""

    def run_seed(self, seed, crashing_per_s=6.0):
        """Simulate a fleet; return it after a minute."""
        rng = random.Random(seed)
        fleet = _crash_fleets.CrashFleet(rng)
        fleet.lost_digests = rng.choice((0.0, 0.1, 0.4))

        def make_sound(number):
            subject = f'subject-{rng.randrange(12)}'
            return make_keys('route', subject, body=b'%d' % number)

        def make_crashing(number):
            return make_keys(
                'route',
                *rng.choice(((), (f'subject-{rng.randrange(12)}',))),
                'bad',
                body=b'%d' % number,
            )

        start = rng.uniform(0.0, 10.0)
        fleet.add_load(rng.choice((4.0, 20.0)), make_sound, False, 0.0, 50.0)
        if crashing_per_s:
            per_s = rng.uniform(1.0, crashing_per_s)
            fleet.add_load(per_s, make_crashing, True, start, 50.0)
        for _ in range(4):
            instance = rng.randrange(len(fleet.tables))
            fleet.restart_instance(rng.uniform(0.0, 45.0), instance)
            rack = rng.sample(range(5), 3)
            fleet.crash_rack(rng.uniform(0.0, 50.0), rack)
            fleet.reset_connections(rng.uniform(0.0, 50.0), rng.randrange(5))
        fleet.run(50.0)
        return fleet

    def count_further_sends(self, fleet):
        """Count sends after the fifth crash and the time of contact."""
        if not fleet.crashes:
            return 0
        bound = fleet.crashes[:_COUNTED_CRASHES][-1] + _CONTACT_S
        return sum(
            crashing
            and at > bound
            and at - fleet.started_at[instance] > _CONTACT_S
            for at, instance, crashing in fleet.sends
        )

    def get_begun_share(self, fleet):
        """Return the share of sound requests that begin, while it goes on."""
        bound = fleet.crashes[:_COUNTED_CRASHES][-1] + 2 * _CONTACT_S
        begun = [sent for at, sent in fleet.first_attempts if at > bound]
        return sum(begun) / len(begun) if len(begun) >= 20 else 1.0

    def test_crashing_part_is_stopped(self):
        for seed in _SEEDS:
            further = self.count_further_sends(self.run_seed(seed))
            self.assertLessEqual(further, _MAX_FURTHER_SENDS, f'seed {seed}')

    def test_sound_requests_begin_meanwhile(self):
        for seed in _SEEDS:
            share = self.get_begun_share(self.run_seed(seed))
            self.assertGreaterEqual(share, 0.5, f'seed {seed}')

    def test_nothing_is_blocked_without_a_cause(self):
        for seed in _SEEDS:
            fleet = self.run_seed(seed, crashing_per_s=0.0)
            self.assertEqual(set(), fleet.blocks, f'seed {seed}')

    def test_only_the_cause_is_blocked(self):
        for seed in _SEEDS:
            fleet = self.run_seed(seed)
            others = [b for b in fleet.blocks if 'part:bad' not in b]
            self.assertEqual([], others, f'seed {seed}')

    def test_mutant_that_counts_whole_requests_is_caught(self):
        with (
            unittest.mock.patch.object(
                _crashes, '_PART_PREFIX', 'request:part-'
            ),
            unittest.mock.patch.object(_suspects, 'MIN_CRASHES', 10**6),
        ):
            further = self.count_further_sends(self.run_seed(1))
        self.assertGreater(further, _MAX_FURTHER_SENDS)

    def test_mutant_that_blames_all_suspects_is_caught(self):
        with (
            unittest.mock.patch.object(_suspects, '_score', lambda *_: 1.0),
            unittest.mock.patch.object(
                _crashes.CrashTable, 'record_survival', lambda *_: []
            ),
        ):
            blocked = any(
                'part:bad' not in keys
                for seed in _SEEDS
                for keys in self.run_seed(seed).blocks
            )
        self.assertTrue(blocked)
