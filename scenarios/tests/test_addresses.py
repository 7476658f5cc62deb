"""Tests of choosing addresses for processes."""

import testtools

from scenarios import _processes


class AddressesTest(testtools.TestCase):
    def test_no_address_is_given_twice(self):
        # One of many thousand ports is drawn each time, so that releasing
        # a port before the next draw repeats one among 500.
        addresses = _processes.find_addresses(500)
        self.assertEqual(500, len(set(addresses)))
