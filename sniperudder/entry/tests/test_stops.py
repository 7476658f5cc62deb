"""Tests of planned stops under load."""

import asyncio
import contextlib
import dataclasses
import socket
import threading
import time
import unittest.mock

import testtools

from sniperudder.entry import _entry
from sniperudder.entry.tests import _fleets
from standins import fleet as standins

_STREAM_S = 0.3
_RECORDED = 8
_LONG_STREAM_S = 2.4
_GET = (
    b'GET /safe/a HTTP/1.1\r\nHost: shop.example\r\n'
    b'Authorization: Token key-1\r\nX-Sniperudder-Request-Id: '
)
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

    # Guards against: a stopping instance began a stream on a kept connection
    # long after the signal, and cut it because it took longer than most.
    def test_stream_that_may_be_cut_is_refused_after_listening(self):
        async def case(test_fleet):
            test_fleet.instance._forwarder.takes_estimated = False
            status, _, _ = await test_fleet.send('/stream/a')
            self.assertEqual(503, status)
            status, _, _ = await test_fleet.send('/unsafe/a', wait_ms=500)
            self.assertEqual(200, status)

        # The streams end in time, as the one before, but need not.
        self.assertEqual((0, 1), self.run_beside_stop(case, 4 * _STREAM_S))

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
        engine.events, engine.event_s = 12, _LONG_STREAM_S / 12

        async def run():
            profile = standins.make_engine(accelerators=_fleets.ACCELERATORS)
            async with _fleets.run_fleet(
                engine, desk, engine=profile
            ) as test_fleet:
                await test_fleet.await_placed()
                host, _, port = test_fleet.callers.rpartition(':')
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(_GET + b'r-7\r\n\r\n')
                first = await reader.readuntil(b'/safe/a')
                stream = asyncio.create_task(
                    test_fleet.send('/stream/a', wait_ms=9_000)
                )
                while not engine.requests:
                    await asyncio.sleep(0.01)
                stopping = asyncio.create_task(test_fleet.instance.stop())
                await asyncio.sleep(_IDLE_S)
                writer.write(_GET + b'r-8\r\n\r\n')
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


class HeldLoopTest(testtools.TestCase):
    """A request arrives while the loop is held around a step of a stop."""

    def send_while_held(self, hold_at_s, accept_s, grace_s, beside=False):
        """Return the response to a request that is sent while it is held.

        Parameters
        ----------
        hold_at_s : float
            When the loop is held for 0.2 s, from the begin of the stop.
        accept_s, grace_s : float
            End of accepting connections and of the stop.
        beside : bool
            Whether another caller holds a connection without using it.
        """
        received = []

        def send(address, is_sent):
            with socket.create_connection(address) as client:
                client.settimeout(2.0)
                client.sendall(_GET + b'r-9\r\n\r\n')
                is_sent.set()
                with contextlib.suppress(OSError):
                    while data := client.recv(65_536):
                        received.append(data)

        async def hold(address):
            await asyncio.sleep(hold_at_s)
            is_sent = threading.Event()
            thread = threading.Thread(target=send, args=(address, is_sent))
            thread.start()
            is_sent.wait()
            time.sleep(0.2)
            return thread

        async def run():
            async with _fleets.run_fleet(_fleets.create_desk()) as test_fleet:
                instance = test_fleet.instance
                bounds = dataclasses.replace(
                    instance._settings.bounds, grace_s=grace_s
                )
                instance._settings = dataclasses.replace(
                    instance._settings, bounds=bounds
                )
                host, _, port = test_fleet.callers.rpartition(':')
                address = host, int(port)
                with contextlib.ExitStack() as stack:
                    if beside:
                        stack.enter_context(socket.create_connection(address))
                    await asyncio.sleep(0.1)
                    holding = asyncio.create_task(hold(address))
                    await instance.stop()
                    return await holding

        with unittest.mock.patch.object(
            _entry, '_ACCEPT_AFTER_SIGTERM_S', accept_s
        ):
            thread = asyncio.run(run())
        thread.join()
        return b''.join(received)

    # Guards against: a connection that the loop had accepted in the turn in
    # which listening ended was not known yet, and the process ended.
    def test_at_the_end_of_listening(self):
        for beside in (False, True):
            received = self.send_while_held(0.22, 0.3, 4.0, beside)
            self.assertIn(b'HTTP/1.1 ', received, beside)

    # Guards against: what arrived while the loop was held past the end of the
    # grace period was discarded.
    def test_at_the_end_of_the_grace_period(self):
        received = self.send_while_held(0.68, 0.9, 1.0, beside=True)
        self.assertIn(b'HTTP/1.1 503', received)

    # Guards against: a request that arrived in the turn in which the grace
    # period ended, on a connection that was kept, got no response.
    def test_in_the_last_turn_of_the_grace_period(self):
        async def run():
            async with _fleets.run_fleet(_fleets.create_desk()) as test_fleet:
                instance = test_fleet.instance
                bounds = dataclasses.replace(
                    instance._settings.bounds, grace_s=0.5
                )
                instance._settings = dataclasses.replace(
                    instance._settings, bounds=bounds
                )
                host, _, port = test_fleet.callers.rpartition(':')
                reader, writer = await asyncio.open_connection(host, port)
                await asyncio.sleep(0.1)
                stop_listening = instance._caller_server.stop_listening

                async def hold():
                    await stop_listening()
                    writer.write(_GET + b'r-9\r\n\r\n')
                    time.sleep(0.5)

                with unittest.mock.patch.object(
                    instance._caller_server, 'stop_listening', hold
                ):
                    await instance.stop()
                return await reader.read()

        with unittest.mock.patch.object(
            _entry, '_ACCEPT_AFTER_SIGTERM_S', 0.1
        ):
            self.assertIn(b'HTTP/1.1 503', asyncio.run(run()))
