"""Tests of sound endpoints whose entry lapses and comes back.

An endpoint that is silent for long, or whose liveness reports are lost, is
removed from the platform's list, and is listed again under the same start
time.
"""

import asyncio
import contextlib

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

    def restart(self):
        """Start a new run, which holds no layers."""
        self.born += 1
        self.layers = None


def make_head(status, request):
    """Return the head of a response with neither a length nor chunks."""
    fields = standins.make_seal(request)
    lines = ''.join(f'{name}: {value}\r\n' for name, value in fields)
    return f'HTTP/1.1 {status}\r\n{lines}\r\n'.encode()


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
                writer.write(make_head('200 OK', request))
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

        with testtools.ExpectedException(h11.RemoteProtocolError):
            self.run_stream(engine, lambda test_fleet: engine.restart())

    # Guards against: a stream ended as complete midway: its engine had
    # started anew under its id, and the run before was still listed.
    def test_entry_of_an_earlier_run_is_no_evidence(self):
        engine = StatingEngine('gpu-1')

        with testtools.ExpectedException(h11.RemoteProtocolError):
            self.run_stream(
                engine, lambda test_fleet: engine.restart(), is_listed=True
            )

    # Guards against: no stream ended as complete at engines that state
    # another start in their reports than in the list.
    def test_listed_engine_with_its_layers_completes_its_streams(self):
        engine = StatingEngine('gpu-1')

        def state_another_start(test_fleet):
            engine.born += 1

        outcome = self.run_stream(engine, state_another_start, is_listed=True)
        self.assertEqual((200, [1, 2]), outcome)

    def test_start_of_an_unlisted_engine_must_match(self):
        engine = StatingEngine('gpu-1')

        def state_another_start(test_fleet):
            engine.born += 1

        with testtools.ExpectedException(h11.RemoteProtocolError):
            self.run_stream(engine, state_another_start)

    def test_stream_of_a_run_that_is_not_stated_does_not_look_complete(self):
        engine = _fleets.create_engine('gpu-1', layers=(0, 8))
        with testtools.ExpectedException(h11.RemoteProtocolError):
            self.run_stream(engine, lambda test_fleet: None)


class UnframedErrorTest(testtools.TestCase):
    """A plain endpoint's error without a length ends while it is unlisted."""

    def run_error(self, state, end):
        """Return the status that the caller gets.

        Parameters
        ----------
        state : str
            What the entry said before it was removed.
        end : callable
            Takes the endpoint when its response ends.
        """
        desk = _fleets.create_desk()

        async def case():
            async with _fleets.run_fleet(desk) as test_fleet:

                async def serve(request, http, writer):
                    desk.list_in(test_fleet.store, state)
                    test_fleet.store.put('servers', desk.id, None)
                    await test_fleet.await_event('endpoint:gone')
                    writer.write(make_head('500 Error', request))
                    writer.write(b'failed')
                    await writer.drain()
                    end(desk)
                    raise OSError('closed by the script')

                desk.script.append(serve)
                status, _, _ = await test_fleet.send('/unsafe/a')
                return status

        return asyncio.run(case())

    # Guards against: the error response of a plain endpoint, which was alive,
    # was replaced by 502 because its entry had lapsed at that moment.
    def test_error_of_an_endpoint_that_runs_is_delivered(self):
        self.assertEqual(500, self.run_error('ready', lambda desk: None))

    def test_error_of_an_endpoint_that_ended_is_not(self):
        status = self.run_error(
            'ready', lambda desk: desk.refuse_connections()
        )
        self.assertEqual(502, status)

    def test_error_of_an_endpoint_that_left_is_not(self):
        self.assertEqual(502, self.run_error('draining', lambda desk: None))

    # Guards against: a response that was cut off looked whole because another
    # endpoint had been started with the address of the one that sent it.
    def test_response_is_not_believed_once_another_has_its_address(self):
        for is_listed in (False, True):
            desk = _fleets.create_desk('desk-1')
            successor = _fleets.create_desk('desk-2')
            successor.born = desk.born + 1

            async def case():
                async with _fleets.run_fleet(desk) as test_fleet:

                    async def serve(request, http, writer):
                        if not is_listed:
                            test_fleet.store.put('servers', desk.id, None)
                        writer.write(make_head('200 OK', request))
                        writer.write(b'cut')
                        await writer.drain()
                        desk.refuse_connections()
                        await asyncio.sleep(0.05)
                        successor.address = desk.address
                        await successor.start()
                        successor.list_in(test_fleet.store)
                        await asyncio.sleep(0.3)
                        raise OSError('closed by the script')

                    desk.script.append(serve)
                    try:
                        status, _, _ = await test_fleet.send('/unsafe/a')
                    finally:
                        await successor.stop()
                    return status

            self.assertEqual(502, asyncio.run(case()), is_listed)


class FrozenEngine(StatingEngine):
    """An engine that says nothing while it is frozen."""

    def __init__(self, name):
        super().__init__(name)
        self.running = asyncio.Event()
        self.running.set()

    async def respond(self, request, body, http, writer):
        """See base class."""
        await self.running.wait()
        await super().respond(request, body, http, writer)


class LapsedCrashTest(testtools.TestCase):
    """Engines are silent for so long that their entries lapse."""

    def run_silence(self, end_silence, lapsed_s=0.5):
        """Repeat a request in a silence of all; return what it gets later."""
        engines = [FrozenEngine(f'gpu-{number}') for number in range(3)]

        async def case(test_fleet):
            for engine in engines:
                engine.running.clear()
            suspected = set()
            while len(suspected) < len(engines):
                with contextlib.suppress(h11.RemoteProtocolError):
                    await test_fleet.send('/stream/a')
                for line in test_fleet.journal.list_events(
                    'request:interrupted'
                ):
                    suspected.update(line['endpoints'])
            for engine in engines:
                test_fleet.store.put('servers', engine.id, None)
            await asyncio.sleep(lapsed_s)
            for engine in engines:
                engine.running.set()
                end_silence(engine)
                engine.list_in(test_fleet.store)
            await asyncio.sleep(0.5)
            crashes = test_fleet.journal.list_events('endpoint:crashed')
            status, _, _ = await test_fleet.send('/stream/a')
            return status, len(crashes)

        return run_engines(engines, case)

    # Guards against: a request that was at engines in their silence was
    # rejected for ten minutes, as each entry that lapsed counted as a crash
    # also once it was back.
    def test_silent_run_that_is_listed_again_has_not_crashed(self):
        for lapsed_s in (0.5, 2.5):
            status, crashes = self.run_silence(lambda engine: None, lapsed_s)
            self.assertEqual((200, 3), (status, crashes), lapsed_s)

    def test_run_that_is_replaced_by_another_has_crashed(self):
        def restart(engine):
            engine.born += 1

        self.assertEqual((503, 3), self.run_silence(restart))
