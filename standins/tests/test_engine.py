import json

import testtools

from standins import engine
from standins import serving


def _make_call(path, value=None, **query):
    body = json.dumps(value).encode()
    return serving.Call('POST', path, query, {}, body)


class TestEngine(testtools.TestCase):
    def start(self, **options):
        self.engine = engine.Engine(engine.Options(**options))

    def call_engine(self, path, value=None, **query):
        answer = self.engine.answer(_make_call(path, value, **query))
        return json.loads(answer.body)

    def prefill(self, request, text, **others):
        step = {
            'request': request,
            'attempt': 1,
            'position': 0,
            'first_layer': 0,
            'end_layer': 4,
            'model': 'demo',
            'version': '1',
            'rank': 0,
            'prefill': True,
            'payload': text,
            'last': True,
            'deadline_s': 1.0,
        }
        (result,) = self.call_engine('/v1/steps', {'steps': [step | others]})[
            'results'
        ]
        return result['status']

    def send_order(self, name, fencing, version='2'):
        order = {
            'id': name,
            'fencing': fencing,
            'kind': 'load_model',
            'model': 'demo',
            'version': version,
        }
        return self.engine.answer(_make_call('/v1/orders', order))

    def test_malformed_step_rejects_whole_call(self):
        self.start()
        self.assertRaises(TypeError, self.prefill, 'a', None)
        self.assertRaises(TypeError, self.prefill, 'a', 'linen', attempt='1')
        self.assertEqual([], self.call_engine('/v1/log')['steps'])

    def test_load_reports_are_delayed(self):
        self.start(load_lag_s=60.0)
        self.prefill('a', 'linen')
        self.assertEqual(0, self.call_engine('/v1/load')['streams'])

    def test_idle_streams_are_dropped(self):
        self.start(max_streams=1, idle_s=-1.0)
        self.prefill('a', 'linen')
        self.engine._streams._swept_at = 0.0
        self.assertEqual('ran', self.prefill('b', 'linen'))

    def test_cancel_arrives_before_step(self):
        self.start()
        cancel = {'streams': [{'request': 'a', 'attempt': 2}]}
        self.call_engine('/v1/cancel', cancel)
        for attempt, status in ((1, 'not_run'), (2, 'not_run'), (3, 'ran')):
            seen = self.prefill('a', 'linen', attempt=attempt)
            self.assertEqual(status, seen)

    def test_old_fencing_number_is_refused(self):
        self.start()
        self.assertFalse(self.send_order('o1', 5).not_run)
        self.assertFalse(self.send_order('o1', 5).not_run)
        self.assertTrue(self.send_order('o2', 4, '3').not_run)
        self.assertEqual('ran', self.prefill('a', 'linen', version='2'))
        self.assertEqual('not_run', self.prefill('b', 'linen', version='3'))
        self.assertEqual(1, len(self.call_engine('/v1/log')['orders']))

    def test_old_fencing_number_is_ignored(self):
        self.start(ignores_fencing=True)
        self.send_order('o1', 5)
        self.assertFalse(self.send_order('o2', 4).not_run)
        self.start()
        self.send_order('o1', 5)
        self.engine.gate.update({'ignore_fencing': True})
        self.assertFalse(self.send_order('o2', 4).not_run)

    def test_cache_events(self):
        self.start(cache_blocks=2)
        self.prefill('a', 'x' * 130)
        self.prefill('b', 'x' * 64 + 'y' * 64)
        events = self.call_engine('/v1/cache-events')['events']
        kinds = [(event['kind'], event['chars']) for event in events]
        expected = [('stored', 64), ('stored', 128), ('stored', 128)]
        self.assertEqual(expected + [('evicted', 128)], kinds)
        later = self.call_engine('/v1/cache-events', after='3')['events']
        self.assertEqual([4], [event['number'] for event in later])

    def test_lost_cache_events_leave_gaps(self):
        self.start(lose_event_every=2)
        self.prefill('a', 'x' * 64 * 5)
        events = self.call_engine('/v1/cache-events')['events']
        self.assertEqual([1, 3, 5], [event['number'] for event in events])
        self.engine.gate.update({'drop_events': True})
        self.prefill('b', 'y' * 64)
        self.assertEqual(
            events, self.call_engine('/v1/cache-events')['events']
        )

    def test_cache_events_are_delayed(self):
        self.start(event_lag_s=60.0)
        self.prefill('a', 'x' * 64)
        self.assertEqual([], self.call_engine('/v1/cache-events')['events'])

    def test_cached_prompt_costs_less(self):
        self.start(prefill_token_us=1.0)
        step = {'prefill': True, 'first_layer': 0, 'payload': 'x' * 80}
        costs = [self.engine._prefill(step) for _ in range(2)]
        self.assertEqual([20e-6, 4e-6], costs)
