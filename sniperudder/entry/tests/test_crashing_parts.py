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
            for at, parts, _ in server.arrivals
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
