import dataclasses
import json
import subprocess
import sys

import testtools

from sniperudder import effects
from sniperudder import endpoints
from sniperudder import inputs
from sniperudder import tables
from standins import engine
from standins import model
from standins import relay
from standins import serving

_NOT_SENT = inputs.Delivery.NOT_SENT
_LOST = inputs.Delivery.LOST
_TIMEOUT_S = 5.0
_SHORT_S = 0.3


def _make_endpoint(address, first=0, end=4):
    return tables.Endpoint(
        'engine-1', address, 'milan', 'm1', 'demo', '1', first, end, 16
    )


def _make_step(request='r1', position=0, **changes):
    step = effects.Step(
        request=request,
        attempt=1,
        position=position,
        first_layer=0,
        end_layer=4,
        model='demo',
        version='1',
        rank=0,
        prefill=position == 0,
        payload='linen',
        last=True,
        deadline_s=10.0,
    )
    return dataclasses.replace(step, **changes)


class _FixedResponse(serving.Standin):
    """Responds with a fixed JSON value."""

    value = None

    def answer(self, call):
        return serving.answer_json(self.value)


class TestEngineClient(testtools.TestCase):
    def start(self, standin):
        server = serving.create_server(standin)
        self.addCleanup(server.stop)
        return _make_endpoint(server.address)

    def start_engine(self, **options):
        self.client = endpoints.create_engine_client()
        self.engine = engine.Engine(engine.Options(**options))
        self.ep = self.start(self.engine)

    def send(self, *steps, timeout_s=_TIMEOUT_S):
        return self.client.send_steps(self.ep, list(steps), timeout_s)

    def read_log(self):
        log = json.loads(self.engine._report_log().body)
        return [(s['request'], s['position']) for s in log['steps']]

    def check_refused(self, result, delivery):
        self.check_failed(result, delivery, refused=True)

    def check_failed(self, result, delivery, crashed=False, refused=False):
        self.assertIsInstance(result, inputs.StepFailed)
        self.assertEqual(refused, result.refused, result)
        seen = result.delivery, result.crashed
        self.assertEqual((delivery, crashed), seen, result)

    def test_two_stages_produce_tokens_of_the_model(self):
        self.start_engine(first_layer=0, end_layer=2)
        first = self.ep
        self.start_engine(first_layer=2, end_layer=6)
        tokens = []
        for position in range(4):
            payload = tokens[-1] if tokens else 'linen'
            step = _make_step('r', position, end_layer=2, last=False)
            step = dataclasses.replace(step, payload=payload)
            (middle,) = self.client.send_steps(first, [step], _TIMEOUT_S)
            step = _make_step('r', position, first_layer=2, end_layer=6)
            step = dataclasses.replace(step, payload=middle.output)
            tokens.append(self.send(step)[0].output)
        self.assertEqual(model.generate('linen', 6, '1', 4), tokens)

    def test_new_attempt_continues_from_prefill(self):
        self.start_engine()
        tokens = model.generate('linen', 4, '1', 3)
        text = 'linen' + ''.join(tokens[:2])
        step = _make_step(position=2, attempt=2, prefill=True, payload=text)
        self.assertEqual(tokens[2], self.send(step)[0].output)
        self.check_refused(self.send(_make_step(position=1))[0], _NOT_SENT)

    def test_refused_steps(self):
        self.start_engine(max_streams=2)
        results = self.send(
            _make_step('a'),
            _make_step('b', version='2'),
            _make_step('c', end_layer=5),
            _make_step('d', position=1),
            _make_step('e', deadline_s=0.0),
            _make_step('a', position=2),
            _make_step('f'),
            _make_step('g'),
        )
        ran = [type(result) is inputs.StepReturned for result in results]
        self.assertEqual([True] + 5 * [False] + [True, False], ran)
        for result, done in zip(results, ran, strict=True):
            if not done:
                self.check_refused(result, _NOT_SENT)
        self.assertEqual([('a', 0), ('f', 0)], self.read_log())

    def test_unpaired_surrogate_in_payload(self):
        self.start_engine()
        tokens = model.generate('\ud800', 4, '1', 1)
        step = _make_step(payload='\ud800')
        self.assertEqual(tokens[0], self.send(step)[0].output)

    def test_repeated_step(self):
        self.start_engine()
        self.send(_make_step())
        self.check_refused(self.send(_make_step())[0], _LOST)
        self.start_engine(deduplicates=True)
        first = self.send(_make_step())[0]
        self.assertEqual(first.output, self.send(_make_step())[0].output)
        self.assertEqual([('r1', 0)], self.read_log())

    def test_connection_breaks_at_each_offset(self):
        self.start_engine()
        direct = self.ep
        link = relay.create_relay(direct.address)
        self.addCleanup(link.close)
        self.ep = _make_endpoint(link.address)
        self.send(_make_step('whole-000'))
        totals = {
            'request_limit': link.request_bytes,
            'answer_limit': link.answer_bytes,
        }
        for name, total in totals.items():
            for limit in range(0, total, 5):
                self.client = endpoints.create_engine_client()
                link.update(relay.Link(**{name: limit}))
                request = f'{name[:5]}-{limit:03}'
                (result,) = self.send(_make_step(request))
                self.assertIsInstance(result, inputs.StepFailed)
                if result.delivery is _NOT_SENT:
                    self.assertNotIn((request, 0), self.read_log())
                else:
                    self.assertEqual(_LOST, result.delivery)

    def test_refused_connection(self):
        self.start_engine()
        self.ep = _make_endpoint('127.0.0.1:1')
        self.check_failed(self.send(_make_step())[0], _NOT_SENT)

    def test_faults(self):
        cases = (
            ({'refuse': True}, _NOT_SENT, False, False),
            ({'hang_up': True}, _LOST, True, False),
            ({'lose_answers': 1}, _LOST, True, True),
            ({'cut_answers': 1}, _LOST, True, True),
            ({'delay_s': 4 * _SHORT_S}, _LOST, False, True),
        )
        self.start_engine()
        for number, (faults, delivery, crashed, ran) in enumerate(cases):
            self.engine.gate.update({})
            self.engine.gate.update(faults)
            request = f'r{number}'
            timeout_s = _SHORT_S if 'delay_s' in faults else _TIMEOUT_S
            (result,) = self.send(_make_step(request), timeout_s=timeout_s)
            self.check_failed(result, delivery, crashed)
            self.assertEqual(ran, (request, 0) in self.read_log())

    def test_failures_carry_the_identifier_of_their_call(self):
        self.start_engine()
        self.engine.gate.update({'hang_up': True})
        first, second = self.send(_make_step('a'), _make_step('b'))
        (third,) = self.send(_make_step('c'))
        self.assertEqual(first.call, second.call)
        self.assertNotEqual(first.call, third.call)

    def test_response_to_another_call_is_lost(self):
        self.start_engine()
        self.send(_make_step('a'))
        self.engine.gate.update({'cross_answers': 1})
        self.check_failed(self.send(_make_step('b'))[0], _LOST)

    def test_malformed_results(self):
        self.start_engine()
        good = {
            'status': 'ran',
            'request': 'r1',
            'attempt': 1,
            'position': 0,
            'first_layer': 0,
            'end_layer': 4,
            'output': ' w1',
            'finished': False,
        }
        fixed = _FixedResponse()
        self.ep = self.start(fixed)
        fixed.value = {'results': [good]}
        self.assertIsInstance(self.send(_make_step())[0], inputs.StepReturned)
        result_lists = [[good | {name: None}] for name in good]
        result_lists += [[good | {name: 9}] for name in good]
        result_lists += [[good | {name: []}] for name in good]
        result_lists += [], [good, good], None, [[]], [1], 'results'
        for value in [{'results': results} for results in result_lists] + [
            None,
            [],
        ]:
            fixed.value = value
            self.check_failed(self.send(_make_step())[0], _LOST)

    def test_load(self):
        self.start_engine()
        self.send(_make_step('a'), _make_step('b'))
        self.assertEqual(2, self.client.read_load(self.ep, 1.0).streams)
        cancel = effects.CancelStream('engine-1', 'a', 1)
        self.client.cancel_streams(self.ep, [cancel], 1.0)
        self.assertEqual(1, self.client.read_load(self.ep, 1.0).streams)
        late = self.send(_make_step('a', position=1, prefill=False))
        self.check_refused(late[0], _NOT_SENT)
        self.assertEqual('a', late[0].step.request)
        self.engine.gate.update({'refuse': True})
        self.assertIsNone(self.client.read_load(self.ep, 1.0))


class TestEngineProcess(testtools.TestCase):
    def test_step_that_crashes_the_engine(self):
        process = subprocess.Popen(
            [sys.executable, '-m', 'standins.engine'],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.kill)
        port = process.stdout.readline().split()[1]
        client = endpoints.create_engine_client()
        ep = _make_endpoint(f'127.0.0.1:{port}')
        steps = [_make_step('a'), _make_step('b', payload='crash-engine')]
        for result in client.send_steps(ep, steps, _TIMEOUT_S):
            seen = result.delivery, result.crashed
            self.assertEqual((_LOST, True), seen)
        self.assertEqual(1, process.wait())
        (result,) = client.send_steps(ep, steps[:1], _TIMEOUT_S)
        self.assertEqual(_NOT_SENT, result.delivery)
