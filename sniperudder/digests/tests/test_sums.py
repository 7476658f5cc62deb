"""Tests of sums of digests.

The pattern: a fleet so large that digests from each to all would be most of
what an instance does.
"""

import random

import testtools
from thrift.protocol import TCompactProtocol
from thrift import TSerialization

from sniperudder import digests
from sniperudder.digests.gen.wire import ttypes
from sniperudder import revisions

# Largest payload of a datagram.
_DATAGRAM_BYTES = 65_507


def make_digest(name, rng, endpoints=5, **changes):
    """Return a digest with random loads."""
    loads = {
        f'gpu-{rng.randrange(endpoints)}': digests.Load(
            rng.randint(1, 9), float(rng.randint(100, 900))
        )
        for _ in range(rng.randint(0, endpoints))
    }
    values = {
        'events': rng.randrange(100),
        'slow_events': rng.randrange(10),
        'crossings': {('como', 'milano'): float(rng.randrange(1_000))},
        'data_centre': 'milano',
        **changes,
    }
    return digests.Digest(name, 1, 1, loads, (), **values)


def make_crash_report(rng):
    """Return a report that is larger than instances send."""
    keys = [f'request:{rng.randrange(1 << 64):016x}' for _ in range(400)]
    return digests.CrashReport(
        {
            (f'i-{rng.randrange(1 << 40):010x}', 1_785_381_178_541): (
                digests.Crash(1.0, dict.fromkeys(keys[n : n + 100], 1))
            )
            for n in range(40)
        },
        dict.fromkeys(keys, 1.0),
        {frozenset((key,)): 1.0 for key in keys},
    )


class DigestSumTest(testtools.TestCase):
    def test_sum_without_own_part_is_the_sum_of_the_others(self):
        for seed in range(100):
            rng = random.Random(seed)
            parts = [make_digest(f'entry-{n}', rng) for n in range(4)]
            own, others = parts[0], parts[1:]
            total = digests.add_digests(own, parts, [0.0] * 4)
            expected = digests.add_digests(own, others, [0.0] * 3)
            rest = digests.subtract_digest(total, own)
            self.assertEqual(expected.loads, rest.loads, f'seed {seed}')
            self.assertEqual(expected.crossings, rest.crossings)
            self.assertEqual(expected.events, rest.events)
            self.assertEqual(3, rest.instances)

    def test_sum_names_its_parts(self):
        rng = random.Random(1)
        own = make_digest('entry-1', rng)
        other = make_digest('entry-2', rng)
        remote = make_digest(
            'entry-9',
            rng,
            data_centre='como',
            scope=digests.Scope.DATA_CENTRE,
            instances=7,
        )
        total = digests.add_digests(own, [own, other, remote], [0.0] * 3)
        self.assertEqual(
            (('entry-1', 1, 1), ('entry-2', 1, 1)), total.included
        )
        self.assertEqual(9, total.instances)

    def test_fault_notice_expires_although_it_is_passed_on(self):
        fault = digests.Fault('gpu-1', 5, 1.0)
        rng = random.Random(1)
        own = make_digest('entry-1', rng)
        part = digests.Digest('entry-2', 1, 1, {}, (fault,))
        for age_s, left in ((0.25, [0.75]), (1.5, [])):
            total = digests.add_digests(own, [part], [age_s])
            self.assertEqual(left, [f.left_s for f in total.faults])

    # Guards against: in a sum, the state of the store before its restoration
    # hid the one behind it.
    def test_sum_has_the_latest_revisions(self):
        rng = random.Random(1)
        before, after = revisions.Revision(1, 99), revisions.Revision(2, 92)
        parts = [
            make_digest(
                f'entry-{number}',
                rng,
                lease=revision,
                table_revisions={'op': revision},
                configuration_version=version,
            )
            for number, revision, version in (
                (1, before, 12),
                (2, after, 9),
                (3, before, 9),
            )
        ]
        total = digests.add_digests(parts[0], parts, [0.0] * 3)
        total = digests.decode_digest(digests.encode_digest(total))
        self.assertEqual(after, total.lease)
        self.assertEqual({'op': after}, total.table_revisions)
        self.assertEqual(12, total.configuration_version)

    def test_crash_that_several_instances_saw_is_one_crash(self):
        own = make_digest('entry-1', random.Random(1))
        crash = digests.Crash(1.0, {'part:a': 1})
        parts = [
            digests.Digest(
                f'entry-{n}',
                1,
                1,
                {},
                (),
                crash_report=digests.CrashReport(
                    {('gpu-1', 5): crash, (f'gpu-{n}', 7): crash},
                    {'part:b': float(n)},
                    {frozenset(('part:c',)): float(n)},
                ),
            )
            for n in (2, 3)
        ]
        total = digests.add_digests(own, parts, [0.5, 0.0])
        decoded = digests.decode_digest(digests.encode_digest(total))
        report = decoded.crash_report
        self.assertEqual(
            {
                ('gpu-1', 5): digests.Crash(1.5, {'part:a': 1}),
                ('gpu-2', 7): digests.Crash(1.5, {'part:a': 1}),
                ('gpu-3', 7): digests.Crash(1.0, {'part:a': 1}),
            },
            report.crashes,
        )
        self.assertEqual({'part:b': 2.5}, report.cleared)
        self.assertEqual({frozenset(('part:c',)): 2.5}, report.blocks)

    def test_digest_with_an_incomplete_crash_report_is_refused(self):
        message = ttypes.Digest(
            sender='a',
            incarnation=1,
            sequence=1,
            loads=[],
            faults=[],
            crashes=[],
            lease_version=0,
            events=0,
            slow_events=0,
            crossings=[],
            crash_report=ttypes.CrashReport(),
        )
        data = TSerialization.serialize(
            message, TCompactProtocol.TCompactProtocolAcceleratedFactory()
        )
        with testtools.ExpectedException(digests.DigestError):
            digests.decode_digest(data)

    def test_sum_of_the_largest_fleet_fits_in_a_datagram(self):
        # 12,000 endpoints, and 33 instances that each saw crashes.
        rng = random.Random(1)
        parts = [
            digests.Digest(
                f'front-milano-a-{number}',
                1_785_381_178_541,
                999,
                {
                    f'i-{rng.randrange(12_000):010x}': digests.Load(9, 9e6)
                    for _ in range(400)
                },
                (),
                data_centre='milano-a',
                crash_report=make_crash_report(rng),
                speeds={
                    (f'i-{rng.randrange(12_000):010x}', 1_785_381_178_541): (
                        digests.Speed(99, 1.234, 1.0)
                    )
                    for _ in range(400)
                },
            )
            for number in range(33)
        ]
        total = digests.add_digests(parts[0], parts, [0.0] * len(parts))
        data = digests.encode_digest(total)
        self.assertLess(len(data), _DATAGRAM_BYTES)


class SummaryTest(testtools.TestCase):
    def test_summary_counts_instead_of_single_digests(self):
        rng = random.Random(3)
        peers = digests.PeerTable()
        load = digests.Load(2, 50.0)
        single = digests.Digest('entry-2', 1, 1, {'gpu-1': load}, ())
        peers.record_digest(single, ('h', 1), 0.0)
        summary = make_digest('entry-3', rng, instances=9)
        peers.record_summary(summary, 0.0)
        self.assertEqual(
            summary.loads.get('gpu-1', digests.Load(0, 0.0)),
            peers.get_load('gpu-1'),
        )
        self.assertEqual(10, peers.count_alive())

    def test_single_digests_count_again_when_the_sum_ceases(self):
        peers = digests.PeerTable()
        load = digests.Load(2, 50.0)
        single = digests.Digest('entry-2', 1, 1, {'gpu-1': load}, ())
        peers.record_summary(make_digest('entry-3', random.Random(3)), 0.0)
        peers.record_digest(single, ('h', 1), 1.0)
        peers.expire_loads(2.0)
        self.assertEqual(load, peers.get_load('gpu-1'))

    def test_one_sum_counts_for_each_data_centre(self):
        # Two instances of a data centre may both send sums for a moment.
        peers = digests.PeerTable()
        load = digests.Load(2, 50.0)
        for name in ('entry-8', 'entry-9'):
            total = digests.Digest(
                name,
                1,
                1,
                {'gpu-1': load},
                (),
                scope=digests.Scope.DATA_CENTRE,
                data_centre='como',
            )
            peers.record_digest(total, ('h', 1), 0.0)
        self.assertEqual(load, peers.get_load('gpu-1'))


class RestrictionTest(testtools.TestCase):
    def test_restrictions_and_demands_are_sent(self):
        digest = digests.Digest(
            'entry-1',
            1,
            1,
            {},
            (),
            restrictions={
                ('gpu-1', 5): digests.Restriction(False, 4.25, 1.5),
                ('gpu-2', 6): digests.Restriction(True, None, 0.25),
            },
            demands={'llm': 12.5},
        )
        sent = digests.decode_digest(digests.encode_digest(digest))
        self.assertEqual(digest, sent)

    def test_digest_of_an_endless_limit_is_rejected(self):
        for limit in (float('nan'), float('inf'), -1.0):
            told = {('gpu-1', 5): digests.Restriction(False, limit, 1.0)}
            digest = digests.Digest('entry-1', 1, 1, {}, (), restrictions=told)
            with testtools.ExpectedException(digests.DigestError):
                digests.decode_digest(digests.encode_digest(digest))

    def test_sum_of_many_restrictions_fits_in_a_datagram(self):
        rng = random.Random(1)
        parts = [
            make_digest(
                f'entry-{n}',
                rng,
                restrictions={
                    (f'i-{n}-{m}', 1_785_381_178_541): digests.Restriction(
                        False, 4.3, rng.uniform(0.0, 9.0)
                    )
                    for m in range(digests.MAX_RESTRICTIONS)
                },
            )
            for n in range(60)
        ]
        total = digests.add_digests(parts[0], parts, [0.0] * len(parts))
        self.assertEqual(digests.MAX_RESTRICTIONS, len(total.restrictions))
        size = len(digests.encode_digest(total))
        self.assertLess(size, _DATAGRAM_BYTES / 2)
        self.assertEqual({}, total.demands)
