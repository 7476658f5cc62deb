"""Tests of digests with values that are hardly possible."""

import math

import hypothesis
from hypothesis import strategies
import testtools

from sniperudder import digests

_NUMBERS = strategies.sampled_from(
    (0, 5, -1, 2**31, 2**63, 10**30, 1.5, 1e300, math.inf, -math.inf, math.nan)
)


class OddValueTest(testtools.TestCase):
    # Guards against: a number that did not fit in its field prevented the
    # digest from being sent, and ended the task that sends them.
    @hypothesis.given(strategies.lists(_NUMBERS, min_size=10, max_size=10))
    @hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
    def test_each_quantity_can_be_sent(self, numbers):
        digest = digests.Digest(
            'entry-1',
            5,
            1,
            {'gpu-1': digests.Load(numbers[0], numbers[1])},
            (digests.Fault('gpu-1', 5, numbers[2]),),
            events=numbers[3],
            slow_events=numbers[4],
            crossings={('north', 'south'): numbers[5]},
            instances=numbers[6],
            crash_report=digests.CrashReport(
                {('gpu-1', 5): digests.Crash(numbers[7], {'key': numbers[8]})},
                {'key': numbers[7]},
                {frozenset(('key',)): numbers[7]},
            ),
            restrictions={
                ('gpu-1', 5): digests.Restriction(True, 1.0, numbers[9])
            },
            demands={'llm': numbers[9]},
            speeds={
                ('gpu-1', 5): digests.Speed(numbers[8], numbers[9], numbers[7])
            },
        )
        decoded = digests.decode_digest(digests.encode_digest(digest))
        self.assertTrue(0 <= decoded.loads['gpu-1'].requests < 2**31)
        self.assertTrue(0 <= decoded.restrictions['gpu-1', 5].age_s < 1e6)

    def test_digest_that_cannot_be_applied_costs_that_digest_only(self):
        reasons, applied = [], []

        def apply(digest, address):
            if digest.sequence == 1:
                raise OverflowError('odd')
            applied.append(digest.sequence)

        exchange = digests.DigestExchange(apply, reasons.append)
        for sequence in (1, 2):
            digest = digests.Digest('entry-2', 5, sequence, {}, ())
            data = digests.encode_digest(digest)
            exchange.datagram_received(data, ('127.0.0.1', 1))
        self.assertEqual([2], applied)
        self.assertIn('OverflowError: odd', reasons[0])
