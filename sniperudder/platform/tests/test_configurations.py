"""Tests of decoding configurations one after the other."""

import copy
import itertools
import json
import random
from unittest import mock

import hypothesis
from hypothesis import strategies
import testtools

from sniperudder import platform
from sniperudder.platform import _configurations
from sniperudder.platform import _parsing
from standins import fleet as standins

_HOSTS = ('shop.example', 'Shop.example', 'a.example', 'b.example')
_LISTS = ('routes', 'services', 'tenants')


def make_document(rng):
    """Return a configuration with some routes and organisations."""
    document = standins.make_configuration(engine=standins.make_engine())
    for number in range(rng.randrange(12)):
        document['routes'].append(make_route(rng, number))
        document['tenants'].append(make_organisation(rng, number))
    return document


def make_route(rng, number):
    """Return a random route."""
    return {
        'name': f'r-{number}',
        'host': rng.choice(_HOSTS),
        'prefix': '/' + 'x' * rng.randrange(4),
        'kind': rng.choice(('safe', 'unsafe', 'streaming')),
        'timeout_ms': rng.choice((1_000, 2_000)),
        'service': 'desk',
    }


def make_organisation(rng, number):
    """Return a random organisation; keys may occur more than once."""
    keys = [f'key-{rng.randrange(20)}' for _ in range(rng.randrange(3))]
    return {'name': f'o-{number}', 'api_keys': keys, 'priority': number}


def change_document(rng, document):
    """Change a document at random; it may become malformed."""
    field = rng.choice(_LISTS)
    entries = document.get(field)
    kind = rng.randrange(10)
    if not isinstance(entries, list) or not entries:
        document[field] = standins.make_configuration()[field]
    elif kind == 0:
        entries.pop(rng.randrange(len(entries)))
    elif kind == 1:
        entries.append(copy.deepcopy(rng.choice(entries)))
    elif kind == 2:
        rng.shuffle(entries)
    elif kind == 3:
        entries.insert(rng.randrange(len(entries)), rng.choice(entries))
    elif kind == 4:
        entry = rng.choice(entries)
        if isinstance(entry, dict) and entry:
            entry[rng.choice(sorted(entry))] = rng.choice(
                ('', 'x', None, 7, -1.5, [], {}, True, 2**70)
            )
    elif kind == 5:
        document['routes'] = [make_route(rng, n) for n in range(3)]
    elif kind == 6:
        document['limits']['max_body_bytes'] = rng.choice((5, 6, '7'))
    elif kind == 7:
        document[field] = rng.choice((None, {}, [], [3], 'x', entries))
    elif kind == 8:
        document.pop(field)
    else:
        document['other'] = [[1, {'a': []}], {}, 'x', entries]


def write_document(rng, document):
    """Return a document as JSON, formatted in one of several ways."""
    fields = list(document.items())
    if rng.random() < 0.3:
        rng.shuffle(fields)
    return json.dumps(
        dict(fields),
        indent=rng.choice((None, None, None, 1)),
        separators=rng.choice((None, None, (',', ':'))),
        sort_keys=rng.random() < 0.1,
    ).encode(rng.choice(('utf-8', 'utf-8', 'utf-8-sig', 'utf-16')))


def decode(decoder, data):
    """Return a configuration and its order, or why there is none."""
    try:
        configuration = decoder.decode(data)
    except platform.DocumentError as error:
        return str(error)
    keys = configuration.keys
    return (
        configuration,
        list(configuration.routes),
        list(configuration.services),
        keys and list(keys),
    )


class SuccessionTest(testtools.TestCase):
    # Guards against: what is known of earlier documents changed what a later
    # one means.
    def test_what_was_decoded_before_does_not_matter(self):
        accepted = 0
        for seed in range(60):
            rng = random.Random(seed)
            decoder = platform.ConfigurationDecoder()
            document, valid = make_document(rng), None
            for version in range(1, 25):
                document['version'] = version
                data = write_document(rng, document)
                fresh = platform.ConfigurationDecoder()
                expected = decode(fresh, data)
                self.assertEqual(expected, decode(decoder, data), seed)
                if isinstance(expected, tuple):
                    accepted += 1
                    valid = copy.deepcopy(document)
                else:
                    document = copy.deepcopy(valid or make_document(rng))
                change_document(rng, document)
        self.assertTrue(accepted > 400, accepted)

    def test_longest_prefix_comes_first(self):
        rng = random.Random(1)
        decoder = platform.ConfigurationDecoder()
        document = make_document(rng)
        for version in range(1, 30):
            document['version'] = version
            rng.shuffle(document['routes'])
            document['routes'][0] = make_route(rng, version)
            decoded = decoder.decode(write_document(rng, document))
            for host, routes in decoded.routes.items():
                expected = [
                    route['name']
                    for route in sorted(
                        document['routes'], key=lambda r: -len(r['prefix'])
                    )
                    if route['host'].lower() == host
                ]
                self.assertEqual(expected, [r.name for r in routes])

    def test_malformed_document_stays_malformed(self):
        decoder = platform.ConfigurationDecoder()
        document = standins.make_configuration()
        good = json.dumps(document).encode()
        document['routes'][1]['timeout_ms'] = 'long'
        bad = json.dumps(document).encode()
        decoder.decode(good)
        for _ in range(2):
            with testtools.ExpectedException(platform.DocumentError):
                decoder.decode(bad)
        self.assertEqual(1, decoder.decode(good).version)


class CostTest(testtools.TestCase):
    def count(self, change):
        """Return how many entries a change has parsed and decoded."""
        rng = random.Random(1)
        document = standins.make_configuration()
        document['routes'] = [make_route(rng, n) for n in range(500)]
        decoder = platform.ConfigurationDecoder()
        decoder.decode(json.dumps(document).encode())
        change(document)
        document['version'] = 2
        data = json.dumps(document).encode()
        decode_route = _configurations._decode_route
        parsing = mock.Mock(wraps=_parsing._DECODER)
        with (
            mock.patch.object(
                _configurations,
                '_decode_route',
                autospec=True,
                side_effect=decode_route,
            ) as decoding,
            mock.patch.object(_parsing, '_DECODER', parsing),
        ):
            self.assertEqual(2, decoder.decode(data).version)
        positions = [call.args[1] for call in parsing.raw_decode.mock_calls]
        entries = [at for at in positions if data.startswith(b'{"name"', at)]
        return len(entries), decoding.call_count

    # Guards against: behind the first entry that differs, all were parsed or
    # decoded again.
    def test_cost_of_a_change_of_the_list(self):
        new = make_route(random.Random(2), 1_000)
        for change, most_parsed, decoded in (
            (lambda d: None, 0, 0),
            (lambda d: d['routes'].pop(100), 1, 0),
            (lambda d: d['routes'].insert(100, new), 2, 1),
            (lambda d: d['routes'].__setitem__(100, new), 1, 1),
            (lambda d: d['routes'].insert(9, d['routes'].pop(400)), 4, 0),
            (lambda d: d['routes'].append(new), 1, 1),
            (lambda d: d['routes'].__delitem__(slice(50, 150)), 1, 0),
        ):
            parsed, number = self.count(change)
            self.assertEqual(decoded, number)
            self.assertTrue(parsed <= most_parsed, (parsed, most_parsed))


class StepTest(testtools.TestCase):
    def make_data(self, version, count=300):
        """Return a document whose routes differ from version to version."""
        rng = random.Random(version)
        document = standins.make_configuration(version)
        document['routes'] += [make_route(rng, n) for n in range(count)]
        return json.dumps(document).encode()

    def advance(self, steps, count):
        """Take some steps; return whether there are more."""
        return len(list(itertools.islice(steps, count))) == count

    # Guards against: reading that was given up each time before its end began
    # anew, so that a large document was never read.
    def test_reading_that_is_given_up_goes_on(self):
        decoder = platform.ConfigurationDecoder()
        data = self.make_data(1)
        expected = len(list(platform.ConfigurationDecoder().read(data)))
        taken = 0
        while self.advance(decoder.read(data), 50):
            taken += 50
        self.assertTrue(expected - 50 <= taken <= expected)
        self.assertEqual(1, decoder.decode(data).version)

    def test_a_document_that_was_read_is_decoded_without_work(self):
        decoder = platform.ConfigurationDecoder()
        data = self.make_data(1)
        for _ in decoder.read(data):
            pass
        with mock.patch.object(
            _configurations, '_decode_route', autospec=True
        ) as decoding:
            decoder.decode(data)
        self.assertEqual(0, decoding.call_count)

    def test_half_read_document_can_be_decoded(self):
        decoder = platform.ConfigurationDecoder()
        data = self.make_data(1)
        steps = decoder.read(data)
        self.advance(steps, 100)
        expected = platform.ConfigurationDecoder().decode(data)
        self.assertEqual(expected, decoder.decode(data))
        self.assertEqual([], list(steps))

    def test_documents_read_at_the_same_time_do_not_mix(self):
        for seed in range(20):
            rng = random.Random(seed)
            decoder = platform.ConfigurationDecoder()
            documents = [self.make_data(n, 30) for n in range(1, 6)]
            # Twice each, as from two sources.
            readers = [decoder.read(data) for data in documents * 2]
            while readers:
                reader = rng.choice(readers)
                if not self.advance(reader, rng.randrange(1, 40)):
                    readers.remove(reader)
            for data in documents:
                expected = platform.ConfigurationDecoder().decode(data)
                self.assertEqual(expected, decoder.decode(data), seed)

    # Guards against: a document that was read slowly had been forgotten when
    # it was applied, and was read again in one go.
    def test_document_is_known_at_the_end_of_a_long_reading(self):
        decoder = platform.ConfigurationDecoder()
        data = self.make_data(1)
        steps = decoder.read(data)
        self.advance(steps, 100)
        for version in range(2, 12):
            decoder.decode(self.make_data(version))
        list(steps)
        self.assertEqual([], list(decoder.read(data)))
        self.assertEqual(1, decoder.decode(data).version)

    def test_malformed_document_is_read_without_an_exception(self):
        decoder = platform.ConfigurationDecoder()
        for data in (b'', b'{"version": 1, "routes": [{}, 3', b'{"routes":1}'):
            list(decoder.read(data))
            with testtools.ExpectedException(platform.DocumentError):
                decoder.decode(data)


class VersionTest(testtools.TestCase):
    def make_row(self, value, key=platform.CONFIGURATION_KEY):
        """Return a row of the configurations' table."""
        if isinstance(value, dict):
            value = json.dumps(value).encode()
        return platform.StoredRow(key, value, None)

    def test_version_counts_even_if_the_rest_is_malformed(self):
        decoder = platform.ConfigurationDecoder()
        good = self.make_row(standins.make_configuration(3))
        bad = self.make_row({'version': 4, 'routes': 7})
        self.assertTrue(decoder.supersedes(bad, good))
        self.assertFalse(decoder.supersedes(good, bad))

    def test_row_without_version_supersedes_none_with_one(self):
        decoder = platform.ConfigurationDecoder()
        good = self.make_row(standins.make_configuration(3))
        for value in (None, b'', b'[]', b'{"version": "9"}', b'{"version": 9'):
            row = self.make_row(value)
            self.assertFalse(decoder.supersedes(row, good), value)
            self.assertTrue(decoder.supersedes(good, row), value)


def parse(data, known):
    """Return what parsing in steps returns, with lists as lists."""
    steps = _parsing.parse_in_steps(data, known)
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            value = stop.value
            break
    return {
        name: [entry.value for entry in field]
        if isinstance(field, _parsing.Entries)
        else field
        for name, field in value.items()
    }


_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=3), inner)
    ),
    max_leaves=12,
)


class ParsingTest(testtools.TestCase):
    def check(self, data):
        """Compare parsing in steps with the standard library's parser."""
        try:
            expected = json.loads(data)
        except ValueError:
            expected = None
        try:
            parsed = parse(data, {'routes': _parsing.Entries()})
        except platform.DocumentError:
            parsed = None
        if not isinstance(expected, dict):
            expected = None
        # Text, since no number equals NaN.
        self.assertEqual(repr(expected), repr(parsed))

    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(('routes', 'x', '')), _JSON
        ),
        strategies.sampled_from((None, 0, 2)),
        strategies.data(),
    )
    @hypothesis.settings(max_examples=400, derandomize=True, deadline=None)
    def test_same_as_the_standard_library(self, value, indent, data):
        text = json.dumps(value, indent=indent)
        self.check(text.encode())
        # Damaged in one place.
        start = data.draw(strategies.integers(0, len(text)))
        removed = data.draw(strategies.integers(0, 2))
        inserted = data.draw(
            strategies.text(alphabet='{}[],:"\\ 1e-\ufeff\n', max_size=2)
        )
        self.check(
            (text[:start] + inserted + text[start + removed :]).encode()
        )

    def test_odd_documents(self):
        for data in (
            b'',
            b' ',
            b'[]',
            b'[{}]',
            b'7',
            b'{}',
            b' {\t}\r\n ',
            b'{} {}',
            b'{},',
            b'{"a": 1,}',
            b'{,}',
            b'{"routes": [1,]}',
            b'{"routes": [,1]}',
            b'{"routes": [1 2]}',
            b'{"routes": [',
            b'{"routes": []',
            b'{"routes": [{}], "routes": []}',
            b'{"routes": 1, "routes": [{}]}',
            b'{"routes": {}}',
            b'{"x": [NaN, Infinity, -0.0, 1e999]}',
            b'{"x": "\xff"}',
            b'{"x": "\\ud800"}',
            b'{"x": "\n"}',
            b'{"x"\xa0: 1}',
            b'{x: 1}',
            b"{'x': 1}",
            b'{"x": 1' + b'0' * 5_000 + b'}',
            '{"routes": [{"a": 1}]}'.encode('utf-16-le'),
            '{"routes": [{"a": 1}]}'.encode('utf-32'),
            '\ufeff\ufeff{}'.encode(),
        ):
            self.check(data)

    def test_endless_nesting_is_malformed(self):
        for start in (b'{"routes": [', b'{"x": [', b'{"x": '):
            data = start + b'[' * 100_000
            self.assertRaises(platform.DocumentError, parse, data, {})
            known = {'routes': _parsing.Entries()}
            self.assertRaises(platform.DocumentError, parse, data, known)
