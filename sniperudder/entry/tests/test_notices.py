"""Tests of instances before endpoints that ask for fewer requests.

The patterns: endpoints name a rate for all instances together; an endpoint
leaves and says so before the platform does; an endpoint refuses a request and
asks for a pause.
"""

import asyncio
import random
import unittest.mock

import h11
import testtools

from sniperudder import clocks
from sniperudder import digests
from sniperudder.entry.tests import _fleets
from sniperudder.entry.tests import _loads
from sniperudder.entry.tests import _members
from sniperudder import fleet
from sniperudder import forwarding
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


class NoticeSourceTest(testtools.TestCase):
    """Where a notice may come from, and what it applies to."""

    def run_case(self, case, *endpoints, engine=None):
        async def run():
            async with _fleets.run_fleet(
                *endpoints, engine=engine
            ) as test_fleet:
                await case(test_fleet)

        asyncio.run(run())

    def run_engines(self, case, layers, accelerator='big'):
        """Run a case with an instance and engines; return the engines."""
        engines = [
            _fleets.create_engine(f'gpu-{number}', accelerator, held)
            for number, held in enumerate(layers)
        ]

        async def run_placed(test_fleet):
            await test_fleet.await_placed()
            await case(test_fleet, engines)

        engine = standins.make_engine(accelerators=_fleets.ACCELERATORS)
        self.run_case(run_placed, *engines, engine=engine)
        return engines

    def get_restrictions(self, test_fleet, endpoint):
        """Return what the instance knows of an endpoint."""
        run_id = endpoint.id, endpoint.born
        return test_fleet.instance._T.notices.get(run_id)

    def test_restriction_told_by_a_peer_is_heeded(self):
        desks = [_fleets.create_desk(f'desk-{n}') for n in range(2)]

        async def case(test_fleet):
            told = {('desk-0', 1): digests.Restriction(True, None, 0.5)}
            forwarder = test_fleet.instance._forwarder
            forwarder.apply_restrictions('entry-2', told)
            for _ in range(10):
                status, _, _ = await test_fleet.send('/safe/a')
                self.assertEqual(200, status)

        self.run_case(case, *desks)
        self.assertEqual([0, 10], [len(desk.arrivals) for desk in desks])

    def test_failed_answers_and_refusals_are_read(self):
        for make_entry in (
            lambda desk: desk.fail(),
            lambda desk: desk.refuse(),
        ):
            desk = _fleets.create_desk()
            desk.notices = [('Server-Limit', '3.5')]
            desk.script.append(make_entry(desk))

            async def case(test_fleet, desk=desk):
                await test_fleet.send('/unsafe/a')
                known = self.get_restrictions(test_fleet, desk)
                self.assertEqual(3.5, known.rate_limit)

            self.run_case(case, desk)

    def test_answer_whose_body_breaks_off_is_read(self):
        desk = _fleets.create_desk()
        desk.notices = [('Server-Leaving', '1')]

        async def break_off(request, http, writer):
            headers = [
                *standins.make_seal(request),
                *desk.notices,
                ('Content-Length', '9'),
            ]
            head = h11.Response(status_code=200, headers=headers)
            writer.write(http.send(head))
            writer.write(http.send(h11.Data(data=b'part')))
            await writer.drain()
            writer.close()
            raise OSError('broken off by the script')

        desk.script.append(break_off)

        async def case(test_fleet):
            await test_fleet.send('/unsafe/a')
            self.assertTrue(self.get_restrictions(test_fleet, desk).leaving)

        self.run_case(case, desk)

    def test_reports_and_orders_are_read(self):
        async def case(test_fleet, engines):
            first = engines[0]
            first.notices = [('Server-Limit', '2.5')]
            rerouter = test_fleet.instance._forwarder.rerouter
            endpoint = test_fleet.instance._T.endpoints[first.id]
            await rerouter.find_stalling_stage(endpoint, 'r-1')
            known = self.get_restrictions(test_fleet, first)
            self.assertEqual(2.5, known.rate_limit)

        self.run_engines(case, [(0, 8)])

    # Guards against: another endpoint that has taken over an address speaks
    # for the one that the request was meant for.
    def test_misdirected_answer_does_not_count(self):
        desk = _fleets.create_desk()
        desk.notices = [('Server-Leaving', '1')]

        async def case(test_fleet):
            desk.id = 'desk-new'
            await test_fleet.send('/safe/a')
            desk.id = 'desk-1'
            self.assertFalse(self.get_restrictions(test_fleet, desk).leaving)
            self.assertGreater(len(desk.misdirected), 0)

        self.run_case(case, desk)

    def test_refused_request_is_not_sent_to_a_pausing_endpoint_again(self):
        desk = _fleets.create_desk()
        desk.script.extend([desk.refuse('3.0')] * 4)

        async def case(test_fleet):
            status, headers, _ = await test_fleet.send('/unsafe/a')
            self.assertEqual(503, status)
            self.assertGreater(float(headers['retry-after']), 2.0)

        self.run_case(case, desk)
        self.assertEqual(1, len(desk.arrivals))

    def test_stream_is_not_resumed_at_a_pausing_endpoint(self):
        async def case(test_fleet, engines):
            def make_entry(engine, other):
                async def serve(request, http, writer):
                    test_fleet.instance._T.notices.record(
                        (other.id, other.born),
                        fleet.Notice(pause_s=5.0),
                        clocks.read_clock(),
                    )
                    await engine.send_stream(request, http, writer, upto=1)
                    writer.transport.abort()
                    raise OSError('reset by the script')

                return serve

            left, right = engines
            left.script.append(make_entry(left, right))
            right.script.append(make_entry(right, left))
            status, _, body = await test_fleet.send('/stream/a', wait_ms=4_000)
            self.assertEqual(
                (200, [1, 2, 3]), (status, _fleets.list_ids(body))
            )

        engines = self.run_engines(case, [(0, 8), (0, 8)])
        # The first one is asked again.
        arrivals = sorted(len(engine.arrivals) for engine in engines)
        self.assertEqual([0, 2], arrivals)

    def test_limited_endpoint_may_be_a_later_stage(self):
        async def case(test_fleet, engines):
            for engine in engines[1:]:
                test_fleet.instance._T.notices.record(
                    (engine.id, engine.born),
                    fleet.Notice(rate_limit=0.0, pause_s=9.0),
                    clocks.read_clock(),
                )
            status, _, _ = await test_fleet.send('/stream/a', wait_ms=4_000)
            self.assertEqual(200, status)

        self.run_engines(case, [(0, 4), (4, 8)], 'half')

    def test_restriction_stated_while_connecting_is_heeded(self):
        desks = [_fleets.create_desk(f'desk-{n}') for n in range(2)]

        acquire = forwarding.ConnectionPool.acquire

        async def case(test_fleet):
            notices = test_fleet.instance._T.notices

            async def acquire_late(pool, address, *args, **options):
                for desk in desks:
                    if desk.address == address:
                        run_id = desk.id, desk.born
                        notices.apply_leaving(run_id, clocks.read_clock())
                return await acquire(pool, address, *args, **options)

            with unittest.mock.patch.object(
                forwarding.ConnectionPool, 'acquire', acquire_late
            ):
                status, _, _ = await test_fleet.send('/unsafe/a')
            self.assertEqual(503, status)

        self.run_case(case, *desks)
        self.assertEqual([0, 0], [len(desk.arrivals) for desk in desks])
