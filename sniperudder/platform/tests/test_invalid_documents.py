"""Property tests: malformed documents raise no unexpected exceptions.

Other programs write to the same tables, so a document can have any shape.
"""

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


def list_paths(value, path=()):
    """Return the paths of all values within a document."""
    paths = [path] if path else []
    if isinstance(value, dict):
        for key in value:
            paths += list_paths(value[key], (*path, key))
    elif isinstance(value, list):
        for index, inner in enumerate(value):
            paths += list_paths(inner, (*path, index))
    return paths


def replace_value(document, path, value):
    """Return a copy of a document with the value at a path replaced."""
    changed = copy.deepcopy(document)
    parent = changed
    for step in path[:-1]:
        parent = parent[step]
    parent[path[-1]] = value
    return changed


class InvalidDocumentTest(testtools.TestCase):
    def check(self, decode, document, data):
        """Decode a document in which one value is replaced by a random one."""
        path = data.draw(strategies.sampled_from(list_paths(document)))
        changed = replace_value(document, path, data.draw(_VALUES))
        try:
            return decode(json.dumps(changed).encode())
        except platform.DocumentError:
            return None

    @hypothesis.given(strategies.data())
    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    def test_endpoint_row(self, data):
        decoded = self.check(
            lambda text: platform.decode_endpoint('gpu-1', text),
            _documents.ENDPOINT_ROW,
            data,
        )
        if decoded is not None and decoded.layers is not None:
            self.assertTrue(0 <= decoded.layers.start < decoded.layers.end)

    @hypothesis.given(strategies.data())
    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    def test_configuration(self, data):
        document = standins.make_configuration(engine=standins.make_engine())
        self.check(platform.decode_configuration, document, data)

    @hypothesis.given(strategies.data())
    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    def test_report(self, data):
        self.check(platform.decode_report, _REPORT, data)

    def test_layer_range_that_ends_before_it_starts_is_none(self):
        row = {**_documents.ENDPOINT_ROW, 'layers': {'from': 4, 'to': 0}}
        decoded = platform.decode_endpoint('gpu-1', json.dumps(row).encode())
        self.assertIsNone(decoded.layers)
        self.assertEqual(fleet.Layers(0, 4), self.decode_layers(0, 4))

    def decode_layers(self, start, end):
        """Decode an endpoint row with the given layers; return them."""
        row = {**_documents.ENDPOINT_ROW, 'layers': {'from': start, 'to': end}}
        text = json.dumps(row).encode()
        return platform.decode_endpoint('gpu-1', text).layers
