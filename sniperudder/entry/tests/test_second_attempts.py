"""Tests of an attempt at a stream that is begun beside a silent one."""

import asyncio
import unittest.mock

import h11
import testtools

from sniperudder.entry.tests import _fleets
from sniperudder.entry.tests import test_silences
from sniperudder import forwarding
from standins import fleet as standins


class _TwoEnginesTest(testtools.TestCase):
    """One engine serves a stream and falls silent; another one gets it too."""

    def run_case(self, first, make_second, change=None, wait_ms=4_000):
        """Send a stream; return its outcome and what there was to see.

        Parameters
        ----------
        first : callable
            Returns the script entry of the engine that gets the stream first.
        make_second : callable
            Returns the script entries of the other one.
        change : callable, optional
            Coroutine function of the fleet and both engines, run meanwhile.

        Returns
        -------
        outcome : (int, list of int)
            Status of the response, and ids of its events.
        test_fleet : Fleet
        engines : (SilentEngine, SilentEngine)
        """
        engines = [
            test_silences.SilentEngine('gpu-1'),
            test_silences.SilentEngine('gpu-2'),
        ]

        async def run():
            profile = standins.make_engine(accelerators=_fleets.ACCELERATORS)
            async with _fleets.run_fleet(
                *engines, engine=profile
            ) as test_fleet:
                for engine in engines:
                    engine.script.append(first(engine))
                sending = asyncio.create_task(
                    test_fleet.send('/stream/a', wait_ms=wait_ms)
                )
                while not any(engine.requests for engine in engines):
                    await asyncio.sleep(0.001)
                engines.sort(key=lambda e: not e.requests)
                engines[1].script.clear()
                engines[1].script.extend(make_second(engines[1]))
                if change is not None:
                    await change(test_fleet, *engines)
                status, _, body = await sending
                await asyncio.sleep(0.05)
                outcome = status, _fleets.list_ids(body)
                self.assert_nothing_held(test_fleet)
                return outcome, test_fleet, engines

        return asyncio.run(run())

    def assert_nothing_held(self, test_fleet):
        for state in test_fleet.instance._T.states.values():
            self.assertEqual((0, 0), (state.requests, state.connections))

    def fall_silent(self, engine):
        return engine.fall_silent_after(1)

    def pause(self, engine, end, silence_s=0.5, with_event=True):
        """Return a script entry: a silence, an event, and then an ending."""

        async def serve(request, http, writer):
            await engine.send_stream(request, http, writer, upto=1)
            now = asyncio.get_running_loop().time()
            engine.silent_until = now + max(silence_s, 1.3)
            await asyncio.sleep(silence_s)
            if with_event:
                data = b'id: 2\ndata: 2\n\n'
                writer.write(http.send(h11.Data(data=data)))
                await writer.drain()
            await end(http, writer)

        return serve

    async def end_whole(self, http, writer):
        writer.write(http.send(h11.Data(data=b'id: 3\ndata: 3\n\n')))
        writer.write(http.send(h11.EndOfMessage()))


class SecondAttemptTest(_TwoEnginesTest):
    # Guards against: an event that arrived while a silent engine was asked for
    # its report was relayed only afterwards, and another attempt was begun.
    def test_event_is_relayed_while_the_stages_are_checked(self):
        outcome, test_fleet, engines = self.run_case(
            lambda engine: self.pause(engine, self.end_whole),
            lambda engine: (),
        )
        self.assertEqual((200, [1, 2, 3]), outcome)
        self.assertEqual([], engines[1].arrivals)
        (ended,) = test_fleet.journal.list_events('request:end')
        self.assertLess(ended['pause_ms'], 700)

    # Guards against: an attempt that was ended before it was sent counted
    # against those that the route allows, and the stream couldn't be resumed.
    def test_stream_is_resumed_after_a_silence_that_ended(self):
        async def end(http, writer):
            await asyncio.sleep(0.6)
            writer.transport.abort()
            raise OSError('reset by the script')

        outcome, _, _ = self.run_case(
            lambda engine: self.pause(engine, end), lambda engine: ()
        )
        self.assertEqual((200, [1, 2, 3]), outcome)

    # Guards against: the run at a silent engine was ended for another one
    # whose response could not be relayed.
    def test_unusable_response_elsewhere_ends_nothing(self):
        def ignore_position(engine):
            async def serve(request, http, writer):
                headers = [
                    pair
                    for pair in request.headers
                    if pair[0] != b'last-event-id'
                ]
                fresh = h11.Request(
                    method=request.method,
                    target=request.target,
                    headers=headers,
                )
                await engine.send_stream(fresh, http, writer)

            return [serve]

        def send_comment(engine):
            async def serve(request, http, writer):
                headers = [
                    ('Transfer-Encoding', 'chunked'),
                    *standins.make_seal(request),
                ]
                head = h11.Response(status_code=200, headers=headers)
                writer.write(http.send(head))
                writer.write(http.send(h11.Data(data=b': ping\n\n')))
                await asyncio.sleep(3)

            return [serve]

        def fail(engine):
            return [engine.fail()]

        def reject(engine):
            async def serve(request, http, writer):
                seal = standins.make_seal(request)
                standins.write_response(http, writer, 404, b'no', seal)

            return [serve]

        for make_second in (ignore_position, send_comment, fail, reject):
            outcome, _, _ = self.run_case(self.fall_silent, make_second)
            self.assertEqual((200, [1, 2, 3]), outcome, make_second.__name__)

    # Guards against: the crash of an engine whose run was kept while it was
    # silent counted against no request.
    def test_crash_of_a_silent_engine_is_recorded(self):
        async def crash(test_fleet, silent, other):
            silent.silent_until = float('inf')
            await asyncio.sleep(1.5)
            test_fleet.store.put('servers', silent.id, None)

        outcome, test_fleet, _ = self.run_case(
            lambda engine: engine.hang(),
            lambda engine: [engine.refuse() for _ in range(60)],
            crash,
            wait_ms=3_500,
        )
        self.assertEqual(504, outcome[0])
        (crashed,) = test_fleet.journal.list_events('endpoint:crashed')
        self.assertEqual('listed as gone', crashed['reason'])

    # Guards against: a run was ended because its entry had gone, although the
    # engine went on.
    def test_silent_engine_that_is_unlisted_goes_on(self):
        async def unlist(test_fleet, silent, other):
            await asyncio.sleep(1.0)
            test_fleet.store.put('servers', silent.id, None)

        outcome, _, _ = self.run_case(
            lambda engine: self.pause(engine, self.end_whole, 1.8),
            lambda engine: [engine.refuse() for _ in range(60)],
            unlist,
        )
        self.assertEqual((200, [1, 2, 3]), outcome)

    # Guards against: a stream whose engine was unlisted, and silent from then
    # on, was sent nowhere else.
    def test_stream_is_resumed_if_its_engine_is_unlisted_and_silent(self):
        async def unlist(test_fleet, silent, other):
            await asyncio.sleep(0.3)
            test_fleet.store.put('servers', silent.id, None)

        outcome, _, _ = self.run_case(
            lambda engine: self.pause(engine, self.end_whole, 9.0),
            lambda engine: (),
            unlist,
        )
        self.assertEqual((200, [1, 2, 3]), outcome)

    # Guards against: bytes without an event that came faster than the results
    # of checks were looked for kept a stream at a stalled engine.
    def test_stalled_stream_that_sends_bytes_is_resumed(self):
        def drip(engine):
            async def serve(request, http, writer):
                await engine.send_stream(request, http, writer, upto=1)
                engine.silent_until = asyncio.get_running_loop().time() + 5
                while True:
                    writer.write(http.send(h11.Data(data=b'x')))
                    await writer.drain()
                    await asyncio.sleep(0.008)

            return serve

        outcome, _, _ = self.run_case(drip, lambda engine: (), wait_ms=2_500)
        self.assertEqual((200, [1, 2, 3]), outcome)

    # Guards against: the refusal of an engine that had been silent counted as
    # one of the runs that the route allows.
    def test_late_refusal_is_not_counted_as_a_run(self):
        def refuse_late(engine):
            async def serve(request, http, writer):
                engine.begin_silence()
                await engine.end_silence()
                await engine.refuse()(request, http, writer)

            return serve

        def break_off(engine):
            async def serve(request, http, writer):
                await asyncio.sleep(0.8)
                await engine.send_stream(request, http, writer, upto=1)
                await asyncio.sleep(0.1)
                writer.transport.abort()
                raise OSError('reset by the script')

            return [serve]

        outcome, _, _ = self.run_case(refuse_late, break_off)
        self.assertEqual((200, [1, 2, 3]), outcome)

    # Guards against: an error response to a stream whose body did not come
    # held the stream to its deadline.
    def test_error_without_its_body_is_a_failure(self):
        def fail(engine):
            async def serve(request, http, writer):
                headers = [
                    ('Content-Length', '5'),
                    *standins.make_seal(request),
                ]
                head = h11.Response(status_code=500, headers=headers)
                writer.write(http.send(head))
                await asyncio.sleep(9)

            return serve

        outcome, _, _ = self.run_case(fail, lambda engine: ())
        self.assertEqual((200, [1, 2, 3]), outcome)

    # Guards against: a retry that reached no endpoint was given back although
    # another send followed in its place.
    def test_each_further_send_is_taken_from_the_budget(self):
        async def end(http, writer):
            writer.transport.abort()
            raise OSError('reset by the script')

        real_open = forwarding.ConnectionPool.open

        async def open_late(pool, address, timeout_s=0.5):
            if address in slow_addresses:
                slow_addresses.clear()
                await asyncio.sleep(0.4)
                raise TimeoutError
            return await real_open(pool, address, timeout_s)

        slow_addresses = set()

        async def slow_down(test_fleet, silent, other):
            slow_addresses.add(other.address)

        with unittest.mock.patch.object(
            forwarding.ConnectionPool, 'open', open_late
        ):
            outcome, test_fleet, engines = self.run_case(
                lambda engine: self.pause(engine, end, 1.0, with_event=False),
                lambda engine: (),
                slow_down,
            )
        self.assertEqual((200, [1, 2, 3]), outcome)
        budget = test_fleet.instance._forwarder.get_budget('llm')
        arrivals = sum(len(engine.arrivals) for engine in engines)
        self.assertEqual(arrivals - 1, len(budget._retries))

    # Guards against: one silence that ended with a break counted as two
    # failures of the engine, and refusals elsewhere used up the budget.
    def test_one_silence_is_one_failure_and_few_retries(self):
        async def end(engine, request, http, writer):
            await engine.send_stream(request, http, writer, upto=1)
            engine.begin_silence()
            await asyncio.sleep(2.6)
            writer.transport.abort()
            raise OSError('reset by the script')

        def fall_silent(engine):
            return lambda *exchange: end(engine, *exchange)

        async def expect_cut(test_fleet, silent, other):
            await asyncio.sleep(2.3)
            forwarder = test_fleet.instance._forwarder
            self.assertEqual(6, len(other.arrivals))
            state = test_fleet.instance._T.states[silent.id, silent.born]
            self.assertEqual(1, state.failures)
            self.assertEqual(6, len(forwarder.get_budget('llm')._retries))

        self.assertRaises(
            h11.RemoteProtocolError,
            self.run_case,
            fall_silent,
            lambda engine: [engine.refuse() for _ in range(60)],
            expect_cut,
        )


class EmptyEndTest(_TwoEnginesTest):
    """The other engine ends a resumed stream without a further event."""

    def end_at_once(self, engine):
        async def serve(request, http, writer):
            headers = [
                ('Transfer-Encoding', 'chunked'),
                *standins.make_seal(request),
            ]
            head = h11.Response(status_code=200, headers=headers)
            writer.write(http.send(head))
            writer.write(http.send(h11.EndOfMessage()))

        return [serve]

    # Guards against: an empty response elsewhere ended a stream as complete,
    # though the silent engine went on.
    def test_silent_engine_goes_on(self):
        outcome, _, engines = self.run_case(self.fall_silent, self.end_at_once)
        self.assertEqual((200, [1, 2, 3]), outcome)
        self.assertEqual([1, 1], [len(e.requests) for e in engines])

    # Guards against: a stream that was complete except for its end was held
    # until its caller left.
    def test_end_holds_if_the_silent_engine_does_not_go_on(self):
        async def break_off(http, writer):
            writer.transport.abort()
            raise OSError('reset by the script')

        for silence_s in (1.0, 9.0):
            outcome, test_fleet, _ = self.run_case(
                lambda engine, silence_s=silence_s: self.pause(
                    engine, break_off, silence_s, with_event=False
                ),
                self.end_at_once,
            )
            self.assertEqual((200, [1]), outcome, silence_s)
            (ended,) = test_fleet.journal.list_events('request:end')
            self.assertEqual(300, ended['code'])
            self.assertLess(ended['duration_ms'], 1_900)
