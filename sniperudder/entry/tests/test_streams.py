"""Tests of event streams with a fleet on the loopback interface."""

import asyncio
import socket
import struct

import h11
import testtools

from sniperudder.entry.tests import _fleets
from standins import fleet as standins


class StreamTest(testtools.TestCase):
    def run_fleet(self, case, *endpoints):
        async def run():
            engine = standins.make_engine(accelerators=_fleets.ACCELERATORS)
            async with _fleets.run_fleet(
                *endpoints, engine=engine
            ) as test_fleet:
                await test_fleet.await_placed()
                await case(test_fleet)

        asyncio.run(run())

    def test_complete_stream_is_forwarded(self):
        engine = _fleets.create_engine('gpu-1', layers=(0, 8))

        async def case(test_fleet):
            status, headers, body = await test_fleet.send('/stream/a')
            self.assertEqual(200, status)
            self.assertEqual([1, 2, 3], _fleets.list_ids(body))
            self.assertEqual('seal', headers['x-sniperudder-response-seal'])

        self.run_fleet(case, engine)

    def test_chain_covers_all_layers(self):
        left = _fleets.create_engine('gpu-1', 'half', (0, 4))
        right = _fleets.create_engine('gpu-2', 'half', (4, 8))

        async def case(test_fleet):
            status, _, _ = await test_fleet.send('/stream/a')
            self.assertEqual(200, status)

        self.run_fleet(case, left, right)
        self.assertEqual([], right.requests)
        request, _ = left.requests[0]
        self.assertEqual(
            f'{left.address}=0-4,{right.address}=4-8',
            standins.read_header(request, 'x-sniperudder-hop-count'),
        )

    def test_interrupted_stream_is_resumed_on_another_engine(self):
        engines = [
            _fleets.create_engine('gpu-1', layers=(0, 8)),
            _fleets.create_engine('gpu-2', layers=(0, 8)),
        ]

        def break_off(engine):
            async def serve(request, http, writer):
                await engine.send_stream(request, http, writer, upto=2)
                # A partial event, then the connection breaks.
                writer.write(http.send(h11.Data(data=b'id: 3\ndat')))
                await writer.drain()
                await asyncio.sleep(0.05)
                writer.transport.abort()
                raise OSError('reset by the script')

            return serve

        first = []

        async def case(test_fleet):
            for engine in engines:
                engine.script.append(break_off(engine))
            # Whichever engine is used second must serve normally.
            sending = asyncio.create_task(test_fleet.send('/stream/a'))
            while not (engines[0].requests or engines[1].requests):
                await asyncio.sleep(0.001)
            first.extend(e for e in engines if e.requests)
            for engine in engines:
                engine.script.clear()
            status, _, body = await sending
            self.assertEqual(
                (200, [1, 2, 3]), (status, _fleets.list_ids(body))
            )

        self.run_fleet(case, *engines)
        (other,) = [e for e in engines if e is not first[0]]
        request, _ = other.requests[0]
        resumed = standins.read_header(request, 'last-event-id')
        self.assertEqual('2', resumed)

    def test_interrupted_non_resumable_stream_is_aborted(self):
        engine = _fleets.create_engine('gpu-1', layers=(0, 8))

        async def break_off(request, http, writer):
            await engine.send_stream(request, http, writer, upto=2)
            await asyncio.sleep(0.05)
            writer.transport.abort()
            raise OSError('reset by the script')

        engine.script.append(break_off)

        async def case(test_fleet):
            cut = h11.RemoteProtocolError
            parts = ('X-Sniperudder-Prefix-Hash', 'aa:40,bb:10,cc:9')
            with testtools.ExpectedException(cut):
                await test_fleet.send('/once/a', headers=[parts])
            (line,) = test_fleet.journal.list_events('request:interrupted')
            parts = [key for key in line['keys'] if key.startswith('part:')]
            self.assertEqual(['part:aa', 'part:bb'], parts)

        self.run_fleet(case, engine)
        self.assertEqual(1, len(engine.requests))

    def test_stream_that_ends_within_event_is_aborted(self):
        engine = _fleets.create_engine('gpu-1', layers=(0, 8))

        async def end_early(request, http, writer):
            await engine.send_stream(request, http, writer, upto=2)
            writer.write(
                http.send(h11.Data(data=b'id: 3\ndat'))
                + http.send(h11.EndOfMessage())
            )

        engine.script.append(end_early)

        async def case(test_fleet):
            with testtools.ExpectedException(h11.RemoteProtocolError):
                await test_fleet.send('/once/a')

        self.run_fleet(case, engine)

    def test_repeated_events_are_not_forwarded(self):
        # The engine that resumes a stream ignores the last event id and starts
        # the stream from the beginning.
        engines = [
            _fleets.create_engine('gpu-1', layers=(0, 8)),
            _fleets.create_engine('gpu-2', layers=(0, 8)),
        ]

        def serve_from_start(engine):
            async def serve(request, http, writer):
                headers = [
                    pair
                    for pair in request.headers
                    if pair[0] != b'last-event-id'
                ]
                restarted = h11.Request(
                    method=request.method,
                    target=request.target,
                    headers=headers,
                )
                await engine.send_stream(restarted, http, writer, upto=2)
                await asyncio.sleep(0.05)
                writer.transport.abort()
                raise OSError('reset by the script')

            return serve

        for engine in engines:
            engine.script.append(serve_from_start(engine))

        async def case(test_fleet):
            with testtools.ExpectedException(h11.RemoteProtocolError):
                await test_fleet.send('/stream/a')
            (end,) = test_fleet.journal.list_events('request:end')
            self.assertIn('event 1 after 2', end['sends'][1])

        self.run_fleet(case, *engines)

    def test_stalled_stream_is_rerouted_around_dead_stage(self):
        first = _fleets.create_engine('gpu-1', 'half', (0, 4))
        dead = _fleets.create_engine('gpu-2', 'half', (4, 8))
        spare = _fleets.create_engine('gpu-3', 'half', (4, 8))
        # The remote data centre costs more and is not chosen initially.
        spare.data_centre = 'south'

        async def stall(request, http, writer):
            await first.send_stream(request, http, writer, upto=1)
            first.stalled = [{'id': 'r-1', 'address': dead.address}]
            while not any(o['operation'] == 'repath' for o in first.orders):
                await asyncio.sleep(0.01)
            data = b'id: 2\ndata: 2\n\n'
            writer.write(http.send(h11.Data(data=data)))
            writer.write(http.send(h11.EndOfMessage()))

        first.script.append(stall)

        async def case(test_fleet):
            status, _, body = await test_fleet.send('/stream/a')
            self.assertEqual((200, [1, 2]), (status, _fleets.list_ids(body)))

        self.run_fleet(case, first, dead, spare)
        (order,) = [o for o in first.orders if o['operation'] == 'repath']
        self.assertEqual('r-1', order['id'])
        self.assertEqual(
            f'{first.address}=0-4,{spare.address}=4-8', order['path']
        )


class FailingEngineTest(testtools.TestCase):
    """Engines fail some of their requests although they appear healthy."""

    def run_engines(self, case):
        """Run a test case with two engines that each hold all layers."""
        engines = [
            _fleets.create_engine('gpu-1', layers=(0, 8)),
            _fleets.create_engine('gpu-2', layers=(0, 8)),
        ]

        async def run():
            engine = standins.make_engine(accelerators=_fleets.ACCELERATORS)
            async with _fleets.run_fleet(
                *engines, engine=engine
            ) as test_fleet:
                await test_fleet.await_placed()
                await case(test_fleet, engines)

        asyncio.run(run())

    def test_stream_is_retried_after_error(self):
        async def case(test_fleet, engines):
            first = []

            def fail_first(engine):
                async def serve(request, http, writer):
                    if first:
                        await engine.send_stream(request, http, writer)
                    else:
                        first.append(engine)
                        await engine.fail()(request, http, writer)

                return serve

            for engine in engines:
                engine.script.append(fail_first(engine))
            status, _, body = await test_fleet.send('/stream/a')
            self.assertEqual(
                (200, [1, 2, 3]), (status, _fleets.list_ids(body))
            )

        self.run_engines(case)

    def test_error_of_non_repeatable_stream_is_forwarded(self):
        async def case(test_fleet, engines):
            for engine in engines:
                engine.script.append(engine.fail())
            status, _, body = await test_fleet.send('/once/a')
            self.assertEqual((500, b'bad'), (status, body))

        self.run_engines(case)

    def test_error_after_first_events_aborts_the_stream(self):
        async def case(test_fleet, engines):
            sends = []

            def break_then_fail(engine):
                async def serve(request, http, writer):
                    sends.append(engine)
                    if len(sends) == 1:
                        await engine.send_stream(request, http, writer, upto=2)
                        await asyncio.sleep(0.05)
                        writer.transport.abort()
                        raise OSError('reset by the script')
                    await engine.fail()(request, http, writer)

                return serve

            for engine in engines:
                engine.script.extend([break_then_fail(engine)] * 2)
            with testtools.ExpectedException(h11.RemoteProtocolError):
                await test_fleet.send('/stream/a')
            self.assertEqual(
                [], test_fleet.journal.list_events('instance:fault')
            )

        self.run_engines(case)

    def test_stream_without_event_ids_is_not_resumed(self):
        async def case(test_fleet, engines):
            async def break_off(request, http, writer):
                headers = [
                    ('Transfer-Encoding', 'chunked'),
                    *standins.make_seal(request),
                ]
                writer.write(
                    http.send(h11.Response(status_code=200, headers=headers))
                    + http.send(h11.Data(data=b'data: 1\n\n'))
                )
                await writer.drain()
                await asyncio.sleep(0.05)
                writer.transport.abort()
                raise OSError('reset by the script')

            for engine in engines:
                engine.script.append(break_off)
            with testtools.ExpectedException(h11.RemoteProtocolError):
                await test_fleet.send('/stream/a')
            self.assertEqual(1, sum(len(e.requests) for e in engines))

        self.run_engines(case)


class _UnframedStreams(testtools.TestCase):
    """Two engines that send streams with neither a length nor chunks."""

    def run_engines(self, case):
        async def run():
            engine = standins.make_engine(accelerators=_fleets.ACCELERATORS)
            engines = [
                _fleets.create_engine(f'gpu-{number}', layers=(0, 8))
                for number in range(2)
            ]
            async with _fleets.run_fleet(
                *engines, engine=engine
            ) as test_fleet:
                await test_fleet.await_placed()
                await case(test_fleet, engines)

        asyncio.run(run())

    def script(self, engines, rest, end):
        """Send two events and a rest without framing, then end."""

        async def serve(request, http, writer):
            for engine in engines:
                # The other engine resumes the stream as usual.
                engine.script.clear()
            seal = standins.make_seal(request)
            head = ''.join(f'{name}: {value}\r\n' for name, value in seal)
            writer.write(f'HTTP/1.1 200 OK\r\n{head}\r\n'.encode())
            writer.write(b'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n' + rest)
            await writer.drain()
            await asyncio.sleep(0.05)
            await end(writer)
            raise OSError('end of the script')

        for engine in engines:
            engine.script.append(serve)

    async def close(self, writer):
        """End the connection as a whole answer does."""
        writer.write_eof()
        await asyncio.sleep(0.05)

    async def reset(self, writer):
        """Reset the connection."""
        writer.transport.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        writer.transport.abort()


class UnframedStreamTest(_UnframedStreams):
    """A stream with neither a length nor chunks ends with its connection."""

    def test_stream_that_ends_with_its_connection_is_complete(self):
        async def case(test_fleet, engines):
            self.script(engines, b'id: 3\ndata: 3\n\n', self.close)
            status, _, body = await test_fleet.send('/once/a')
            self.assertEqual(
                (200, [1, 2, 3]), (status, _fleets.list_ids(body))
            )

        self.run_engines(case)

    # Guards against: a stream with a second answer behind it ended as complete
    # without its last event.
    def test_second_answer_in_the_same_read_takes_no_event_away(self):
        head = b'HTTP/1.1 200 OK\r\nX-Sniperudder-Request-Id: r-1\r\n\r\n'
        event = b'id: 3\ndata: 3\n\n'
        extra = event + head + b'id: 1\ndata: 1\n\n' + event

        async def case(test_fleet, engines):
            self.script(engines, extra, self.close)
            status, _, body = await test_fleet.send('/stream/a')
            self.assertEqual(
                (200, [1, 2, 3]), (status, _fleets.list_ids(body))
            )
            self.script(engines, extra, self.close)
            with testtools.ExpectedException(h11.RemoteProtocolError):
                await test_fleet.send('/once/a')

        self.run_engines(case)

    def test_stream_that_ends_within_an_event_is_resumed(self):
        async def case(test_fleet, engines):
            self.script(engines, b'id: 3\nda', self.close)
            status, _, body = await test_fleet.send('/stream/a')
            self.assertEqual(
                (200, [1, 2, 3]), (status, _fleets.list_ids(body))
            )
            self.assertNotIn(b'da\n', body.replace(b'data', b''))

        self.run_engines(case)

    def test_stream_that_ends_within_an_event_does_not_look_complete(self):
        async def case(test_fleet, engines):
            self.script(engines, b'id: 3\nda', self.close)
            with testtools.ExpectedException(h11.RemoteProtocolError):
                await test_fleet.send('/once/a')

        self.run_engines(case)

    def test_stream_that_is_reset_does_not_look_complete(self):
        async def case(test_fleet, engines):
            self.script(engines, b'', self.reset)
            with testtools.ExpectedException(h11.RemoteProtocolError):
                await test_fleet.send('/once/a')

        self.run_engines(case)

    # Guards against: a stream was passed on as complete although its engine
    # had crashed, which ends the connection as well.
    def test_stream_that_ends_with_its_engine_is_resumed(self):
        async def case(test_fleet, engines):
            async def crash(writer):
                for engine in engines:
                    if engine.requests:
                        engine.refuse_connections()
                await self.close(writer)

            self.script(engines, b'', crash)
            status, _, body = await test_fleet.send('/stream/a')
            self.assertEqual(
                (200, [1, 2, 3]), (status, _fleets.list_ids(body))
            )
            (line,) = test_fleet.journal.list_events('request:interrupted')
            self.assertIn('crashed', line['reason'])

        self.run_engines(case)


class LeavingUnframedStreamTest(_UnframedStreams):
    """The engine of a stream without a length leaves while it sends."""

    def leave(self, test_fleet, engines, ends, is_removed=False):
        """Return an end of the script: leave, and end the process or not."""

        async def end(writer):
            (engine,) = [engine for engine in engines if engine.requests]
            if is_removed:
                test_fleet.store.put('servers', engine.id, None)
            else:
                engine.list_in(test_fleet.store, 'draining')
            await asyncio.sleep(0.4)
            if ends:
                engine.refuse_connections()
                for other in list(engine._readers):
                    if other is not writer:
                        other.transport.abort()
            await self.close(writer)

        return end

    # Guards against: a stream of an engine that had announced its leaving and
    # was then gone ended as complete midway.
    def test_stream_is_resumed_if_the_engine_is_gone(self):
        async def case(test_fleet, engines):
            end = self.leave(test_fleet, engines, ends=True)
            self.script(engines, b'', end)
            status, _, body = await test_fleet.send('/stream/a')
            self.assertEqual(
                (200, [1, 2, 3]), (status, _fleets.list_ids(body))
            )
            crashes = test_fleet.journal.list_events('endpoint:crashed')
            self.assertEqual([], crashes)

        self.run_engines(case)

    def test_stream_that_cannot_be_resumed_does_not_look_complete(self):
        async def case(test_fleet, engines):
            end = self.leave(test_fleet, engines, ends=True)
            self.script(engines, b'', end)
            with testtools.ExpectedException(h11.RemoteProtocolError):
                await test_fleet.send('/once/a')

        self.run_engines(case)

    def test_stream_is_resumed_if_the_engine_is_no_longer_listed(self):
        async def case(test_fleet, engines):
            end = self.leave(test_fleet, engines, False, is_removed=True)
            self.script(engines, b'', end)
            status, _, body = await test_fleet.send('/stream/a')
            self.assertEqual(
                (200, [1, 2, 3]), (status, _fleets.list_ids(body))
            )

        self.run_engines(case)

    # Guards against: the kernel accepted a connection for a process that had
    # ended, which was taken for a sign of life.
    def test_accepted_connection_is_no_sign_of_life(self):
        async def case(test_fleet, engines):
            async def end(writer):
                (engine,) = [engine for engine in engines if engine.requests]
                engine.list_in(test_fleet.store, 'draining')
                await asyncio.sleep(0.4)

                async def reset(request, body, http, writer):
                    writer.transport.abort()
                    raise OSError('reset by the script')

                engine.respond = reset
                await self.close(writer)

            self.script(engines, b'', end)
            status, _, body = await test_fleet.send('/stream/a')
            self.assertEqual(
                (200, [1, 2, 3]), (status, _fleets.list_ids(body))
            )

        self.run_engines(case)

    def test_stream_is_complete_if_the_engine_still_runs(self):
        async def case(test_fleet, engines):
            end = self.leave(test_fleet, engines, ends=False)
            self.script(engines, b'id: 3\ndata: 3\n\n', end)
            status, _, body = await test_fleet.send('/once/a')
            self.assertEqual(
                (200, [1, 2, 3]), (status, _fleets.list_ids(body))
            )

        self.run_engines(case)
