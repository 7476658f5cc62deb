"""Tests of endpoint limits, reused addresses and misdirected requests."""

import asyncio

import testtools

from sniperudder.entry.tests import _fleets
from standins import fleet as standins

# Maximum time for a response that requires no waiting.
_IMMEDIATE_S = 0.1


def make_hold(event, desk):
    """Return a script entry that responds only once an event is set."""

    async def serve(request, http, writer):
        await event.wait()
        await desk.respond_normally(request, http, writer)

    return serve


async def await_count(items, count):
    """Wait until a list has the given length."""
    async with asyncio.timeout(2):
        while len(items) < count:
            await asyncio.sleep(0.01)


class ConnectionLimitTest(testtools.TestCase):
    """More concurrent requests than connections that the endpoints accept."""

    def test_request_over_connection_limit_is_rejected_immediately(self):
        desk = _fleets.create_desk()
        configuration = standins.make_configuration()
        configuration['services'][0]['max_conns'] = 1

        async def run():
            held = asyncio.Event()
            desk.script.append(make_hold(held, desk))
            async with _fleets.run_fleet(
                desk, configuration=configuration
            ) as test_fleet:
                first = asyncio.create_task(test_fleet.send('/unsafe/a'))
                await await_count(desk.requests, 1)
                loop = asyncio.get_running_loop()
                began = loop.time()
                status, headers, _ = await test_fleet.send('/unsafe/b')
                took_s = loop.time() - began
                held.set()
                return (await first)[0], status, headers, took_s

        first, second, headers, took_s = asyncio.run(run())
        self.assertEqual((200, 503), (first, second))
        self.assertIn('retry-after', headers)
        self.assertLess(took_s, _IMMEDIATE_S)
        self.assertEqual((1, 1), (desk.accepted, len(desk.requests)))


class RequestSentLogTest(testtools.TestCase):
    def test_timed_out_request_is_logged_with_its_endpoint(self):
        # The log must lead from the request id of a 504 response to the
        # endpoint that caused it.
        desk = _fleets.create_desk()

        async def run():
            desk.script.append(make_hold(asyncio.Event(), desk))
            async with _fleets.run_fleet(desk) as test_fleet:
                status, _, _ = await test_fleet.send('/unsafe/a', wait_ms=200)
                return status, test_fleet.journal.lines

        status, lines = asyncio.run(run())
        self.assertEqual(504, status)
        sent = [line for line in lines if line[0] == 'request:sent']
        self.assertEqual(['r-1'], [subject for _, subject, _ in sent])
        self.assertEqual('desk-1', sent[0][2]['endpoint'])
        self.assertEqual(1, sent[0][2]['in_flight'])


class ReusedAddressTest(testtools.TestCase):
    """An endpoint is gone, and another one has taken over its address."""

    def test_misdirected_request_runs_on_another_endpoint(self):
        gone, healthy = (
            _fleets.create_desk('desk-1'),
            _fleets.create_desk('desk-2'),
        )

        async def run():
            async with _fleets.run_fleet(gone, healthy) as test_fleet:
                gone.id = 'of-another-service'
                return [
                    (await test_fleet.send('/unsafe/a'))[0] for _ in range(6)
                ]

        self.assertEqual([200] * 6, asyncio.run(run()))
        self.assertEqual((0, 6), (len(gone.requests), len(healthy.requests)))
        self.assertNotEqual([], gone.misdirected)

    def test_misdirected_request_without_alternative_did_not_run(self):
        gone = _fleets.create_desk()

        async def run():
            async with _fleets.run_fleet(gone) as test_fleet:
                gone.id = 'of-another-service'
                return await test_fleet.send('/unsafe/a')

        self.assertEqual(503, asyncio.run(run())[0])
        self.assertEqual([], gone.requests)

    def test_misdirected_order_is_not_carried_out(self):
        # The accelerator of the new endpoint may have less memory, and an
        # engine crashes if it is ordered to hold more layers than fit.
        gone = standins.EndpointStandin('gpu-1', 'llm', accelerator='big')
        gone.id = 'gpu-2'

        async def run():
            engine = standins.make_engine()
            test_fleet = _fleets.Fleet([gone])
            gone.id = 'gpu-1'
            await test_fleet.start(standins.make_configuration(engine=engine))
            gone.id = 'gpu-2'
            try:
                await test_fleet.await_event('order:given')
            finally:
                await test_fleet.stop()

        asyncio.run(run())
        self.assertEqual([], gone.orders)
        self.assertIn('/order', gone.misdirected)


class EarlyResponseTest(testtools.TestCase):
    def test_rest_of_long_body_is_not_parsed_as_request(self):
        # The endpoint responds before it has read the whole body, keeps the
        # connection open and continues reading.
        desk = _fleets.create_desk()
        body = b'x' * 90_000

        async def run():
            async with _fleets.run_fleet(desk) as test_fleet:
                first = await test_fleet.send('/unsafe/a', body=body)
                second = await test_fleet.send('/unsafe/b', body=b'next')
                await await_count(early.bodies, 2)
                return first[0], second[2]

        early = _EarlyResponder(desk)
        desk._serve = early.serve
        self.assertEqual((200, b'desk-1 /unsafe/b'), asyncio.run(run()))
        self.assertEqual([body, b'next'], early.bodies)


class _EarlyResponder:
    """Responds to each request as soon as its head has been read."""

    def __init__(self, desk):
        self._desk = desk
        self.bodies = []

    async def serve(self, reader, writer):
        """Serve one connection until it is closed."""
        while True:
            try:
                head = await reader.readuntil(b'\r\n\r\n')
            except (OSError, asyncio.IncompleteReadError):
                break
            fields = dict(
                line.lower().split(b': ', 1)
                for line in head.splitlines()[1:]
                if line
            )
            target = head.split(b' ')[1]
            text = f'{self._desk.id} '.encode() + target
            writer.write(
                b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n'
                b'X-Sniperudder-Request-Id: r-1\r\n'
                b'X-Sniperudder-Response-Seal: s\r\n\r\n' % len(text) + text
            )
            await writer.drain()
            await asyncio.sleep(0.05)
            size = int(fields[b'content-length'])
            self.bodies.append(await reader.readexactly(size))
        writer.close()


class SupersededTest(testtools.TestCase):
    """An engine restarts under a new id while its old row stays listed."""

    ACCELERATORS = {'big': 40_000.0}

    def run_duplicates(self, case):
        """Run a test case in which two rows have the same address."""
        old = standins.EndpointStandin('gpu-1', 'llm', accelerator='big')
        other = standins.EndpointStandin('gpu-3', 'llm', accelerator='big')
        old.layers, other.layers = (0, 4), (4, 8)

        async def run():
            engine = standins.make_engine(accelerators=self.ACCELERATORS)
            async with _fleets.run_fleet(
                old, other, engine=engine
            ) as test_fleet:
                # The new run listens on the same address.
                old.id, old.born = 'gpu-2', 2
                old.layers = 2, 8
                old.list_in(test_fleet.store)
                await test_fleet.await_event('endpoint:superseded')
                return await case(test_fleet, old, other)

        return asyncio.run(run())

    def test_chain_uses_only_latest_run(self):
        async def case(test_fleet, new, other):
            first = standins.EndpointStandin('gpu-4', 'llm', accelerator='big')
            first.layers = 0, 2
            await first.start()
            first.list_in(test_fleet.store)
            await asyncio.sleep(0.3)
            try:
                return [
                    (await test_fleet.send('/stream/a'))[0] for _ in range(4)
                ], test_fleet.journal
            finally:
                await first.stop()

        statuses, journal = self.run_duplicates(case)
        self.assertEqual([200] * 4, statuses)
        self.assertEqual([], journal.list_events('instance:fault'))
        line = journal.list_events('endpoint:superseded')[0]
        self.assertIn('127.0.0.1', line['address'])


class MisplacedTest(testtools.TestCase):
    """An engine has lost layers that its row still lists."""

    def test_engine_is_avoided_until_its_row_changes(self):
        lost = standins.EndpointStandin('gpu-1', 'llm', accelerator='big')
        healthy = standins.EndpointStandin(
            'gpu-2', 'llm', 'south', accelerator='big'
        )
        lost.layers = healthy.layers = 0, 8

        async def refuse(request, http, writer):
            lost.requests.pop()
            refused.append(request)
            headers = [*standins.make_seal(request)[:1]]
            headers.append(('At-Server', lost.address))
            standins.write_response(http, writer, 421, b'', headers)

        refused = []

        async def run():
            engine = standins.make_engine(accelerators={'big': 40_000.0})
            async with _fleets.run_fleet(
                lost, healthy, engine=engine
            ) as test_fleet:
                lost.script.extend([refuse] * 20)
                statuses = []
                for _ in range(6):
                    statuses.append((await test_fleet.send('/stream/a'))[0])
                    await asyncio.sleep(0.25)
                lost.script.clear()
                lost.layers = 0, 7
                lost.list_in(test_fleet.store)
                await asyncio.sleep(0.3)
                lost.layers = 0, 8
                lost.list_in(test_fleet.store)
                await asyncio.sleep(0.3)
                await test_fleet.send('/stream/a')
                return statuses

        self.assertEqual([200] * 6, asyncio.run(run()))
        self.assertEqual(1, len(refused))
        self.assertEqual(1, len(lost.requests))
