from unittest import mock

import hypothesis
from hypothesis import strategies

from sniperudder import errors
from sniperudder import settings
from sniperudder.settings import _checks
from sniperudder.settings import _parsing
from sniperudder.settings import _reading
from sniperudder.settings.tests import base
from sniperudder import tables


class TestLoadSettings(base.SettingsTestCase):
    def load(self, text=base.VALID_SETTINGS):
        return settings.load_settings(self.write_file(text))

    def test_units_are_converted_to_seconds(self):
        loaded = self.load()
        self.assertEqual(0.25, loaded.policy.heartbeat_s)
        link = loaded.links['milan', 'monza']
        self.assertEqual(0.00025, link.latency_s)

    def test_defaults_are_those_of_the_tables(self):
        loaded = self.load()
        default = tables.Policy(heartbeat_s=0.25)
        default.ranks[tables.Rank.URGENT].floor = 0.5
        self.assertEqual(default, loaded.policy)

    def test_fill_tables_copies(self):
        loaded = self.load()
        T = tables.create_tables('entry-1', 'milan')
        settings.fill_tables(T, loaded)
        self.assertEqual(loaded.endpoints, T.endpoints)
        T.endpoints['a'].streams = 7
        T.policy.ranks[tables.Rank.URGENT].floor = 0
        self.assertEqual(0, loaded.endpoints['a'].streams)
        self.assertEqual(0.5, loaded.policy.ranks[0].floor)
        self.assertEqual({'entry-1', 'entry-2'}, set(T.instances))

    def test_exception_holds_all_mistakes(self):
        text = base.VALID_SETTINGS.replace('layers = 4', 'layers = four')
        text = text.replace('role = operate', 'role = god')
        error = self.assertRaises(errors.SettingsError, self.load, text)
        places = [(item.section, item.key) for item in error.mistakes]
        self.assertEqual(
            [('model m', 'layers'), ('operator desk', 'role')], places
        )
        self.assertIn("read 'four'", str(error))

    def test_peer_key_from_variable_is_hidden(self):
        text = base.VALID_SETTINGS.replace(
            '[platform]', 'peer_key_env = TEST_PEER_KEY\n[platform]'
        )
        secret = 'correct horse battery'
        with mock.patch.dict('os.environ', TEST_PEER_KEY=secret):
            loaded = self.load(text)
        self.assertEqual(secret.encode(), loaded.peer_key)
        self.assertNotIn(secret, repr(loaded))

    def test_short_peer_key_is_rejected_and_not_shown(self):
        path = self.write_file('short secret\n')
        text = base.VALID_SETTINGS.replace(
            '[platform]', f'peer_key_file = {path}\n[platform]'
        )
        error = self.assertRaises(errors.SettingsError, self.load, text)
        self.assertEqual('peer_key_file', error.mistakes[0].key)
        self.assertNotIn('short secret', str(error))


class TestCheckSettings(base.SettingsTestCase):
    def check(self, old, new):
        self.assertIn(old, base.VALID_SETTINGS)
        path = self.write_file(base.VALID_SETTINGS.replace(old, new))
        return [
            (item.section, item.key) for item in settings.check_settings(path)
        ]

    def test_valid_file(self):
        self.assertEqual([], self.check('', ''))

    def test_byte_order_mark_is_accepted(self):
        path = self.write_file('\ufeff' + base.VALID_SETTINGS)
        self.assertEqual([], settings.check_settings(path))

    def test_missing_file(self):
        (mistake,) = settings.check_settings('/nowhere/x.ini')
        self.assertIn('/nowhere/x.ini', mistake.found)

    def test_malformed_line(self):
        self.assertEqual([('', '')], self.check('layers = 4', 'layers'))

    def test_unknown_section_and_key(self):
        found = self.check('[model m]', '[modle x]\n[model m]\nlayer = 3')
        self.assertEqual([('modle x', ''), ('model m', 'layer')], found)

    def test_default_section_is_unknown(self):
        found = self.check('[model m]', '[DEFAULT]\nlayers = 4\n[model m]')
        self.assertEqual([('DEFAULT', '')], found)

    def test_duplicate_key_and_section(self):
        found = self.check(
            'layers = 4', 'layers = 4\nlayers = 4\n[organisation studio]'
        )
        self.assertEqual(
            [('model m', 'layers'), ('organisation studio', '')], found
        )

    def test_missing_key_and_section(self):
        self.assertEqual(
            [('endpoint a', 'accelerator')],
            self.check(
                'accelerator = gpu\nmodel = m\nfirst_layer = 0',
                'model = m\nfirst_layer = 0',
            ),
        )
        self.assertEqual(
            [('platform', '')],
            self.check('[platform]\naddress = 127.0.0.1:9000', ''),
        )

    def test_values_out_of_range(self):
        cases = (
            ('heartbeat_ms = 250', 'heartbeat_ms = nan', 'policy'),
            ('heartbeat_ms = 250', 'heartbeat_ms = 2_50', 'policy'),
            ('floor = 0.5', 'floor = 1.01', 'rank urgent'),
            ('layers = 4', 'layers = 0', 'model m'),
            ('lookup = yes', 'lookup = true', 'service orders'),
            ('127.0.0.1:7002', 'localhost:7002', 'service orders'),
            ('127.0.0.1:9000', '127.0.0.1:65536', 'platform'),
            ('127.0.0.1:9000', '::1:9000', 'platform'),
            ('rank = urgent', 'rank = 0', 'key studio-urgent'),
        )
        for old, new, section in cases:
            found = self.check(old, new)
            self.assertEqual([section], [place[0] for place in found], new)

    def test_pasted_key_is_not_shown(self):
        text = base.VALID_SETTINGS.replace(
            'sha256 = 2c26', 'sha256 = my-key-2c26'
        )
        (mistake,) = settings.check_settings(self.write_file(text))
        self.assertNotIn('my-key', str(mistake))

    def test_unknown_references(self):
        self.assertEqual(
            [('key studio-urgent', 'organisation')],
            self.check('organisation = studio', 'organisation = nobody'),
        )
        self.assertEqual(
            [('link milan monzo', '')],
            self.check('[link milan monza]', '[link milan monzo]'),
        )

    def test_reference_to_invalid_section_is_not_reported(self):
        found = self.check(
            '[organisation studio]', '[organisation studio]\nweight = x'
        )
        self.assertEqual([('organisation studio', 'weight')], found)

    def test_invalid_layer_ranges(self):
        # A gap, an overlap, a range beyond the model, and an empty range.
        gap = self.check('first_layer = 2', 'first_layer = 3')
        self.assertEqual([('model m', '')], gap)
        overlap = self.check('first_layer = 2', 'first_layer = 1')
        self.assertEqual([('model m', '')], overlap)
        beyond = self.check('end_layer = 4', 'end_layer = 5')
        self.assertIn(('endpoint b', 'end_layer'), beyond)
        empty = self.check('first_layer = 2', 'first_layer = 4')
        self.assertIn(('endpoint b', 'end_layer'), empty)

    def test_chain_needs_one_version(self):
        found = self.check('layers = 4', 'layers = 4\nversion = 2')
        self.assertEqual([('model m', '')], found)

    def test_sum_of_floors(self):
        self.assertEqual([], self.check('floor = 0.5', 'floor = 0.8'))
        found = self.check('floor = 0.5', 'floor = 0.81')
        self.assertEqual([('rank', 'floor')], found)

    def test_freshness_above_the_limit(self):
        found = self.check(
            'heartbeat_ms = 250', 'heartbeat_ms = 250\nfreshness_s = 3'
        )
        self.assertEqual([('policy', 'freshness_s')], found)

    def test_heartbeat_and_poll_intervals_too_long(self):
        found = self.check(
            'heartbeat_ms = 250', 'heartbeat_ms = 2000\npoll_ms = 2000'
        )
        self.assertEqual(
            [('policy', 'heartbeat_ms'), ('policy', 'poll_ms')], found
        )

    def test_duplicate_addresses(self):
        self.assertEqual(
            [('endpoint b', 'address')],
            self.check('127.0.0.1:9002', '127.0.0.1:9001'),
        )
        self.assertEqual(
            [('instance', 'address')],
            self.check('127.0.0.1:8003', '127.0.0.1:8002'),
        )
        self.assertEqual(
            [('service orders', 'addresses')],
            self.check('127.0.0.1:7002', '127.0.0.1:7001'),
        )

    def test_own_entry_among_the_peers_is_allowed(self):
        found = self.check(
            '[peer entry-2]\naddress = 127.0.0.1:8103',
            '[peer entry-1]\naddress = 127.0.0.1:8003',
        )
        self.assertEqual([], found)

    @hypothesis.given(strategies.data())
    def test_damaged_text_does_not_raise(self, data):
        start = data.draw(strategies.integers(0, len(base.VALID_SETTINGS)))
        length = data.draw(strategies.integers(0, 40))
        piece = data.draw(strategies.text(max_size=20))
        text = (
            base.VALID_SETTINGS[:start]
            + piece
            + base.VALID_SETTINGS[start + length :]
        )
        sections, mistakes = _parsing.parse_text(text)
        result = _reading.read_sections(sections)
        for mistake in mistakes + result.mistakes:
            self.assertTrue(mistake.allowed)
        list(_checks.check_consistency(result))


class TestKeys(base.SettingsTestCase):
    def test_find_key(self):
        loaded = settings.load_settings(self.write_file(base.VALID_SETTINGS))
        key = settings.find_key(loaded, 'foo')
        self.assertEqual('studio-urgent', key.name)
        self.assertIs(tables.Rank.URGENT, key.rank)
        # Keys of operators are not valid for callers, nor the reverse.
        self.assertIsNone(settings.find_key(loaded, 'bar'))
        self.assertIsNone(settings.find_operator(loaded, 'foo'))
        self.assertEqual(
            settings.Role.OPERATE, settings.find_operator(loaded, 'bar').role
        )

    def test_unknown_or_malformed_key_is_not_found(self):
        loaded = settings.load_settings(self.write_file(base.VALID_SETTINGS))
        for text in ('', 'FOO', 'foo ', '\ud800', 'ü' * 10000):
            self.assertIsNone(settings.find_key(loaded, text))
