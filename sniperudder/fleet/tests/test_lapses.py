"""Tests of the table of endpoints that are no longer listed."""

import testtools

from sniperudder import fleet
from sniperudder.fleet import _lapses


def make_endpoint(name):
    return fleet.Endpoint(
        id=name,
        service='llm',
        address='10.0.0.1:80',
        data_centre='north',
        slots=8,
        leaving=False,
        accelerator='',
        layers=None,
        born_ms=1,
    )


class LapseTableTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.table = fleet.LapseTable()
        self.table.record_removed(make_endpoint('a'), 10.0)
        self.table.record_removed(make_endpoint('b'), 11.0)

    def list_names(self, now):
        return [endpoint.id for endpoint in self.table.list_endpoints(now)]

    def test_endpoints_expire(self):
        self.assertEqual(['a', 'b'], self.list_names(11.0))
        self.assertEqual(['b'], self.list_names(10.0 + _lapses.RELISTING_S))
        self.assertEqual([], self.list_names(11.0 + _lapses.RELISTING_S))

    def test_endpoint_that_lapses_again_expires_later(self):
        self.table.record_removed(make_endpoint('a'), 11.5)
        self.assertEqual(['b', 'a'], self.list_names(12.0))
        self.assertEqual(['a'], self.list_names(13.2))

    def test_endpoint_that_is_dropped_is_not_listed(self):
        self.table.drop('a')
        self.table.drop('c')
        self.assertEqual(['b'], self.list_names(11.0))
