"""Tests of several instances before engines that crash on a part of a prompt.

The pattern: requests that share a part crash each engine that begins to write
their answer, at any instance, beside sound requests of the same route and key.
"""

import asyncio
import contextlib
import random

import h11
import testtools

from sniperudder.entry.tests import _fleets
from sniperudder.entry.tests import _members
from standins import fleet as standins

# The users' bounds: further requests with such a part, once the fifth engine
# has crashed and the time for which instances count as in contact has passed.
_MAX_CRASHES = 5
_CONTACT_S = 3.0
_MAX_FURTHER_SENDS = 3

_SOUND_PER_S = 20.0
_CRASHING_PER_S = 8.0
_RUN_S = 11.0


class Load:
    """Requests of one key and route, of which some crash engines."""

    def __init__(self, members, rng):
        self.answered = []
        self._members = members
        self._rng = rng
        self._count = 0
        self._tasks = set()

    async def run(self, per_s, part, until):
        """Send requests at a mean rate until a loop time."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await asyncio.sleep(self._rng.expovariate(per_s))
            task = asyncio.create_task(self._send(part))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self, part):
        self._count += 1
        parts = f'0a:40,{part or self._rng.randrange(6)}:300,f{self._count}:9'
        sent_at = asyncio.get_running_loop().time()
        status = 0
        member = self._rng.choice(self._members)
        with contextlib.suppress(OSError, h11.ProtocolError, AttributeError):
            status, _, _ = await standins.send_request(
                member.settings.callers_address,
                '/stream/a',
                body=b'%d' % self._count,
                headers=[
                    ('X-Sniperudder-Prefix-Hash', parts),
                    ('X-Sniperudder-Request-Id', f'r-{self._count}'),
                ],
                wait_ms=4_000,
            )
        self.answered.append((sent_at, bool(part), status))


async def run_load(seed, count=3, engines=4):
    """Run instances and engines under load.

    Returns
    -------
    engines : list of CrashingEngine
    load : Load
    """
    rng = random.Random(seed)
    engine = standins.make_engine(accelerators=_fleets.ACCELERATORS)
    async with _members.run_members(count, engine) as (store, members):
        servers = [
            standins.CrashingEngine(f'gpu-{number}', store, (0, 8))
            for number in range(engines)
        ]
        try:
            for server in servers:
                server.crashing_parts.add('bad')
                await server.start()
                server.list_in(store)
            await asyncio.sleep(1.0)
            load = Load(members, rng)
            until = asyncio.get_running_loop().time() + _RUN_S
            async with asyncio.TaskGroup() as group:
                group.create_task(load.run(_SOUND_PER_S, '', until))
                group.create_task(load.run(_CRASHING_PER_S, 'bad', until))
        finally:
            for server in servers:
                await server.close()
    return servers, load


class CrashingPartTest(testtools.TestCase):
    # Guards against: requests with a part that crashes engines, no two alike,
    # were sent to engine after engine, as only whole requests were counted.
    def test_requests_with_a_part_that_crashes_engines_are_stopped(self):
        servers, load = asyncio.run(run_load(seed=1))
        crashes = sorted(at for server in servers for at in server.crashes)
        # The last crash counts where the fifth one was prevented.
        bound = crashes[:_MAX_CRASHES][-1] + _CONTACT_S
        further = [
            at
            for server in servers
            for at, parts in server.part_arrivals
            if at > bound and 'bad' in parts
        ]
        self.assertLessEqual(len(further), _MAX_FURTHER_SENDS, further)
        # Sound requests of the route are served again meanwhile.
        statuses = [
            status
            for sent_at, crashing, status in load.answered
            if sent_at > bound + _CONTACT_S and not crashing
        ]
        self.assertGreaterEqual(len(statuses), 20)
        served = statuses.count(200) / len(statuses)
        self.assertGreaterEqual(served, 0.5, statuses)


class BlockedRequestTest(testtools.TestCase):
    """A part is blocked before, or while, a request with it is under way."""

    _PARTS = ('X-Sniperudder-Prefix-Hash', '0a:40,bad:300,f1:9')

    def run_engines(self, case, layers=((0, 8), (0, 8)), accelerator='big'):
        """Run a case with an instance and engines; return the engines."""
        engines = [
            _fleets.create_engine(f'gpu-{number}', accelerator, held)
            for number, held in enumerate(layers)
        ]

        async def run():
            engine = standins.make_engine(accelerators=_fleets.ACCELERATORS)
            async with _fleets.run_fleet(
                *engines, engine=engine
            ) as test_fleet:
                await test_fleet.await_placed()
                await case(test_fleet, engines)

        asyncio.run(run())
        return engines

    def block(self, test_fleet):
        """Block the part, as other instances found."""
        monitor = test_fleet.instance._forwarder.crash_monitor
        monitor.add_blocks([frozenset(('part:bad',))])

    def break_off(self, test_fleet, engines, upto):
        """Let the first engine block the part, then break the stream off."""

        def make_entry(engine):
            async def serve(request, http, writer):
                for other in engines:
                    other.script.clear()
                if upto:
                    await engine.send_stream(request, http, writer, upto)
                    await asyncio.sleep(0.05)
                self.block(test_fleet)
                writer.transport.abort()
                raise OSError('reset by the script')

            return serve

        for engine in engines:
            engine.script.append(make_entry(engine))

    def test_new_request_is_refused_at_once(self):
        async def case(test_fleet, engines):
            self.block(test_fleet)
            for extra in ([], [('Last-Event-Id', '2')]):
                status, headers, _ = await test_fleet.send(
                    '/stream/a', headers=[self._PARTS, *extra]
                )
                self.assertEqual(503, status)
                self.assertGreater(float(headers['retry-after']), 60.0)
            sound = ('X-Sniperudder-Prefix-Hash', '0a:40,good:300,f1:9')
            status, _, _ = await test_fleet.send('/stream/a', headers=[sound])
            self.assertEqual(200, status)

        engines = self.run_engines(case)
        self.assertEqual(1, sum(len(engine.requests) for engine in engines))

    def test_interrupted_request_is_not_repeated(self):
        async def case(test_fleet, engines):
            self.break_off(test_fleet, engines, upto=0)
            status, _, _ = await test_fleet.send(
                '/stream/a', headers=[self._PARTS]
            )
            # It may have run.
            self.assertEqual(502, status)

        engines = self.run_engines(case)
        self.assertEqual(1, sum(len(engine.requests) for engine in engines))

    def test_interrupted_stream_is_not_resumed(self):
        async def case(test_fleet, engines):
            self.break_off(test_fleet, engines, upto=2)
            with testtools.ExpectedException(h11.RemoteProtocolError):
                await test_fleet.send('/stream/a', headers=[self._PARTS])

        engines = self.run_engines(case)
        self.assertEqual(1, sum(len(engine.requests) for engine in engines))

    def test_refused_request_is_not_sent_again(self):
        async def case(test_fleet, engines):
            def refuse(engine):
                async def serve(request, http, writer):
                    self.block(test_fleet)
                    await engine.refuse()(request, http, writer)

                return serve

            for engine in engines:
                engine.script.extend([refuse(engine)] * 4)
            status, _, _ = await test_fleet.send(
                '/stream/a', headers=[self._PARTS]
            )
            self.assertEqual(503, status)
            left = sum(len(engine.script) for engine in engines)
            self.assertEqual(7, left)

        self.run_engines(case)

    def test_stream_is_not_rerouted_to_other_stages(self):
        async def case(test_fleet, engines):
            first, left, _ = engines

            async def stall(request, http, writer):
                await first.send_stream(request, http, writer, upto=1)
                self.block(test_fleet)
                first.stalled = [{'id': 'r-1', 'address': left.address}]
                await asyncio.sleep(1.5)
                data = b'id: 2\ndata: 2\n\n'
                writer.write(http.send(h11.Data(data=data)))
                writer.write(http.send(h11.EndOfMessage()))

            first.script.append(stall)
            status, _, body = await test_fleet.send(
                '/stream/a', headers=[self._PARTS], wait_ms=4_000
            )
            self.assertEqual((200, [1, 2]), (status, _fleets.list_ids(body)))

        engines = self.run_engines(
            case, layers=((0, 4), (4, 8), (4, 8)), accelerator='half'
        )
        orders = [order['operation'] for e in engines for order in e.orders]
        self.assertNotIn('repath', orders)
