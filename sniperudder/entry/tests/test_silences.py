"""Tests of sound endpoints that are silent for a second and go on."""

import asyncio

import h11
import testtools

from sniperudder.entry.tests import _fleets
from standins import fleet as standins

# Longer than the limits after which a stage is checked, shorter than callers
# wait for an event.
_SILENCE_S = 1.3


class SilentEngine(standins.EndpointStandin):
    """An engine that says nothing at all for a while.

    Attributes
    ----------
    silent_until : float
        Loop time, seconds.
    """

    silent_until = 0.0

    def __init__(self, name, layers=(0, 8)):
        super().__init__(name, 'llm', accelerator='big')
        self.layers = layers

    async def respond(self, request, body, http, writer):
        """See base class."""
        await self.end_silence()
        await super().respond(request, body, http, writer)

    async def end_silence(self):
        """Wait until the silence is over."""
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(self.silent_until - now)

    def begin_silence(self):
        """Be silent from now on."""
        now = asyncio.get_running_loop().time()
        self.silent_until = now + _SILENCE_S

    def hang(self):
        """Return a script entry: never respond."""

        async def serve(request, http, writer):
            await asyncio.Event().wait()

        return serve

    def fall_silent_after(self, events):
        """Return a script entry: pause a stream after some events."""

        async def serve(request, http, writer):
            if not events:
                self.begin_silence()
                await self.end_silence()
                await self.send_stream(request, http, writer)
                return
            await self.send_stream(request, http, writer, upto=events)
            self.begin_silence()
            await self.end_silence()
            for number in range(events + 1, self.events + 1):
                data = f'id: {number}\ndata: {number}\n\n'.encode()
                writer.write(http.send(h11.Data(data=data)))
            writer.write(http.send(h11.EndOfMessage()))

        return serve


class SilentStageTest(testtools.TestCase):
    def run_streams(self, engines, case):
        async def run():
            profile = standins.make_engine(accelerators=_fleets.ACCELERATORS)
            async with _fleets.run_fleet(
                *engines, engine=profile
            ) as test_fleet:
                return await case(test_fleet)

        return asyncio.run(run())

    async def send(self, test_fleet):
        """Send a stream; return its status and the ids of its events."""
        status, _, body = await test_fleet.send('/stream/a', wait_ms=4_000)
        return status, _fleets.list_ids(body)

    # Guards against: the only chain was given up while it was silent, and the
    # stream was broken off or failed although it would have gone on.
    def test_stream_without_another_chain_waits(self):
        for events in (0, 1, 2):
            engine = SilentEngine('gpu-1')
            engine.script.append(engine.fall_silent_after(events))
            outcome = self.run_streams([engine], self.send)
            self.assertEqual((200, [1, 2, 3]), outcome, events)
            self.assertEqual(1, len(engine.requests))

    # Guards against: the same where the retry budget was exhausted.
    def test_stream_without_a_retry_left_waits(self):
        engines = [SilentEngine('gpu-1'), SilentEngine('gpu-2')]
        for engine in engines:
            engine.script.append(engine.fall_silent_after(1))

        async def case(test_fleet):
            forwarder = test_fleet.instance._forwarder
            budget = forwarder.get_budget('llm')
            budget.set_limits(0.0, 10.0)
            while budget.spend(forwarder.now(), forwarder._get_slack()):
                pass
            return await self.send(test_fleet)

        outcome = self.run_streams(engines, case)
        self.assertEqual((200, [1, 2, 3]), outcome)

    # Guards against: the same beside a change of the configuration, during
    # the silence, that moves the route to another service.
    def test_stream_waits_while_its_route_changes(self):
        engine = SilentEngine('gpu-1')
        engine.script.append(engine.fall_silent_after(1))

        async def case(test_fleet):
            sending = asyncio.create_task(self.send(test_fleet))
            await asyncio.sleep(0.4)
            profile = standins.make_engine(accelerators=_fleets.ACCELERATORS)
            changed = standins.make_configuration(engine=profile)
            changed['version'] += 1
            for route in changed['routes']:
                route['service'] = 'desk'
                route['timeout_ms'] = 100
            changed['tenants'] = []
            test_fleet.store.put_json('op', 'config', changed)
            return await sending

        outcome = self.run_streams([engine], case)
        self.assertEqual((200, [1, 2, 3]), outcome)

    # Guards against: a stream whose chain had failed was broken off because
    # all others were full at that moment.
    def test_stream_waits_for_a_chain_to_be_resumed(self):
        engines = [SilentEngine('gpu-1'), SilentEngine('gpu-2')]

        async def case(test_fleet):
            for engine in engines:
                engine.script.append(break_off(engine))
            sending = asyncio.create_task(self.send(test_fleet))
            while not any(engine.requests for engine in engines):
                await asyncio.sleep(0.001)
            for engine in engines:
                engine.script.clear()
                engine.script.extend(engine.refuse() for _ in range(2))
            return await sending

        def break_off(engine):
            async def serve(request, http, writer):
                await engine.send_stream(request, http, writer, upto=1)
                await asyncio.sleep(0.05)
                writer.transport.abort()
                raise OSError('reset by the script')

            return serve

        outcome = self.run_streams(engines, case)
        self.assertEqual((200, [1, 2, 3]), outcome)

    # Guards against: the run at a silent engine was given up for a chain that
    # then refused the stream, which was broken off although the first engine
    # would have gone on.
    def test_stream_goes_on_at_its_engine_if_others_refuse_it(self):
        for events in (0, 1, 2):
            for refusals in (1, 3, 9):
                engines = [SilentEngine('gpu-1'), SilentEngine('gpu-2')]
                case = self.send_while_others_refuse(engines, events, refusals)
                outcome = self.run_streams(engines, case)
                self.assertEqual((200, [1, 2, 3]), outcome, (events, refusals))

    def send_while_others_refuse(self, engines, events, refusals):
        """Return a case: one engine falls silent, and the other refuses."""

        async def case(test_fleet):
            for engine in engines:
                engine.script.append(engine.fall_silent_after(events))
            sending = asyncio.create_task(self.send(test_fleet))
            while not any(engine.requests for engine in engines):
                await asyncio.sleep(0.001)
            for engine in engines:
                engine.script.clear()
                engine.script.extend(engine.refuse() for _ in range(refusals))
            return await sending

        return case

    # Guards against: the same where the other engine fell silent as well.
    def test_stream_goes_on_at_the_engine_that_ends_its_silence_first(self):
        engines = [SilentEngine('gpu-1'), SilentEngine('gpu-2')]

        async def case(test_fleet):
            for engine in engines:
                engine.script.append(engine.fall_silent_after(1))
            sending = asyncio.create_task(self.send(test_fleet))
            while not any(engine.requests for engine in engines):
                await asyncio.sleep(0.001)
            first, second = sorted(engines, key=lambda e: not e.requests)
            second.script.clear()
            second.script.append(second.hang())
            return await sending

        outcome = self.run_streams(engines, case)
        self.assertEqual((200, [1, 2, 3]), outcome)

    # Guards against: an error response whose body came late was replaced by
    # 502 although the stream could not be sent elsewhere.
    def test_late_body_of_an_error_is_awaited(self):
        for target in ('/once/a', '/stream/a'):
            engine = SilentEngine('gpu-1')
            engine.script.append(self.fail_late(engine))

            async def case(test_fleet, target=target):
                return await test_fleet.send(target, wait_ms=4_000)

            status, headers, body = self.run_streams([engine], case)
            self.assertEqual((500, b'late'), (status, body), target)
            self.assertEqual('seal', headers['x-sniperudder-response-seal'])
            self.assertEqual(1, len(engine.requests))

    # Guards against: the same where the other engine refused the stream.
    def test_late_body_of_an_error_is_awaited_if_others_refuse(self):
        engines = [SilentEngine('gpu-1'), SilentEngine('gpu-2')]

        async def case(test_fleet):
            for engine in engines:
                engine.script.append(self.fail_late(engine))
            sending = asyncio.create_task(
                test_fleet.send('/stream/a', wait_ms=4_000)
            )
            while not any(engine.requests for engine in engines):
                await asyncio.sleep(0.001)
            for engine in engines:
                engine.script.clear()
                engine.script.extend(engine.refuse() for _ in range(60))
            return await sending

        status, _, body = self.run_streams(engines, case)
        self.assertEqual((500, b'late'), (status, body))

    def fail_late(self, engine):
        """Return a script entry: an error, and its body after a silence."""

        async def serve(request, http, writer):
            headers = [('Content-Length', '4'), *standins.make_seal(request)]
            head = h11.Response(status_code=500, headers=headers)
            writer.write(http.send(head))
            writer.write(http.send(h11.Data(data=b'la')))
            await writer.drain()
            engine.begin_silence()
            await engine.end_silence()
            writer.write(http.send(h11.Data(data=b'te')))
            writer.write(http.send(h11.EndOfMessage()))

        return serve

    def test_stream_is_resumed_where_another_chain_is_free(self):
        engines = [SilentEngine('gpu-1'), SilentEngine('gpu-2')]
        for engine in engines:
            engine.script.append(engine.fall_silent_after(1))

        async def case(test_fleet):
            sending = asyncio.create_task(self.send(test_fleet))
            while not any(engine.requests for engine in engines):
                await asyncio.sleep(0.001)
            for engine in engines:
                engine.script.clear()
            return await sending

        outcome = self.run_streams(engines, case)
        self.assertEqual((200, [1, 2, 3]), outcome)
        self.assertEqual([1, 1], [len(e.requests) for e in engines])

    # Guards against: a whole stream without a length was broken off because
    # its engine was silent when it was asked for a sign of life.
    def test_stream_without_a_length_ends_in_a_silence(self):
        engine = SilentEngine('gpu-1')

        async def serve(request, http, writer):
            lines = ['HTTP/1.1 200 OK']
            seal = standins.make_seal(request)
            lines += [f'{name}: {value}' for name, value in seal]
            events = 'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n'
            text = '\r\n'.join(lines) + '\r\n\r\n' + events
            writer.write(text.encode())
            await writer.drain()
            engine.begin_silence()
            raise OSError('closed by the script')

        engine.script.append(serve)
        outcome = self.run_streams([engine], self.send)
        self.assertEqual((200, [1, 2]), outcome)
        self.assertEqual(1, len(engine.requests))
