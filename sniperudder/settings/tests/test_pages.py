import dataclasses
import pathlib

import testtools

from sniperudder import settings
from sniperudder.settings import _sections
from sniperudder import tables

_ROOT = pathlib.Path(__file__).parents[3]


class TestExamples(testtools.TestCase):
    def check_example(self, name, instances):
        path = str(_ROOT / 'examples' / name)
        self.assertEqual([], settings.check_settings(path))
        loaded = settings._loading._read_file(path)[0]
        self.assertEqual(30, len(loaded.endpoints))
        self.assertEqual(10, len(loaded.organisations))
        self.assertEqual(instances, len(loaded.peers))
        centres = {ep.data_centre for ep in loaded.endpoints.values()}
        self.assertEqual(3, len(centres))
        for service in loaded.services.values():
            self.assertEqual(3, len(service.addresses))
        for ep in loaded.endpoints.values():
            layers = loaded.models[ep.model].layers
            self.assertLess(ep.end_layer - ep.first_layer, layers)

    def test_lombardy(self):
        self.check_example('lombardy.ini', 9)

    def test_gulf_south(self):
        self.check_example('gulf_south.ini', 8)


class TestSettingsPage(testtools.TestCase):
    def test_documentation_page_is_up_to_date(self):
        # `make docs` regenerates the page.
        page = (_ROOT / 'docs' / 'SETTINGS.md').read_text(encoding='utf-8')
        self.assertEqual(settings.render_settings(), page)

    def test_every_policy_field_has_a_key(self):
        fields = {item.name for item in dataclasses.fields(tables.Policy)}
        keys = {option.field for option in _sections._POLICY.options}
        other_sections = {'ranks', 'platform_timeout_s'}
        self.assertEqual(fields, keys | other_sections)

    def test_every_rank_policy_field_has_a_key(self):
        fields = [item.name for item in dataclasses.fields(tables.RankPolicy)]
        section, names = _sections.find_section('rank least')
        self.assertEqual((), names)
        self.assertEqual(fields, [option.field for option in section.options])
