"""Tests of sound endpoints whose entry lapses and comes back.

An endpoint that is silent for long, or whose liveness reports are lost, is
removed from the platform's list, and is listed again under the same start
time.
"""

import asyncio

import h11
import testtools

from sniperudder.entry.tests import _fleets
from standins import fleet as standins


class StatingEngine(standins.EndpointStandin):
    """An engine that states its start time in its reports, as real ones do."""

    def __init__(self, name, layers=(0, 8), accelerator='big'):
        super().__init__(name, 'llm', accelerator=accelerator)
        self.layers = layers

    def make_report(self):
        """See base class."""
        return {**super().make_report(), 'born': self.born}


def run_engines(engines, case):
    """Run a case with a fleet; return what it returns."""

    async def run():
        profile = standins.make_engine(accelerators=_fleets.ACCELERATORS)
        async with _fleets.run_fleet(*engines, engine=profile) as test_fleet:
            return await case(test_fleet)

    return asyncio.run(run())


class UnframedStreamTest(testtools.TestCase):
    """A stream with neither a length nor chunks ends while it is unlisted."""

    def run_stream(self, engine, end, is_listed=False):
        """Send a stream that ends after the entry was removed, or not."""

        async def case(test_fleet):
            async def serve(request, http, writer):
                seal = standins.make_seal(request)
                head = ''.join(f'{name}: {value}\r\n' for name, value in seal)
                writer.write(f'HTTP/1.1 200 OK\r\n{head}\r\n'.encode())
                writer.write(b'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n')
                await writer.drain()
                if not is_listed:
                    test_fleet.store.put('servers', engine.id, None)
                    await test_fleet.await_event('endpoint:gone')
                end(test_fleet)
                raise OSError('closed by the script')

            engine.script.append(serve)
            status, _, body = await test_fleet.send('/once/a')
            return status, _fleets.list_ids(body)

        return run_engines([engine], case)

    # Guards against: a whole stream was broken off because the entry of its
    # engine, which was alive, had lapsed at that moment.
    def test_stream_of_the_same_run_is_complete(self):
        engine = StatingEngine('gpu-1')
        outcome = self.run_stream(engine, lambda test_fleet: None)
        self.assertEqual((200, [1, 2]), outcome)
        self.assertEqual(1, len(engine.requests))

    def test_stream_of_an_earlier_run_does_not_look_complete(self):
        engine = StatingEngine('gpu-1')

        def restart(test_fleet):
            engine.born += 1

        with testtools.ExpectedException(h11.RemoteProtocolError):
            self.run_stream(engine, restart)

    # Guards against: a stream ended as complete midway: its engine had
    # started anew under its id, and the run before was still listed.
    def test_entry_of_an_earlier_run_is_no_evidence(self):
        engine = StatingEngine('gpu-1')

        def restart(test_fleet):
            engine.born += 1

        with testtools.ExpectedException(h11.RemoteProtocolError):
            self.run_stream(engine, restart, is_listed=True)

    def test_stream_of_a_run_that_is_not_stated_does_not_look_complete(self):
        engine = _fleets.create_engine('gpu-1', layers=(0, 8))
        with testtools.ExpectedException(h11.RemoteProtocolError):
            self.run_stream(engine, lambda test_fleet: None)
