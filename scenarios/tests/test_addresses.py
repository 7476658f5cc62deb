"""Tests of the allocation of addresses for processes."""

import testtools

from scenarios import _processes


class FindAddressesTest(testtools.TestCase):
    def test_addresses_are_distinct(self):
        # The kernel picks from many thousand ports. If each port were released
        # before the next is requested, some of 500 would be repeated.
        addresses = _processes.find_addresses(500)
        self.assertEqual(500, len(set(addresses)))
