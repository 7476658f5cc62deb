"""Tests of an engine that fails right after a silence of others."""

import asyncio

import h11
import testtools

from sniperudder.entry.tests import _fleets
from standins import fleet as standins

_STREAMS = 40
_SILENCE_S = 1.3


class PausingEngine(standins.EndpointStandin):
    """An engine that can be silent and go on, streams included."""

    def __init__(self, name):
        super().__init__(name, 'llm', accelerator='big')
        self.layers = (0, 8)
        self.running = asyncio.Event()
        self.running.set()

    async def respond(self, request, body, http, writer):
        """See base class."""
        await self.running.wait()
        await super().respond(request, body, http, writer)

    async def respond_normally(self, request, http, writer):
        """See base class."""
        headers = [('Transfer-Encoding', 'chunked')]
        headers += standins.make_seal(request)
        writer.write(http.send(h11.Response(status_code=200, headers=headers)))
        last = standins.read_header(request, 'last-event-id') or 0
        for number in range(int(last) + 1, 41):
            await self.running.wait()
            data = f'id: {number}\ndata: {number}\n\n'.encode()
            writer.write(http.send(h11.Data(data=data)))
            await writer.drain()
            await asyncio.sleep(0.08)
        writer.write(http.send(h11.EndOfMessage()))

    def break_off(self):
        """Reset all connections, as at the end of the process."""
        for writer in list(self._readers):
            writer.transport.abort()


class CrashAfterSilenceTest(testtools.TestCase):
    def count_whole(self, is_silent):
        """Return how many of the streams of a fleet are whole."""
        engines = [PausingEngine(f'gpu-{number}') for number in range(4)]

        async def send(test_fleet, number):
            request_id = 'X-Sniperudder-Request-Id', f'r-{number}'
            try:
                status, _, body = await test_fleet.send(
                    '/stream/a',
                    body=b'%d' % number,
                    headers=[request_id],
                    wait_ms=9_000,
                )
            except h11.RemoteProtocolError:
                return False
            return (200, list(range(1, 41))) == (
                status,
                _fleets.list_ids(body),
            )

        async def run():
            profile = standins.make_engine(accelerators=_fleets.ACCELERATORS)
            configuration = standins.make_configuration(engine=profile)
            for route in configuration['routes']:
                route['timeout_ms'] = 10_000
            async with _fleets.run_fleet(
                *engines, configuration=configuration
            ) as test_fleet:
                tasks = [
                    asyncio.create_task(send(test_fleet, number))
                    for number in range(_STREAMS)
                ]
                await asyncio.sleep(0.5)
                for engine in engines[:2]:
                    if is_silent:
                        engine.running.clear()
                await asyncio.sleep(_SILENCE_S)
                for engine in engines[:2]:
                    engine.running.set()
                await asyncio.sleep(0.3)
                engines[2].break_off()
                return sum(await asyncio.gather(*tasks))

        return asyncio.run(run())

    def test_streams_of_an_engine_that_fails_are_resumed(self):
        self.assertEqual(_STREAMS, self.count_whole(is_silent=False))

    # Guards against: second attempts beside silent engines, which went on,
    # spent all retries, and streams that were broken off later were cut.
    def test_silence_leaves_retries_for_streams_that_are_broken_off(self):
        self.assertEqual(_STREAMS, self.count_whole(is_silent=True))
