"""Tests of the metrics server."""

import asyncio

import testtools

from sniperudder.entry.tests import _fleets
from standins import fleet as standins


class MetricsTest(testtools.TestCase):
    def test_ends_of_requests_are_counted(self):
        desk = standins.EndpointStandin('desk-1', 'desk')

        async def run():
            async with _fleets.run_fleet(desk) as fleet:
                await fleet.send('/safe/a')
                await fleet.send('/nowhere/a')
                _, _, body = await standins.send_request(
                    fleet.metrics, '/metrics', 'GET', b''
                )
                return body.decode()

        text = asyncio.run(run())
        for line in (
            'sniperudder_events_total{event="desk:1:answered"} 1',
            'sniperudder_events_total{event="rejected:unknown_route"} 1',
            'sniperudder_total_seconds_count'
            '{rank="1",organisation="studio"} 1',
            'sniperudder_level{subject="endpoints"} 1',
        ):
            self.assertIn(line, text)
