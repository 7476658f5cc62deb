"""Tests of changes of a large configuration, with costs that are counted."""

import asyncio
import json
from unittest import mock

import testtools

from sniperudder.entry.tests import _fleets
from sniperudder.platform import _configurations
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
