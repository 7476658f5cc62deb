"""Tests of plain services with a fleet on the loopback interface."""

import asyncio

import h11
import testtools

from sniperudder.entry.tests import _fleets
from standins import fleet as standins


class PlainRequestTest(testtools.TestCase):
    def run_fleet(self, case, *endpoints, **options):
        async def run():
            async with _fleets.run_fleet(*endpoints, **options) as test_fleet:
                await case(test_fleet)

        asyncio.run(run())

    def test_request_is_forwarded_unchanged(self):
        desk = _fleets.create_desk()

        async def case(test_fleet):
            status, headers, body = await test_fleet.send(
                '/unsafe/a?b=c', body=b'order', headers=[('X-More', 'kept')]
            )
            self.assertEqual(200, status)
            self.assertEqual(b'desk-1 /unsafe/a?b=c', body)
            self.assertEqual('seal', headers['x-sniperudder-response-seal'])

        self.run_fleet(case, desk)
        request, body = desk.requests[0]
        self.assertEqual(b'order', body)
        read = standins.read_header
        self.assertEqual('kept', read(request, 'x-more'))
        self.assertEqual('studio', read(request, 'x-sniperudder-tenant'))
        self.assertIsNone(read(request, 'authorization'))
        expected = read(request, 'x-sniperudder-expect-instance')
        self.assertEqual('desk-1', expected)
        left = read(request, 'x-sniperudder-request-deadline')
        self.assertTrue(1_000 < int(left) <= 1_500, left)

    def test_caller_cannot_set_its_organisation(self):
        desk = _fleets.create_desk()

        async def case(test_fleet):
            forged = [('X-Sniperudder-Tenant', 'another')]
            await test_fleet.send('/unsafe/a', headers=forged)

        self.run_fleet(case, desk)
        request, _ = desk.requests[0]
        named = [v for n, v in request.headers if n.endswith(b'-tenant')]
        self.assertEqual([b'studio'], named)

    def test_unknown_route_and_key_are_rejected(self):
        async def case(test_fleet):
            status, _, _ = await test_fleet.send('/nowhere/a')
            self.assertEqual(404, status)
            wrong = [('Authorization', 'Token key-2')]
            status, _, _ = await test_fleet.send('/safe/a', headers=wrong)
            self.assertEqual(401, status)

        self.run_fleet(case, _fleets.create_desk())

    def test_safe_request_is_retried_after_error(self):
        first, second = (
            _fleets.create_desk('desk-1'),
            _fleets.create_desk('desk-2'),
        )
        for desk in (first, second):
            desk.script.append(desk.fail())

        async def case(test_fleet):
            # Each endpoint fails once; the second failure is returned.
            status, _, body = await test_fleet.send('/safe/a')
            self.assertEqual((500, b'bad'), (status, body))
            status, _, _ = await test_fleet.send('/safe/a')
            self.assertEqual(200, status)

        self.run_fleet(case, first, second)
        self.assertEqual(3, len(first.requests) + len(second.requests))

    def test_unsafe_request_never_runs_twice(self):
        first, second = (
            _fleets.create_desk('desk-1'),
            _fleets.create_desk('desk-2'),
        )
        for desk in (first, second):
            desk.script.append(desk.reset())

        async def case(test_fleet):
            status, _, _ = await test_fleet.send('/unsafe/a')
            self.assertEqual(502, status)

        # Routes may allow several attempts for unsafe requests as well. A
        # second attempt is made only if the first endpoint did not run the
        # request.
        for max_attempts in (1, 3):
            configuration = standins.make_configuration()
            for route in configuration['routes']:
                route['max_attempts'] = max_attempts
            for desk in (first, second):
                desk.requests.clear()
                desk.script.clear()
                desk.script.append(desk.reset())
            self.run_fleet(case, first, second, configuration=configuration)
            self.assertEqual(1, len(first.requests) + len(second.requests))

    def test_request_that_may_have_run_is_not_reported_as_not_run(self):
        # One endpoint resets the connection; all others are full.
        desks = _fleets.create_desk('desk-1'), _fleets.create_desk('desk-2')
        responses = []

        def create_response(desk):
            async def serve(request, http, writer):
                responses.append(
                    desk.reset() if not responses else desk.refuse()
                )
                await responses[-1](request, http, writer)

            return serve

        for desk in desks:
            desk.script.extend([create_response(desk)] * 20)

        async def case(test_fleet):
            status, _, _ = await test_fleet.send('/safe/a')
            self.assertEqual(502, status)

        self.run_fleet(case, *desks)
        self.assertGreater(len(responses), 1)

    def test_rejected_unsafe_request_is_reported_as_not_run(self):
        desk = _fleets.create_desk()
        desk.script.extend(desk.refuse() for _ in range(20))

        async def case(test_fleet):
            status, headers, _ = await test_fleet.send('/unsafe/a')
            self.assertEqual(503, status)
            self.assertIn('retry-after', headers)

        self.run_fleet(case, desk)
        self.assertEqual([], desk.requests)

    def test_rejected_unsafe_request_is_sent_to_another_endpoint(self):
        first, second = (
            _fleets.create_desk('desk-1'),
            _fleets.create_desk('desk-2'),
        )
        for desk in (first, second):
            desk.script.append(desk.refuse())

        async def case(test_fleet):
            status, _, _ = await test_fleet.send('/unsafe/a')
            self.assertEqual(200, status)

        self.run_fleet(case, first, second)
        self.assertEqual(1, len(first.requests) + len(second.requests))

    def test_response_to_another_request_is_ignored(self):
        desk = _fleets.create_desk()

        async def send_late(request, http, writer):
            late = (
                b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n'
                b'X-Sniperudder-Request-Id: r-0\r\n'
                b'X-Sniperudder-Response-Seal: s\r\n\r\nwrong'
            )
            writer.write(late)
            await desk.respond_normally(request, http, writer)

        desk.script.append(send_late)

        async def case(test_fleet):
            response = await test_fleet.send('/unsafe/a')
            self.assertEqual((200, b'desk-1 /unsafe/a'), response[::2])

        self.run_fleet(case, desk)

    def test_truncated_response_is_an_error(self):
        desk = _fleets.create_desk()

        async def cut(request, http, writer):
            headers = [('Content-Length', '100'), *standins.make_seal(request)]
            writer.write(
                http.send(h11.Response(status_code=200, headers=headers))
                + http.send(h11.Data(data=b'half'))
            )

        desk.script.append(cut)

        async def case(test_fleet):
            status, _, _ = await test_fleet.send('/unsafe/a')
            self.assertEqual(502, status)

        self.run_fleet(case, desk)

    def test_response_without_seal_is_an_error(self):
        desk = _fleets.create_desk()

        async def send_bare(request, http, writer):
            headers = [
                ('Content-Length', '2'),
                standins.make_seal(request)[0],
            ]
            writer.write(
                http.send(h11.Response(status_code=200, headers=headers))
                + http.send(h11.Data(data=b'ok'))
                + http.send(h11.EndOfMessage())
            )

        desk.script.append(send_bare)

        async def case(test_fleet):
            status, _, _ = await test_fleet.send('/unsafe/a')
            self.assertEqual(502, status)

        self.run_fleet(case, desk)

    def test_route_timeout_limits_wait(self):
        desk = _fleets.create_desk()

        async def hang(request, http, writer):
            await asyncio.sleep(5)

        desk.script.append(hang)

        async def case(test_fleet):
            began = asyncio.get_running_loop().time()
            status, _, _ = await test_fleet.send('/unsafe/a', wait_ms=30_000)
            took_s = asyncio.get_running_loop().time() - began
            self.assertEqual(504, status)
            self.assertTrue(1.9 < took_s < 2.5, took_s)

        self.run_fleet(case, desk)

    def test_request_without_endpoint_is_rejected_immediately(self):
        async def case(test_fleet):
            began = asyncio.get_running_loop().time()
            status, headers, _ = await test_fleet.send('/unsafe/a')
            took_s = asyncio.get_running_loop().time() - began
            self.assertEqual(503, status)
            self.assertIn('retry-after', headers)
            self.assertTrue(took_s < 0.1, took_s)

        self.run_fleet(case)

    def test_caller_disconnect_cancels_the_request(self):
        desk = _fleets.create_desk()
        ended = []

        async def hang(request, http, writer):
            while not desk.has_left(writer):
                await asyncio.sleep(0.01)
            ended.append(asyncio.get_running_loop().time())

        desk.script.append(hang)

        async def case(test_fleet):
            loop = asyncio.get_running_loop()
            sending = asyncio.create_task(test_fleet.send('/safe/a'))
            while not desk.requests:
                await asyncio.sleep(0.01)
            left_at = loop.time()
            sending.cancel()
            while not ended and loop.time() < left_at + 2:
                await asyncio.sleep(0.01)
            # Users' requirement for cancelling the work of a disconnected
            # caller.
            self.assertLess(ended[0] - left_at, 0.5)

        self.run_fleet(case, desk)


class CrashingRequestTest(testtools.TestCase):
    def test_request_that_crashes_endpoints_is_stopped(self):
        # A caller keeps retrying a request that crashes every endpoint it
        # reaches.
        desks = [_fleets.create_desk(f'desk-{number}') for number in range(6)]

        async def run():
            async with _fleets.run_fleet(*desks) as test_fleet:

                def crash(desk):
                    async def serve(request, http, writer):
                        test_fleet.store.put('servers', desk.id, None)
                        writer.transport.abort()
                        raise OSError('crash of the script')

                    return serve

                for desk in desks:
                    desk.script.append(crash(desk))
                statuses = []
                for _ in range(4):
                    status, _, _ = await test_fleet.send(
                        '/safe/a', body=b'bad'
                    )
                    statuses.append(status)
                    # Meanwhile, the store reports the ended runs.
                    await asyncio.sleep(0.5)
                for desk in desks:
                    desk.script.clear()
                good, _, _ = await test_fleet.send('/safe/a', body=b'good')
                journal = test_fleet.journal
                interrupted = journal.list_events('request:interrupted')
                crashed = [
                    (event, subject, fields)
                    for event, subject, fields in journal.lines
                    if event == 'endpoint:crashed'
                ]
                return statuses, good, interrupted, crashed

        statuses, good, interrupted, crashed = asyncio.run(run())
        # From a crash to its requests: the same endpoints, in both lines.
        self.assertEqual(
            sorted(fields['endpoints'] for fields in interrupted),
            sorted([subject] for _, subject, _ in crashed),
        )
        self.assertLess(crashed[0][2]['interrupted_ms'], 500)
        self.assertEqual([502, 502, 503, 503], statuses)
        self.assertEqual(200, good)
        # Each of the first two requests is sent twice; the later ones are
        # rejected without reaching an endpoint.
        reached = [body for desk in desks for _, body in desk.requests]
        self.assertEqual(4, reached.count(b'bad'))

    # Guards against: an answer without a length was passed on as complete
    # although its endpoint had crashed, which ends the connection as well.
    def test_answer_that_ends_with_its_endpoint_is_repeated(self):
        desks = [_fleets.create_desk(f'desk-{number}') for number in range(2)]

        async def run():
            async with _fleets.run_fleet(*desks) as test_fleet:

                def crash(desk):
                    async def serve(request, http, writer):
                        for other in desks:
                            other.script.clear()
                        desk.refuse_connections()
                        seal = standins.make_seal(request)
                        head = ''.join(f'{n}: {v}\r\n' for n, v in seal)
                        writer.write(f'HTTP/1.1 200 OK\r\n{head}\r\n'.encode())
                        writer.write(b'cut')
                        writer.write_eof()
                        await asyncio.sleep(0.05)
                        raise OSError('end of the script')

                    return serve

                for desk in desks:
                    desk.script.append(crash(desk))
                return await test_fleet.send('/safe/a')

        status, _, body = asyncio.run(run())
        self.assertEqual(200, status)
        self.assertNotEqual(b'cut', body)


class RetryBudgetAtStartTest(testtools.TestCase):
    def test_instance_without_a_list_of_instances_does_not_retry(self):
        desks = [_fleets.create_desk(f'desk-{number}') for number in range(2)]

        async def run():
            async with _fleets.run_fleet(*desks) as test_fleet:
                tables = test_fleet.instance._T
                tables.instances_known = False
                for desk in desks:
                    desk.script.extend([desk.refuse()] * 4)
                refused, _, _ = await test_fleet.send('/safe/a')
                left = sum(len(desk.script) for desk in desks)
                # The list is read about a second after the start.
                async with asyncio.timeout(5.0):
                    while not tables.instances_known:
                        await asyncio.sleep(0.02)
                for desk in desks:
                    desk.script.clear()
                    desk.script.append(desk.refuse())
                await test_fleet.send('/safe/a')
                return refused, left, sum(len(d.script) for d in desks)

        refused, left, later = asyncio.run(run())
        self.assertEqual((503, 7), (refused, left))
        self.assertEqual(0, later)
