"""Tests of instances before endpoints that ask for fewer requests.

The patterns: endpoints name a rate for all instances together; an endpoint
leaves and says so before the platform does; an endpoint refuses a request and
asks for a pause.
"""

import asyncio
import random

import testtools

from sniperudder.entry.tests import _fleets
from sniperudder.entry.tests import _loads
from sniperudder.entry.tests import _members
from sniperudder import testing
from standins import fleet as standins

# The users' bounds. A limit counts from 3 s after it was first named; a window
# of 4 s may then contain half more than the limit allows, and 5 requests.
_CONTACT_S = 3.0
_WINDOW_S = 4.0
_RATIO = 1.5
_SLACK = 5
_DRAIN_S = 2.0
# A pause counts from half a second after the refusal; two requests may arrive.
_PAUSE_DELAY_S = 0.5
_MAX_IN_PAUSE = 2

_LIMIT_PER_S = 2.0
_PER_S = 40.0
_RUN_S = 9.0


async def run_limited(target, servers, rates_per_s, weights=(6, 3, 1)):
    """Run several instances under load before endpoints with rate limits.

    Parameters
    ----------
    target : str
    servers : list of EndpointStandin
    rates_per_s : list of float or None
        Limit that each of them names.
    weights : tuple of float
        Shares of the callers at each instance.

    Returns
    -------
    load : CallerLoad
    start : float
        Loop time from which the limits count.
    """
    engine = standins.make_engine(accelerators=_fleets.ACCELERATORS)
    async with _members.run_members(len(weights), engine) as (store, members):
        try:
            for server, rate_per_s in zip(servers, rates_per_s):
                if rate_per_s is not None:
                    server.notices = [('Server-Limit', f'{rate_per_s:.1f}')]
                await server.start()
                server.list_in(store)
            # The list of instances is read a second after the start.
            await asyncio.sleep(1.5)
            load = _loads.CallerLoad(
                [member.settings.callers_address for member in members],
                weights,
                random.Random(7),
            )
            start = asyncio.get_running_loop().time() + _CONTACT_S
            await load.run(target, _PER_S, _RUN_S)
        finally:
            for server in servers:
                await server.stop()
    return load, start


class RateLimitTest(testtools.TestCase):
    def assert_limits_held(self, servers, rates_per_s, start):
        """Check the arrivals at each endpoint against its limit."""
        for server, rate_per_s in zip(servers, rates_per_s):
            if rate_per_s is None:
                continue
            times = [at for at, _ in server.arrivals]
            most = testing.count_most(times, _WINDOW_S, start)
            allowed = _RATIO * rate_per_s * _WINDOW_S + _SLACK
            self.assertLessEqual(most, allowed, server.id)

    # Guards against: endpoints that named a rate limit got many times that
    # rate, since no instance read it and each sees a part of the requests.
    def test_instances_together_keep_the_limit_of_an_endpoint(self):
        desks = [_fleets.create_desk(f'desk-{n}') for n in range(3)]
        rates_per_s = [_LIMIT_PER_S, _LIMIT_PER_S, None]
        load, start = asyncio.run(run_limited('/safe/a', desks, rates_per_s))
        self.assert_limits_held(desks, rates_per_s, start)
        # What the limit allows is used, and the rest goes elsewhere.
        for desk in desks[:2]:
            used = sum(1 for at, _ in desk.arrivals if at > start)
            self.assertGreater(used, _LIMIT_PER_S * (_RUN_S - _CONTACT_S) / 2)
        statuses = [outcome[2] for outcome in load.outcomes]
        self.assertGreater(statuses.count(200) / len(statuses), 0.99)

    def test_limit_of_the_first_stage_of_a_chain_is_kept(self):
        engines = [
            _fleets.create_engine(f'gpu-{n}', layers=(0, 8)) for n in range(3)
        ]
        rates_per_s = [_LIMIT_PER_S, _LIMIT_PER_S, None]
        _, start = asyncio.run(run_limited('/stream/a', engines, rates_per_s))
        self.assert_limits_held(engines, rates_per_s, start)

    def test_requests_beyond_all_limits_are_refused_at_once(self):
        desks = [_fleets.create_desk(f'desk-{n}') for n in range(2)]
        rates_per_s = [_LIMIT_PER_S, _LIMIT_PER_S]
        load, start = asyncio.run(run_limited('/safe/a', desks, rates_per_s))
        self.assert_limits_held(desks, rates_per_s, start)
        late = [outcome for outcome in load.outcomes if outcome[0] > start]
        self.assertEqual({200, 503}, {status for _, _, status, _ in late})
        for _, _, status, headers in late:
            if status == 503:
                self.assertGreater(float(headers['retry-after']), 0.0)


class LeavingTest(testtools.TestCase):
    # Guards against: requests went on to an endpoint for as long as the
    # platform listed it, although it said in its answers that it leaves.
    def test_endpoint_that_says_it_leaves_gets_no_new_requests(self):
        desks = [_fleets.create_desk(f'desk-{n}') for n in range(2)]
        told_at = []

        async def run():
            async with _fleets.run_fleet(*desks) as test_fleet:
                load = _loads.CallerLoad(
                    [test_fleet.callers], [1.0], random.Random(7)
                )
                await load.run('/safe/a', _PER_S, 1.0)
                desks[0].notices = [('Server-Leaving', '1')]
                await load.run('/safe/a', _PER_S, _DRAIN_S + 2.0)
                told_at.extend(
                    sent_at
                    for sent_at, _, _, headers in load.outcomes
                    if 'server-leaving' in headers
                )

        asyncio.run(run())
        bound = min(told_at) + _DRAIN_S
        late = [at for at, _ in desks[0].arrivals if at > bound]
        self.assertEqual([], late)
        # It is left alone from its first such answer on, not from the bound.
        self.assertLessEqual(len(told_at), 5)


class PauseTest(testtools.TestCase):
    # Guards against: an endpoint that refused a request and asked for a pause
    # got requests again a fraction of a second later.
    def test_endpoint_that_asks_for_a_pause_is_left_alone(self):
        desks = [_fleets.create_desk(f'desk-{n}') for n in range(2)]
        desks[0].script.append(desks[0].refuse('3.0'))

        async def run():
            async with _fleets.run_fleet(*desks) as test_fleet:
                load = _loads.CallerLoad(
                    [test_fleet.callers], [1.0], random.Random(7)
                )
                await load.run('/safe/a', _PER_S, 5.0)

        asyncio.run(run())
        refused_at = desks[0].arrivals[0][0]
        begin, end = refused_at + _PAUSE_DELAY_S, refused_at + 3.0
        within = [at for at, _ in desks[0].arrivals if begin < at < end]
        self.assertLessEqual(len(within), _MAX_IN_PAUSE)
        after = [at for at, _ in desks[0].arrivals if at > end]
        self.assertGreater(len(after), 10)

    def test_request_is_refused_at_once_while_all_endpoints_pause(self):
        desk = _fleets.create_desk()
        desk.script.append(desk.refuse('4.0'))

        async def run():
            async with _fleets.run_fleet(desk) as test_fleet:
                await test_fleet.send('/safe/a')
                sent_at = asyncio.get_running_loop().time()
                status, headers, _ = await test_fleet.send('/safe/a')
                took_s = asyncio.get_running_loop().time() - sent_at
                self.assertEqual(503, status)
                self.assertLess(took_s, 0.3)
                # The caller is told when the pause is over.
                self.assertGreater(float(headers['retry-after']), 3.0)

        asyncio.run(run())
        self.assertEqual(1, len(desk.arrivals))
