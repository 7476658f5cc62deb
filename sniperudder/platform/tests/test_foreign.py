"""Documents of another writer: any shape, never an unexpected error."""

import copy
import json

import hypothesis
from hypothesis import strategies
import testtools

from sniperudder import fleet
from sniperudder import platform
from sniperudder.platform.tests import _documents
from standins import fleet as standins

_REPORT = {
    'sequence': 2,
    'busy': True,
    'layers': {'from': 0, 'to': 4},
    'stalled': [{'id': 'r-1', 'address': 'h:1'}],
}
_SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=8)
)
_VALUES = strategies.recursive(
    _SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=3
        )
    ),
    max_leaves=6,
)


def list_places(value, place=()):
    """Return the places of all values within a document."""
    places = [place] if place else []
    if isinstance(value, dict):
        for key in value:
            places += list_places(value[key], (*place, key))
    elif isinstance(value, list):
        for index, inner in enumerate(value):
            places += list_places(inner, (*place, index))
    return places


def replace(document, place, value):
    """Return a copy of a document with another value at a place."""
    changed = copy.deepcopy(document)
    holder = changed
    for step in place[:-1]:
        holder = holder[step]
    holder[place[-1]] = value
    return changed


class ForeignDocumentTest(testtools.TestCase):
    def check(self, read, document, data):
        """Read a document in which one value is any other."""
        place = data.draw(strategies.sampled_from(list_places(document)))
        changed = replace(document, place, data.draw(_VALUES))
        try:
            return read(json.dumps(changed).encode())
        except platform.DocumentError:
            return None

    @hypothesis.given(strategies.data())
    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    def test_entry(self, data):
        read = self.check(
            lambda text: platform.read_endpoint('gpu-1', text),
            _documents.ENTRY,
            data,
        )
        if read is not None and read.layers is not None:
            self.assertTrue(0 <= read.layers.start < read.layers.end)

    @hypothesis.given(strategies.data())
    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    def test_configuration(self, data):
        document = standins.make_configuration(engine=standins.make_engine())
        self.check(platform.read_configuration, document, data)

    @hypothesis.given(strategies.data())
    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    def test_report(self, data):
        self.check(platform.read_report, _REPORT, data)

    def test_range_that_ends_before_it_starts_is_none(self):
        entry = {**_documents.ENTRY, 'layers': {'from': 4, 'to': 0}}
        read = platform.read_endpoint('gpu-1', json.dumps(entry).encode())
        self.assertIsNone(read.layers)
        self.assertEqual(fleet.Layers(0, 4), self.read_layers(0, 4))

    def read_layers(self, start, end):
        """Return the layers of an entry."""
        entry = {**_documents.ENTRY, 'layers': {'from': start, 'to': end}}
        text = json.dumps(entry).encode()
        return platform.read_endpoint('gpu-1', text).layers
