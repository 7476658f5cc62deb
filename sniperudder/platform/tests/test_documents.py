"""Tests of decoding platform documents and HTTP headers."""

import json

import testtools

from sniperudder import fleet
from sniperudder import platform
from sniperudder.platform.tests import _documents
from standins import fleet as standins


def decode_endpoint_row(**changes):
    """Decode an endpoint row with some fields changed."""
    data = json.dumps({**_documents.ENDPOINT_ROW, **changes}).encode()
    return platform.decode_endpoint('gpu-1', data)


class EndpointTest(testtools.TestCase):
    def test_endpoint_row_is_decoded(self):
        endpoint = decode_endpoint_row()
        self.assertEqual(fleet.Layers(0, 4), endpoint.layers)
        self.assertFalse(endpoint.leaving)
        self.assertTrue(decode_endpoint_row(state='draining').leaving)

    def test_heartbeat_count_does_not_affect_equality(self):
        self.assertEqual(
            decode_endpoint_row(), decode_endpoint_row(sequence=8)
        )

    def test_malformed_endpoint_rows_are_rejected(self):
        for changes in (
            {'state': 'sleeping'},
            {'address': 'nowhere'},
            {'address': 7},
            {'slots': '8'},
            {'slots': True},
            {'service': None},
        ):
            with testtools.ExpectedException(platform.DocumentError):
                decode_endpoint_row(**changes)
        for data in (b'', b'\xff\xfe', b'[1]', b'[' * 100_000):
            with testtools.ExpectedException(platform.DocumentError):
                platform.decode_endpoint('gpu-1', data)


class ConfigurationTest(testtools.TestCase):
    def decode(self, value):
        """Decode a configuration."""
        return platform.decode_configuration(json.dumps(value).encode())

    def test_configuration_is_decoded(self):
        engine = standins.make_engine()
        configuration = self.decode(
            standins.make_configuration(3, engine=engine)
        )
        self.assertEqual(3, configuration.version)
        self.assertEqual('studio', configuration.keys['key-1'].name)
        self.assertEqual(8, configuration.services['llm'].engine.layer_count)
        self.assertIsNone(configuration.services['desk'].engine)
        kinds = {
            route.name: (route.repeatable, route.streaming)
            for route in configuration.routes['shop.example']
        }
        self.assertEqual((True, False), kinds['safe'])
        self.assertEqual((False, False), kinds['unsafe'])
        self.assertEqual((False, True), kinds['stream'])

    def test_weighted_targets_replace_the_service(self):
        value = standins.make_configuration()
        value['routes'][0]['split'] = [
            {'service': 'llm', 'weight': 90},
            {'service': 'desk', 'weight': 10},
        ]
        routes = self.decode(value).routes['shop.example']
        route = next(r for r in routes if r.name == 'stream')
        self.assertEqual([90.0, 10.0], [t.weight for t in route.targets])

    def test_no_api_key_is_required_without_organisations(self):
        value = standins.make_configuration()
        del value['tenants']
        self.assertIsNone(self.decode(value).keys)

    def test_malformed_configuration_is_rejected(self):
        value = standins.make_configuration()
        value['routes'][0]['timeout_ms'] = 'long'
        with testtools.ExpectedException(platform.DocumentError):
            self.decode(value)


class HeaderTest(testtools.TestCase):
    def test_request_headers_are_parsed(self):
        head = platform.decode_request_head(
            [
                (b'x-sniperudder-request-id', b'r-1'),
                (b'x-sniperudder-request-deadline', b'1500'),
                (b'x-sniperudder-token-count', b'700,80'),
                (b'x-sniperudder-length-hint', b'30'),
                (b'authorization', b'token abc'),
                (b'last-event-id', b'4'),
            ]
        )
        self.assertEqual('r-1', head.request_id)
        self.assertEqual(1.5, head.wait_s)
        self.assertEqual((700, 30), (head.prompt_tokens, head.output_tokens))
        self.assertEqual(('abc', '4'), (head.key, head.last_event_id))

    def test_last_part_of_a_prompt_is_not_shared(self):
        for value, parts in (
            (
                b'5c1e07a2:800, 91BD3f06:410,e4402b7d:250',
                ['5c1e07a2', '91bd3f06'],
            ),
            (b'e4402b7d:250', []),
            (b',,x', []),
            (b'a:1,a:1,b:2', ['a']),
        ):
            head = platform.decode_request_head(
                [(b'x-sniperudder-prefix-hash', value)]
            )
            self.assertEqual(parts, list(head.shared_parts))

    def test_malformed_header_values_are_ignored(self):
        head = platform.decode_request_head(
            [
                (b'x-sniperudder-request-deadline', b'soon'),
                (b'x-sniperudder-token-count', b'many'),
                (b'authorization', b'Basic abc'),
            ]
        )
        self.assertIsNone(head.wait_s)
        self.assertIsNone(head.key)
        self.assertEqual(0, head.prompt_tokens)

    def test_hop_by_hop_headers_are_not_forwarded(self):
        headers = [
            (b'connection', b'Connection', b'close, X-Own'),
            (b'x-own', b'X-Own', b'1'),
            (b'transfer-encoding', b'Transfer-Encoding', b'chunked'),
            (b'authorization', b'Authorization', b'Token abc'),
            (b'x-kept', b'X-Kept', b'2'),
        ]
        kept = platform.filter_request_headers(headers, hide_key=True)
        self.assertEqual([(b'X-Kept', b'2')], kept)

    def test_rejected_and_misdirected_requests_did_not_run(self):
        refused = [(b'x-sniperudder-not-executed', b'1')]
        self.assertTrue(platform.decode_response_head(503, refused).not_run)
        self.assertTrue(platform.decode_response_head(421, []).not_run)
        self.assertFalse(platform.decode_response_head(503, []).not_run)


class ReportTest(testtools.TestCase):
    def test_report_sequence_counts_orders(self):
        report = platform.decode_report(
            b'{"sequence": 2, "busy": true,'
            b' "stalled": [{"id": "r-1", "address": "h:1"}]}'
        )
        self.assertEqual((2, True), (report.orders_begun, report.busy))
        self.assertEqual('h:1', report.stalled[0].address)

    def test_order_without_expected_count_omits_condition(self):
        order = json.loads(platform.make_place_order(fleet.Layers(2, 4), None))
        self.assertNotIn('expected_rev', order)
