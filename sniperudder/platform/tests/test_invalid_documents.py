"""Property tests: malformed documents raise no unexpected exceptions.

Other programs write to the same tables, so a document can have any shape.
"""

import copy
import json
import math
import socket

import h11
import hypothesis
from hypothesis import strategies
import testtools

from sniperudder import digests
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
# Values at and beyond the limits of what can be passed on.
_ODD_SCALARS = strategies.sampled_from(
    (
        2**31,
        2**63 - 1,
        2**63,
        -(2**63) - 1,
        10**400,
        1e300,
        math.inf,
        -math.inf,
        math.nan,
        '\ud800',
        'a\nb',
        '127.0.0.1:70000',
        '127.0.0.1:\u0661',
    )
)
_VALUES = _ODD_SCALARS | strategies.recursive(
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
        if decoded is not None:
            self.pass_on(decoded)

    # Guards against: a value that was accepted could not be passed on in
    # digests, feeds or requests to endpoints.
    def pass_on(self, endpoint):
        """Name an endpoint in all messages in which one can occur."""
        run_id = endpoint.id, endpoint.born_ms
        load = digests.Load(endpoint.slots, float(endpoint.report_number))
        digest = digests.Digest(
            'entry-1',
            5,
            1,
            {endpoint.id: load},
            (digests.Fault(endpoint.id, endpoint.born_ms, 1.0),),
            crossings={(endpoint.data_centre, endpoint.data_centre): 1.0},
            crash_report=digests.CrashReport(
                {run_id: digests.Crash(1.0, {endpoint.service: 1})}
            ),
            restrictions={run_id: digests.Restriction(True, 1.0, 0.0)},
            demands={endpoint.service: 1.0},
        )
        decoded = digests.decode_digest(digests.encode_digest(digest))
        self.assertEqual(run_id, next(iter(decoded.restrictions)))
        stage = fleet.Stage(endpoint, endpoint.layers)
        headers = platform.make_request_headers([stage], 1.0, 1, 'org', None)
        h11.Request(
            method='POST', target='/', headers=[('Host', 'h'), *headers]
        )
        if endpoint.layers is not None:
            platform.make_place_order(endpoint.layers, endpoint.report_number)
        host, _, port = endpoint.address.rpartition(':')
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.connect((host, int(port)))

    @hypothesis.given(strategies.data())
    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    def test_row_of_an_instance(self, data):
        row = {'host': '10.1.0.1', 'port': 80}

        def decode(text):
            value = platform.parse_object(text)
            return platform.decode_host(value), platform.decode_port(value)

        address = self.check(decode, row, data)
        if address is not None:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                sender.connect(address)

    def test_settings_without_ports_are_invalid(self):
        for ports in ([], ['a'], [0], [70_000]):
            with testtools.ExpectedException(
                platform.DocumentError, '.*port.*'
            ):
                self.decode_settings(port_range=ports)

    def test_unknown_mode_of_a_feature_is_invalid(self):
        for features in (
            {'prompt_reuse': 'on'},
            {'prompt_reuse': True},
            {'caller_memory_mb': -1},
            {'caller_memory_mb': '64'},
        ):
            with testtools.ExpectedException(
                platform.DocumentError, f'{next(iter(features))}.*'
            ):
                self.decode_settings(features=features)

    def test_feature_that_is_off_leaves_the_others_as_they_are(self):
        decoded = self.decode_settings(features={'prompt_reuse': 'off'})
        self.assertEqual(fleet.Features(prompt_reuse=False), decoded.features)
        self.assertEqual(fleet.Features(), self.decode_settings().features)

    def decode_settings(self, **fields):
        """Decode settings in which some fields are replaced."""
        settings = {
            'node': 'entry-1',
            'zone': 'north',
            'ip': '127.0.0.1',
            'listen': {'front': '127.0.0.1:1', 'ready': '127.0.0.1:2'},
            'port_range': [80],
            'platform': {'address': '127.0.0.1:3'},
            'bounds': {
                'drain_ms': 2_000,
                'grace_s': 8,
                'budget_ratio': 0.2,
                'budget_window_s': 10,
                'budget_slack': 200,
            },
            **fields,
        }
        return platform.decode_settings(json.dumps(settings).encode())

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
