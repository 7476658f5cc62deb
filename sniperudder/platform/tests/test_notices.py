"""Tests of the headers in which endpoints speak of themselves."""

import testtools

from sniperudder import fleet
from sniperudder import platform


def decode(status, *headers):
    """Decode headers given as pairs of text."""
    return platform.decode_notice(
        status, [(name.encode(), value.encode()) for name, value in headers]
    )


class NoticeHeaderTest(testtools.TestCase):
    def test_response_without_these_headers_says_nothing(self):
        notice = decode(200, ('content-length', '3'))
        self.assertEqual(fleet.Notice(), notice)

    def test_all_three_headers_are_read(self):
        notice = decode(
            503,
            ('server-leaving', '1'),
            ('server-limit', ' 4.25 '),
            ('retry-after', '0.5'),
        )
        self.assertEqual(fleet.Notice(True, 4.25, 0.5), notice)

    def test_retry_after_counts_only_in_a_refusal(self):
        for status in (200, 429, 500):
            notice = decode(status, ('retry-after', '9'))
            self.assertEqual(0.0, notice.pause_s)

    def test_malformed_values_are_left_out_and_reported(self):
        for text in ('nan', '-1', 'soon', '', '4;q=1', '0x10', '-inf'):
            notice = decode(503, ('server-limit', text), ('retry-after', text))
            self.assertIsNone(notice.rate_limit, text)
            self.assertEqual(0.0, notice.pause_s, text)
            self.assertEqual(2, len(notice.malformed), text)
        date = 'Fri, 04 Dec 2026 21:00:00 GMT'
        self.assertEqual(1, len(decode(503, ('retry-after', date)).malformed))

    def test_excessive_values_are_bounded_and_reported(self):
        for text in ('1e309', 'inf', '9' * 400):
            notice = decode(503, ('server-limit', text), ('retry-after', text))
            self.assertEqual(1e6, notice.rate_limit)
            self.assertEqual(3_600.0, notice.pause_s)
            self.assertEqual(2, len(notice.malformed))
            self.assertLess(len(notice.malformed[0]), 60)

    def test_strictest_of_several_values_applies(self):
        notice = decode(
            503,
            ('server-limit', '9'),
            ('server-limit', '2'),
            ('retry-after', '1'),
            ('retry-after', '3'),
            ('server-leaving', '0'),
            ('server-leaving', '1'),
        )
        self.assertEqual(fleet.Notice(True, 2.0, 3.0), notice)
