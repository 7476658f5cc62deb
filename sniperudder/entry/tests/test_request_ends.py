"""Tests of how requests end: whole, or cut for a reason that is recorded."""

import asyncio
import unittest.mock

import h11
import testtools

from sniperudder.entry.tests import _fleets
from sniperudder import routing
from standins import fleet as standins


class ResponseWithoutBodyTest(testtools.TestCase):
    def send_to_script(self, script, method):
        """Send a request to an endpoint that refuses further connections."""

        async def run():
            desk = _fleets.create_desk()
            async with _fleets.run_fleet(desk) as test_fleet:
                await test_fleet.send('/safe/a')
                desk.refuse_connections()
                desk.script.append(script)
                # A connection carries no id twice.
                other_id = [('X-Sniperudder-Request-Id', 'r-2')]
                return await test_fleet.send(
                    '/safe/a', method=method, body=b'', headers=other_id
                )

        return asyncio.run(run())

    def respond(self, status, headers=()):
        """Return a script entry: send a head, and close the connection."""

        async def serve(request, http, writer):
            lines = [f'HTTP/1.1 {status} X']
            sealed = [*standins.make_seal(request), *headers]
            lines += [f'{name}: {value}' for name, value in sealed]
            text = '\r\n'.join(lines) + '\r\n\r\n'
            writer.write(text.encode())
            await writer.drain()
            raise OSError('closed by the script')

        return serve

    def test_length_in_a_response_to_head_is_kept(self):
        script = self.respond(200, [('Content-Length', '77')])
        status, headers, body = self.send_to_script(script, 'HEAD')
        self.assertEqual((200, b''), (status, body))
        self.assertEqual('77', headers['content-length'])

    # Guards against: a response without a body was held for one that only the
    # end of its connection completes, and failed where its endpoint left.
    def test_response_without_a_body_is_complete(self):
        for method, status in (('GET', 204), ('GET', 304), ('HEAD', 200)):
            outcome = self.send_to_script(self.respond(status), method)
            self.assertEqual((status, b''), (outcome[0], outcome[2]), method)


class RefusalTest(testtools.TestCase):
    # Guards against: a refusal whose body did not arrive held the request to
    # its deadline, although its head tells that it was not run.
    def test_refusal_without_its_body_is_a_refusal(self):
        desks = [_fleets.create_desk(f'desk-{i}') for i in (1, 2)]

        async def hang(request, http, writer):
            headers = [
                ('Content-Length', '5'),
                ('X-Sniperudder-Not-Executed', '1'),
                *standins.make_seal(request),
            ]
            head = h11.Response(status_code=503, headers=headers)
            writer.write(http.send(head))
            await asyncio.sleep(3)

        async def run():
            async with _fleets.run_fleet(*desks) as test_fleet:
                for desk in desks:
                    desk.script.append(hang)
                sending = asyncio.create_task(test_fleet.send('/unsafe/a'))
                while not any(desk.requests for desk in desks):
                    await asyncio.sleep(0.001)
                for desk in desks:
                    desk.script.clear()
                status, _, _ = await sending
                self.assertEqual(200, status)

        asyncio.run(run())


class NotRunTest(testtools.TestCase):
    """A request that no endpoint has run is refused as such."""

    def send(self, target, count, wait_ms=4_000):
        """Send a request where a number of endpoints refuse it.

        Returns
        -------
        (int, int)
            Status and code of the response.
        """
        endpoints = []
        for number in range(count):
            name = f'gpu-{number}'
            endpoints.append(_fleets.create_engine(name, layers=(0, 8)))
            endpoints.append(_fleets.create_desk(f'desk-{number}'))

        async def run():
            profile = standins.make_engine(accelerators=_fleets.ACCELERATORS)
            async with _fleets.run_fleet(
                *endpoints, engine=profile
            ) as test_fleet:
                for endpoint in endpoints:
                    endpoint.script.extend(
                        endpoint.refuse() for _ in range(60)
                    )
                response = await test_fleet.send(target, wait_ms=wait_ms)
                return response[0], _fleets.read_body(response)['code']

        return asyncio.run(run())

    # Guards against: a request that no endpoint had run was answered as one
    # that may have run, and its caller could not send it again.
    def test_request_that_was_not_run_is_refused_as_such(self):
        for target in ('/stream/a', '/once/a', '/safe/a', '/unsafe/a'):
            for count, code in ((0, 203), (1, 201)):
                outcome = self.send(target, count)
                self.assertEqual((503, code), outcome, (target, count))

    # Guards against: the same where the time of the request ended first.
    def test_request_that_was_not_run_in_its_time_is_refused_as_such(self):
        for target in ('/stream/a', '/safe/a'):
            outcome = self.send(target, 5, wait_ms=100)
            self.assertEqual((503, 206), outcome, target)


class CutRecordTest(testtools.TestCase):
    """The id of a cut request leads to its reason, in log and metrics."""

    def run_case(self, case):
        async def run():
            engine = _fleets.create_engine('gpu-1', layers=(0, 8))
            engine.script.append(self.hang_after_event(engine))
            profile = standins.make_engine(accelerators=_fleets.ACCELERATORS)
            async with _fleets.run_fleet(engine, engine=profile) as test_fleet:
                await case(test_fleet, engine)
                await test_fleet.await_event('request:cut')
                cuts = test_fleet.journal.list_events('request:cut')
                ends = test_fleet.journal.list_events('request:end')
                _, _, text = await standins.send_request(
                    test_fleet.metrics, '/metrics', 'GET', b''
                )
                return cuts, ends[-1]['code'], text.decode()

        return asyncio.run(run())

    def hang_after_event(self, engine):
        async def serve(request, http, writer):
            await engine.send_stream(request, http, writer, upto=1)
            await asyncio.Event().wait()

        return serve

    async def send_and_expect_cut(self, test_fleet, **options):
        try:
            await test_fleet.send('/stream/a', **options)
        except (h11.RemoteProtocolError, ConnectionResetError):
            return
        self.fail('the response was complete')

    def assert_recorded(self, outcome, reason, code):
        cuts, end_code, text = outcome
        self.assertEqual([{'reason': reason}], cuts)
        self.assertEqual(code, end_code)
        self.assertIn(f'cut:{reason}', text)

    def test_time_of_the_request_ends(self):
        async def case(test_fleet, engine):
            await self.send_and_expect_cut(test_fleet, wait_ms=600)

        self.assert_recorded(self.run_case(case), 'out of time', 303)

    def test_instance_stops(self):
        async def case(test_fleet, engine):
            sending = asyncio.create_task(
                self.send_and_expect_cut(test_fleet, wait_ms=9_000)
            )
            while not engine.requests:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            test_fleet.instance._caller_server.close()
            await sending

        self.assert_recorded(self.run_case(case), 'stopped', 307)

    def test_endpoint_breaks_off(self):
        async def case(test_fleet, engine):
            sending = asyncio.create_task(
                self.send_and_expect_cut(test_fleet, wait_ms=9_000)
            )
            while not engine.requests:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            await engine.stop()
            await sending

        self.assert_recorded(self.run_case(case), 'broken off', 306)


class BreakTest(testtools.TestCase):
    """An engine breaks a stream off, and another one is sound."""

    def run_case(self, events, change=None, target='/stream/a'):
        """Send a stream; return its status and the ids of its events.

        Parameters
        ----------
        events : int
            Number of events after which the first engine breaks off.
        change : callable, optional
            Coroutine function of the fleet, run once the stream was sent.
        target : str
        """
        names = 'gpu-1', 'gpu-2'
        engines = [
            _fleets.create_engine(name, layers=(0, 8)) for name in names
        ]

        def break_off(engine):
            async def serve(request, http, writer):
                if events:
                    await engine.send_stream(
                        request, http, writer, upto=events
                    )
                await asyncio.sleep(0.05)
                writer.transport.abort()
                raise OSError('reset by the script')

            return serve

        async def run():
            profile = standins.make_engine(accelerators=_fleets.ACCELERATORS)
            async with _fleets.run_fleet(
                *engines, engine=profile
            ) as test_fleet:
                for engine in engines:
                    engine.script.append(break_off(engine))
                sending = asyncio.create_task(
                    test_fleet.send(target, wait_ms=4_000)
                )
                while not any(engine.requests for engine in engines):
                    await asyncio.sleep(0.001)
                for engine in engines:
                    engine.script.clear()
                if change is not None:
                    await change(test_fleet)
                status, _, body = await sending
                return status, _fleets.list_ids(body)

        return asyncio.run(run())

    # Guards against: a stream of which nothing had been delivered yet was
    # failed although another chain was free.
    def test_stream_that_breaks_before_its_first_event_is_sent_again(self):
        self.assertEqual((200, [1, 2, 3]), self.run_case(0))

    # Guards against: a stream that an engine had run was refused as not run,
    # and its caller sent it again.
    def test_stream_that_cannot_be_sent_again_may_have_run(self):
        self.assertEqual((502, []), self.run_case(0, target='/once/a'))

    # Guards against: a stream that had begun was cut at the first refusal of a
    # retry, although the budget had room a moment later.
    def test_stream_that_breaks_waits_for_the_budget_of_retries(self):
        async def exhaust(test_fleet):
            with unittest.mock.patch.object(
                routing.RetryBudget, 'spend'
            ) as spend:
                spend.return_value = False
                await asyncio.sleep(0.6)
                self.assertTrue(spend.called)

        self.assertEqual((200, [1, 2, 3]), self.run_case(1, exhaust))
