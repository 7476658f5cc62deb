"""Tests of changes of a large configuration, with costs that are counted."""

import asyncio
import itertools
import json
from unittest import mock

import testtools

from sniperudder.entry.tests import _fleets
from sniperudder.forwarding import _turns
from sniperudder.platform import _configurations
from sniperudder.platform import _parsing
from standins import fleet as standins

_ROUTES = 2_000
_START_S = 5.0


def make_large(version, *changed):
    """Return a configuration in which the given routes have another limit."""
    configuration = standins.make_configuration(version)
    (template,) = (r for r in configuration['routes'] if r['name'] == 'safe')
    configuration['routes'] += [
        {
            **template,
            'name': f'large-{number}',
            'host': f'large-{number % 300}.example',
            'prefix': f'/{number}/',
            'timeout_ms': 3_000 if number in changed else 2_000,
        }
        for number in range(_ROUTES)
    ]
    return configuration


async def await_version(test_fleet, version):
    """Wait until a version is in force."""
    async with asyncio.timeout(_START_S):
        while (
            test_fleet.instance._T.configuration is None
            or test_fleet.instance._T.configuration.version != version
        ):
            await asyncio.sleep(0.01)


class ParsingCounter:
    """Counts the characters of configurations that are parsed as JSON."""

    def __init__(self):
        self.characters = 0
        self._raw_decode = json.JSONDecoder.raw_decode

    def install(self):
        """Return a context in which parsing is counted."""
        counter = self

        def raw_decode(self, text, idx=0):
            value, end = counter._raw_decode(self, text, idx)
            # The store's replies hold the document in Base64.
            if '"prefix"' in text:
                counter.characters += end - idx
            return value, end

        return mock.patch.object(json.JSONDecoder, 'raw_decode', raw_decode)


class CallCounter:
    """Counts the calls of a function of a module."""

    def __init__(self, module, name):
        self.calls = 0
        self._module = module
        self._name = name

    def install(self):
        """Return a context in which calls are counted."""
        call = getattr(self._module, self._name)

        def count(*arguments):
            self.calls += 1
            return call(*arguments)

        return mock.patch.object(self._module, self._name, count)


class ChangeTest(testtools.TestCase):
    def run_change(self, *contexts):
        """Change one route of many while contexts are entered."""

        async def run():
            test_fleet = _fleets.Fleet([_fleets.create_desk()])
            await test_fleet.start(make_large(1))
            try:
                await await_version(test_fleet, 1)
                new = make_large(2, 1_000)
                for context in contexts:
                    context.start()
                try:
                    test_fleet.store.put_json('op', 'config', new)
                    await await_version(test_fleet, 2)
                finally:
                    for context in contexts:
                        context.stop()
                configuration = test_fleet.instance._T.configuration
                (route,) = (
                    route
                    for route in configuration.routes['large-100.example']
                    if route.name == 'large-1000'
                )
                self.assertEqual(3.0, route.timeout_s)
                return len(json.dumps(new))
            finally:
                await test_fleet.stop()

        return asyncio.run(run())

    # Guards against: a document was parsed to decode it, and both it and the
    # one in force were parsed to compare their versions.
    def test_a_document_is_parsed_once(self):
        counter = ParsingCounter()
        length = self.run_change(counter.install())
        self.assertTrue(
            0 < counter.characters <= length, (counter.characters, length)
        )

    # Guards against: the change of one route decoded all others again and
    # sorted the routes of all hosts.
    def test_the_change_of_one_route_decodes_one(self):
        parsing = ParsingCounter()
        decoding = [
            CallCounter(_configurations, name)
            for name in ('_decode_route', '_decode_service', '_sort_routes')
        ]
        length = self.run_change(
            parsing.install(), *(counter.install() for counter in decoding)
        )
        # The entries before and after the changed one are found by their
        # text; the rest of the document has some fields.
        self.assertTrue(parsing.characters < length / 100, parsing.characters)
        self.assertEqual([1, 0, 1], [counter.calls for counter in decoding])


class TurnCounter:
    """Counts what is done before other tasks get their turn.

    Attributes
    ----------
    most : int
        Largest number of entries that were read or decoded in one turn.
    """

    def __init__(self):
        self.most = 0
        self._now = 0

    async def run(self):
        """Count until cancelled."""
        while True:
            self._now = 0
            await asyncio.sleep(0)

    def install(self):
        """Return the contexts in which entries are counted."""
        return [
            mock.patch.object(module, name, self._wrap(getattr(module, name)))
            for module, name in (
                (_parsing, 'Entry'),
                (_configurations, '_decode_route'),
                (_configurations, '_sort_routes'),
            )
        ]

    def _wrap(self, call):
        def count(*arguments):
            self._now += 1
            self.most = max(self.most, self._now)
            return call(*arguments)

        return count


class TurnTest(testtools.TestCase):
    # Guards against: a large configuration held the event loop until all of
    # it was decoded, at the start and at each change.
    def test_other_tasks_get_their_turn(self):
        # Each look at the clock takes a millisecond.
        clock = itertools.count()
        counter = TurnCounter()

        async def run():
            test_fleet = _fleets.Fleet([_fleets.create_desk()])
            counting = asyncio.create_task(counter.run())
            await test_fleet.start(make_large(1))
            try:
                await await_version(test_fleet, 1)
                test_fleet.store.put_json(
                    'op', 'config', make_large(2, *range(_ROUTES))
                )
                await await_version(test_fleet, 2)
            finally:
                counting.cancel()
                await test_fleet.stop()

        contexts = [
            mock.patch.object(
                _turns, 'read_clock', lambda: next(clock) / 1_000
            ),
            *counter.install(),
        ]
        for context in contexts:
            context.start()
            self.addCleanup(context.stop)
        asyncio.run(run())
        self.assertTrue(0 < counter.most <= 6, counter.most)


class StormTest(testtools.TestCase):
    # Guards against: in a storm, none of the versions that are decoded in
    # turns was ever decoded to its end, or they came into force out of order.
    def test_each_version_or_a_newer_one_is_in_force_in_time(self):
        # Users' bound and interval of a storm, seconds.
        bound_s, interval_s = 2.0, 0.15
        written_at, in_force_at, statuses = {}, [], []

        async def run():
            test_fleet = _fleets.Fleet([_fleets.create_desk()])
            await test_fleet.start(make_large(1))
            loop = asyncio.get_running_loop()
            write = test_fleet.journal.write

            def record(event, subject='', **fields):
                if event == 'configuration:in force':
                    in_force_at.append((int(subject), loop.time()))
                write(event, subject, **fields)

            test_fleet.journal.write = record
            try:
                await await_version(test_fleet, 1)
                await test_fleet.await_ready()
                for version in range(2, 14):
                    # All routes change with each version.
                    changed = range(_ROUTES) if version % 2 else ()
                    test_fleet.store.put_json(
                        'op', 'config', make_large(version, *changed)
                    )
                    written_at[version] = loop.time()
                    statuses.append((await test_fleet.send('/safe/a'))[0])
                    await asyncio.sleep(interval_s)
                await await_version(test_fleet, 13)
            finally:
                await test_fleet.stop()

        # A turn is over after a few steps.
        with mock.patch.object(_turns, '_TURN_S', 0.0001):
            asyncio.run(run())
        versions = [version for version, _ in in_force_at]
        self.assertEqual(sorted(set(versions)), versions)
        self.assertEqual({200}, set(statuses))
        for version, at in written_at.items():
            delay_s = min(t for v, t in in_force_at if v >= version) - at
            self.assertTrue(delay_s < bound_s, (version, delay_s))
