"""Tests of second copies of responses on connections that are kept."""

import asyncio

import h11
import testtools

from sniperudder.entry.tests import _fleets
from standins import fleet as standins

_REFUSAL = (
    b'HTTP/1.1 503 full\r\nX-Sniperudder-Request-Id: r-1\r\n'
    b'X-Sniperudder-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
)
_EMPTY = [('Content-Length', '0')]


class SecondRefusalTest(testtools.TestCase):
    """An endpoint sends a copy of a refusal with its next response."""

    def script(self, endpoint, refusals):
        """Refuse, then run the request; return the channels that were used.

        The copy is sent as soon as the next request arrives there.
        """
        channels = []

        async def send_copy(writer):
            if writer in channels:
                writer.write(_REFUSAL)
                await writer.drain()
                await asyncio.sleep(0.02)
            channels.append(writer)

        async def refuse(request, http, writer):
            await send_copy(writer)
            await endpoint.refuse()(request, http, writer)

        async def run(request, http, writer):
            await send_copy(writer)
            await endpoint.respond_normally(request, http, writer)

        endpoint.script.extend([refuse] * refusals + [run] * 20)
        return channels

    # Guards against: the copy was taken for the answer to the second send of
    # the same request, which then ran, and was sent a third time.
    def test_order_that_was_refused_runs_once(self):
        for refusals in (1, 2, 3):
            desk = _fleets.create_desk()
            channels = self.script(desk, refusals)

            async def run(desk=desk):
                async with _fleets.run_fleet(desk) as test_fleet:
                    return await test_fleet.send('/unsafe/a')

            status, _, _ = asyncio.run(run())
            self.assertEqual(200, status)
            self.assertEqual(1, len(desk.requests))
            self.assertEqual(refusals + 1, len(channels))

    # Guards against: the same for a stream that a later stage refused, which
    # is sent to its first stage again.
    def test_stream_that_was_refused_runs_once(self):
        first = _fleets.create_engine('gpu-1', 'half', (0, 4))
        others = [
            _fleets.create_engine(name, 'half', (4, 8))
            for name in ('gpu-2', 'gpu-3')
        ]
        channels = []

        async def refuse(request, http, writer):
            channels.append(writer)
            first.requests.pop()
            path = standins.read_header(request, 'x-sniperudder-hop-count')
            address = path.split(',')[1].partition('=')[0]
            refusal = _REFUSAL.replace(
                b'Content', b'At-Server: %s\r\nContent' % address.encode()
            )
            writer.write(refusal)
            http.send(h11.Response(status_code=503, headers=_EMPTY))
            http.send(h11.EndOfMessage())

        async def run_late(request, http, writer):
            if writer in channels:
                writer.write(_REFUSAL)
                await writer.drain()
                await asyncio.sleep(0.02)
            await first.respond_normally(request, http, writer)

        first.script.extend([refuse, *[run_late] * 20])

        async def run():
            profile = standins.make_engine(accelerators=_fleets.ACCELERATORS)
            async with _fleets.run_fleet(
                first, *others, engine=profile
            ) as test_fleet:
                return await test_fleet.send('/once/a')

        status, _, body = asyncio.run(run())
        self.assertEqual((200, [1, 2, 3]), (status, _fleets.list_ids(body)))
        self.assertEqual(1, len(first.requests))

    # Guards against: a caller that repeats a request under the same id got
    # the copy of the first refusal.
    def test_request_that_its_caller_repeats_runs_once(self):
        desk = _fleets.create_desk()
        self.script(desk, 6)

        async def run():
            async with _fleets.run_fleet(desk) as test_fleet:
                first, _, _ = await test_fleet.send('/unsafe/a')
                second, _, _ = await test_fleet.send('/unsafe/a')
                return first, second

        self.assertEqual((503, 200), asyncio.run(run()))
        self.assertEqual(1, len(desk.requests))

    def test_connection_is_kept_for_other_requests(self):
        desk = _fleets.create_desk()

        async def run():
            async with _fleets.run_fleet(desk) as test_fleet:
                pool = test_fleet.instance._request_pool
                for number in range(5):
                    header = 'X-Sniperudder-Request-Id', f'r-{number}'
                    desk.script.append(desk.refuse())
                    await test_fleet.send('/safe/a', headers=[header])
                return pool.opened

        self.assertEqual(2, asyncio.run(run()))
        self.assertEqual(5, len(desk.requests))
