"""Tests of planned stops under load."""

import asyncio
import unittest.mock

import testtools

from sniperudder.entry import _entry
from sniperudder.entry.tests import _fleets
from standins import fleet as standins

_STREAM_S = 0.3
_RECORDED = 8
_LONG_STREAM_S = 2.4
_IDLE_S = 1.5


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


class KeptConnectionTest(testtools.TestCase):
    """Connections that are not used when their instance begins to stop."""

    # Guards against: a stopping instance closed connections without having
    # announced it, although it had to wait for a response on another one.
    def test_idle_connection_is_kept_beside_a_response(self):
        engine = _fleets.create_engine('gpu-1', layers=(0, 8))
        desk = _fleets.create_desk()
        request = (
            b'GET /safe/a HTTP/1.1\r\nHost: shop.example\r\n'
            b'Authorization: Token key-1\r\nX-Sniperudder-Request-Id: '
        )

        engine.events, engine.event_s = 12, _LONG_STREAM_S / 12

        async def run():
            profile = standins.make_engine(accelerators=_fleets.ACCELERATORS)
            async with _fleets.run_fleet(
                engine, desk, engine=profile
            ) as test_fleet:
                await test_fleet.await_placed()
                host, _, port = test_fleet.callers.rpartition(':')
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(request + b'r-7\r\n\r\n')
                first = await reader.readuntil(b'/safe/a')
                stream = asyncio.create_task(
                    test_fleet.send('/stream/a', wait_ms=9_000)
                )
                while not engine.requests:
                    await asyncio.sleep(0.01)
                stopping = asyncio.create_task(test_fleet.instance.stop())
                await asyncio.sleep(_IDLE_S)
                writer.write(request + b'r-8\r\n\r\n')
                second = await reader.read()
                writer.close()
                status, _, _ = await stream
                await stopping
                return first, second, status

        with unittest.mock.patch.object(
            _entry, '_ACCEPT_AFTER_SIGTERM_S', 0.1
        ):
            first, second, status = asyncio.run(run())
        self.assertNotIn(b'Connection: close', first)
        self.assertIn(b'HTTP/1.1 200', second)
        self.assertIn(b'Connection: close', second)
        self.assertEqual(200, status)
