"""Tests of planned stops under load."""

import asyncio

import testtools

from sniperudder.entry.tests import _fleets
from standins import fleet as standins

_STREAM_S = 0.3
_RECORDED = 8


class LongRequestTest(testtools.TestCase):
    """Requests that would outlast the grace period."""

    def run_beside_stop(self, case, remaining_s):
        """Run a case while an instance stops that has relayed streams.

        Each stream takes `_STREAM_S`.
        """
        engine = _fleets.create_engine('gpu-1', layers=(0, 8))
        desk = _fleets.create_desk()

        async def serve(request, http, writer):
            await asyncio.sleep(_STREAM_S)
            await engine.send_stream(request, http, writer)

        async def run():
            profile = standins.make_engine(accelerators=_fleets.ACCELERATORS)
            async with _fleets.run_fleet(
                engine, desk, engine=profile
            ) as test_fleet:
                await test_fleet.await_placed()
                engine.script.extend([serve] * (_RECORDED + 1))
                for _ in range(_RECORDED):
                    await test_fleet.send('/stream/a')
                    await test_fleet.send('/unsafe/a')
                engine.requests.clear()
                desk.requests.clear()
                forwarder = test_fleet.instance._forwarder
                forwarder.stop_at = forwarder.now() + remaining_s
                await case(test_fleet)

        asyncio.run(run())
        return len(engine.requests), len(desk.requests)

    # Guards against: a stopping instance accepted streams that it cut at the
    # end of its grace period, though others could have served them.
    def test_stream_that_would_be_cut_is_refused_as_not_run(self):
        async def case(test_fleet):
            response = await test_fleet.send('/stream/a')
            self.assertEqual(503, response[0])
            self.assertEqual('0.0', response[1]['retry-after'])
            self.assertEqual(204, _fleets.read_body(response)['code'])

        self.assertEqual((0, 0), self.run_beside_stop(case, _STREAM_S / 2))

    def test_stream_that_ends_in_time_is_served(self):
        async def case(test_fleet):
            status, _, body = await test_fleet.send('/stream/a')
            self.assertEqual(200, status)
            self.assertEqual([1, 2, 3], _fleets.list_ids(body))

        self.assertEqual((1, 0), self.run_beside_stop(case, 20 * _STREAM_S))

    def test_short_request_is_served_beside_refused_streams(self):
        async def case(test_fleet):
            status, _, _ = await test_fleet.send('/unsafe/a')
            self.assertEqual(200, status)

        self.assertEqual((0, 1), self.run_beside_stop(case, _STREAM_S / 2))

    def test_nothing_is_begun_at_the_end(self):
        async def case(test_fleet):
            for target in ('/stream/a', '/unsafe/a'):
                status, _, _ = await test_fleet.send(target)
                self.assertEqual(503, status)

        self.assertEqual((0, 0), self.run_beside_stop(case, 0.0))
