"""Tests of the metrics server."""

import asyncio
import re

import testtools

from sniperudder.entry.tests import _fleets
from standins import fleet as standins


class MetricsTest(testtools.TestCase):
    def test_request_outcomes_are_counted(self):
        desk = standins.EndpointStandin('desk-1', 'desk')

        async def run():
            async with _fleets.run_fleet(desk) as test_fleet:
                await test_fleet.send('/safe/a')
                await test_fleet.send('/nowhere/a')
                _, _, body = await standins.send_request(
                    test_fleet.metrics, '/metrics', 'GET', b''
                )
                return body.decode()

        text = asyncio.run(run())
        for line in (
            'sniperudder_events_total{event="desk:1:answered"} 1',
            'sniperudder_events_total{event="rejected:unknown_route"} 1',
            'sniperudder_total_seconds_count'
            '{rank="1",organisation="studio"} 1',
            'sniperudder_level{subject="endpoints"} 1',
            'sniperudder_wait_seconds_count{rank="1"} 1',
        ):
            self.assertIn(line, text)
        # At least one call each for the lease, the list of instances and both
        # watched tables.
        calls = re.search(r'sniperudder_store_call_seconds_count (\d+)', text)
        self.assertGreaterEqual(int(calls[1]), 4)

    def test_stream_gaps_are_recorded_by_rank(self):
        engine = standins.EndpointStandin('gpu-1', 'llm', accelerator='big')
        engine.layers = 0, 8
        engine.events, engine.event_s = 5, 0.02

        async def run():
            config = standins.make_engine(accelerators={'big': 40_000.0})
            async with _fleets.run_fleet(engine, engine=config) as test_fleet:
                await test_fleet.send('/stream/a')
                _, _, body = await standins.send_request(
                    test_fleet.metrics, '/metrics', 'GET', b''
                )
                return body.decode()

        text = asyncio.run(run())
        name = 'sniperudder_between_tokens_seconds'
        self.assertIn(f'{name}_count{{rank="1"}} 4', text)
        total = re.search(rf'{name}_sum{{rank="1"}} ([\d.]+)', text)
        self.assertTrue(0.06 < float(total[1]) < 1.0, total[1])
