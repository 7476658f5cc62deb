import dataclasses
import json
import threading

import testtools

from sniperudder import clocks
from sniperudder import effects
from sniperudder import inputs
from sniperudder import services
from standins import relay
from standins import service
from standins import serving

_NOT_SENT = inputs.Delivery.NOT_SENT
_LOST = inputs.Delivery.LOST
_TIMEOUT_S = 5.0
_SHORT_TIMEOUT_S = 0.3


class _FixedAnswer(serving.Standin):
    """Returns one fixed answer to every call."""

    def __init__(self, answer):
        super().__init__()
        self._answer = answer

    def answer(self, call):
        return self._answer


class TestServiceClient(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.client = services.create_service_client()

    def start(self, standin):
        self.standin = standin
        server = serving.create_server(standin)
        self.addCleanup(server.stop)
        self.address = server.address

    def call(
        self,
        key='key-1',
        timeout_s=_TIMEOUT_S,
        deadline_s=10.0,
        body='{"swatch": 7}',
    ):
        call = effects.CallService(
            'o1', self.address, key, body, clocks.read_clock() + deadline_s
        )
        return self.client.call(call, timeout_s)

    def look_up(self, key='key-1'):
        call = effects.LookUpKey('o1', self.address, key)
        return self.client.look_up(call, _TIMEOUT_S)

    def list_executed_keys(self):
        return [entry['key'] for entry in self.standin.log]

    def test_result(self):
        self.start(service.Service())
        result = self.call()
        self.assertEqual((200, None), (result.status, result.delivery))
        self.assertEqual(1, json.loads(result.body)['number'])
        self.assertEqual(self.address, result.address)

    def test_repeated_key(self):
        self.start(service.Service())
        self.assertNotEqual(self.call().body, self.call().body)
        self.start(service.Service(deduplicates=True))
        self.assertEqual(self.call().body, self.call().body)
        self.assertEqual(['key-1'], self.list_executed_keys())

    def test_lookup(self):
        self.start(service.Service(lookup=True))
        expected = inputs.KeyLookupReturned('o1', answered=True)
        self.assertEqual(expected, self.look_up())
        body = self.call().body
        expected = inputs.KeyLookupReturned('o1', True, True, 200, body)
        self.assertEqual(expected, self.look_up())
        self.start(service.Service())
        self.assertFalse(self.look_up().answered)

    def test_keys_with_special_characters(self):
        self.start(service.Service(lookup=True))
        for key in (
            'a/b',
            'a%2Fb',
            'é',
            ' a\r\nX-A: b',
            '?a#b',
            '..',
            '\ud800',
        ):
            self.assertFalse(self.look_up(key).found)
            self.assertEqual(200, self.call(key).status)
            self.assertTrue(self.look_up(key).found)

    def test_unencodable_body_is_not_sent(self):
        self.start(service.Service())
        self.assertEqual(_NOT_SENT, self.call(body='\ud800').delivery)

    def test_faults(self):
        cases = (
            ({'refuse': True}, _NOT_SENT, False),
            ({'hang_up': True}, _LOST, False),
            ({'lose_answers': 1}, _LOST, True),
            ({'cut_answers': 1}, _LOST, True),
            ({'delay_s': 4 * _SHORT_TIMEOUT_S}, _LOST, True),
        )
        self.start(service.Service())
        for number, (faults, delivery, ran) in enumerate(cases):
            self.standin.gate.update(faults)
            timeout_s = _SHORT_TIMEOUT_S if 'delay_s' in faults else _TIMEOUT_S
            result = self.call(f'key-{number}', timeout_s)
            self.standin.gate.update({})
            self.assertEqual((delivery, 0), (result.delivery, result.status))
            self.assertEqual(ran, f'key-{number}' in self.list_executed_keys())

    def test_expired_call_is_not_run(self):
        self.start(service.Service())
        self.standin.gate.update({'slow_s': 0.1})
        result = self.call(deadline_s=0.05)
        self.assertEqual(_NOT_SENT, result.delivery)
        self.assertEqual([], self.list_executed_keys())

    def test_call_past_its_start_time_is_not_sent(self):
        self.start(_FixedAnswer(serving.Answer(200, b'')))
        result = self.call(deadline_s=-0.001)
        self.assertEqual(_NOT_SENT, result.delivery)

    def test_lookup_reports_a_started_call(self):
        self.start(_FixedAnswer(serving.answer_json({'found': False})))
        self.assertFalse(self.look_up().started)
        running = {'found': False, 'started': True}
        self.start(_FixedAnswer(serving.answer_json(running)))
        expected = inputs.KeyLookupReturned('o1', answered=True, started=True)
        self.assertEqual(expected, self.look_up())

    def test_call_at_or_after_its_start_time_is_not_run(self):
        self.start(service.Service())
        self.assertEqual(_NOT_SENT, self.call(deadline_s=0.0).delivery)
        self.standin.gate.update({'slow_s': 0.1})
        result = self.call(deadline_s=0.05)
        self.assertEqual(_NOT_SENT, result.delivery)
        self.assertEqual([], self.list_executed_keys())

    def test_lookup_returns_its_lookup_number(self):
        self.start(_FixedAnswer(serving.answer_json({'found': False})))
        call = effects.LookUpKey('o1', self.address, 'key-1', lookup_number=7)
        self.assertEqual(
            7, self.client.look_up(call, _TIMEOUT_S).lookup_number
        )
        self.start(_FixedAnswer(serving.answer_json({}, 503)))
        call = dataclasses.replace(call, address=self.address)
        self.assertEqual(
            7, self.client.look_up(call, _TIMEOUT_S).lookup_number
        )

    def test_running_call_has_no_result(self):
        self.start(
            service.Service(deduplicates=True, lookup=True, work_s=60.0)
        )
        self.call(timeout_s=_SHORT_TIMEOUT_S)
        self.assertEqual(_LOST, self.call().delivery)
        self.assertFalse(self.look_up().answered)

    def test_response_with_another_key_is_lost(self):
        self.start(service.Service())
        self.call('key-1')
        self.standin.gate.update({'cross_answers': 1})
        self.assertEqual(_LOST, self.call('key-2').delivery)

    def test_connection_breaks_at_each_offset(self):
        self.start(service.Service())
        link = relay.create_relay(self.address)
        self.addCleanup(link.close)
        self.address = link.address
        self.call('whole-000')
        totals = {
            'request_limit': link.request_bytes,
            'answer_limit': link.answer_bytes,
        }
        for name, total in totals.items():
            for limit in range(0, total, 5):
                link.update(relay.Link(**{name: limit}))
                self.client = services.create_service_client()
                key = f'{name[:5]}-{limit:03}'
                result = self.call(key)
                if result.delivery is _NOT_SENT:
                    self.assertNotIn(key, self.list_executed_keys())
                else:
                    self.assertEqual(_LOST, result.delivery)

    def test_unreachable(self):
        self.address = '127.0.0.1:1'
        self.assertEqual(_NOT_SENT, self.call().delivery)
        self.assertFalse(self.look_up().answered)

    def test_statuses(self):
        cases = (
            (serving.Answer(200, b''), None),
            (serving.Answer(422, b'no'), None),
            (serving.Answer(429, b''), _LOST),
            (serving.Answer(500, b''), _LOST),
            (serving.Answer(200, b'\xff'), _LOST),
            (serving.Answer(200, b'', key='key-2'), _LOST),
            (serving.Answer(429, b'', not_run=True), _NOT_SENT),
        )
        for answer, delivery in cases:
            self.start(_FixedAnswer(answer))
            result = self.call()
            self.assertEqual(delivery, result.delivery, answer)
            status = 0 if delivery else answer.status
            self.assertEqual(status, result.status)

    def test_malformed_lookups(self):
        found = {'found': True, 'status': 200, 'body': ''}
        values = [found | {name: None} for name in found]
        values += [None, [], {}, {'found': 1, 'status': 200, 'body': ''}]
        for value in values:
            self.start(_FixedAnswer(serving.answer_json(value)))
            self.assertFalse(self.look_up().answered, value)

    def test_concurrent_calls_with_one_key_run_once(self):
        self.start(service.Service(deduplicates=True, work_s=0.1))
        threads = [threading.Thread(target=self.call) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(['key-1'], self.list_executed_keys())
