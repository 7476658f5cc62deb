"""Tests of the checker: each broken promise must be seen."""

import json

import testtools

from scenarios import _checks
from scenarios import _work
from standins import model

_LAYERS = 4


def _create_request(ending=_work.Ending.ANSWERED):
    work = _work.Work(1, 'urgent', 'studio', 'prompt', 2, request='r1')
    work.ending = ending
    if ending is _work.Ending.ANSWERED:
        work.pieces = model.generate('prompt', _LAYERS, '1', 2)
    return work


def _create_steps():
    return [
        {
            'request': 'r1',
            'attempt': 1,
            'position': position,
            'first_layer': first,
            'end_layer': first + 2,
        }
        for position in (0, 1)
        for first in (0, 2)
    ]


def _create_order(ending=_work.Ending.ANSWERED, number=1):
    work = _work.Work(2, 'middle', 'studio', 'b', service='s', key='k')
    work.ending = ending
    if ending is _work.Ending.ANSWERED:
        work.pieces = [json.dumps({'number': number, 'key': 'x'})]
    return work


def _create_call(number=1):
    return {'number': number, 'key': 'x', 'body': 'b'}


def _check(works, steps=(), orders=(), whole=True):
    logs = _checks.Logs(list(steps), list(orders), whole)
    return [v.kind for v in _checks.check_work(works, logs, _LAYERS)]


class RequestCheckTest(testtools.TestCase):
    def test_whole_answer_holds(self):
        self.assertEqual([], _check([_create_request()], _create_steps()))

    def test_answer_of_another(self):
        work = _create_request()
        work.pieces = model.generate('other', _LAYERS, '1', 2)
        self.assertEqual(['crossed'], _check([work], _create_steps()))

    def test_truncated_answer_that_looks_whole(self):
        work = _create_request()
        work.pieces.pop()
        self.assertEqual(['lost'], _check([work], _create_steps()))

    def test_no_outcome(self):
        self.assertEqual(['lost'], _check([_create_request(None)]))

    def test_refused_but_ran(self):
        work = _create_request(_work.Ending.REFUSED)
        self.assertEqual(['not run'], _check([work], _create_steps()))
        self.assertEqual([], _check([work]))

    def test_layer_that_ran_twice(self):
        steps = _create_steps()
        kinds = _check([_create_request()], steps + steps[:1])
        self.assertIn('doubled', kinds)

    def test_another_attempt_is_no_double(self):
        steps = _create_steps()
        again = [dict(step, attempt=2) for step in steps]
        self.assertEqual([], _check([_create_request()], steps + again))

    def test_layer_that_did_not_run(self):
        steps = _create_steps()[:-1]
        self.assertEqual(['lost'], _check([_create_request()], steps))
        self.assertEqual([], _check([_create_request()], steps, whole=False))


class OrderCheckTest(testtools.TestCase):
    def test_one_run_holds(self):
        works = [_create_order(), _create_order()]
        self.assertEqual([], _check(works, orders=[_create_call()]))

    def test_two_runs(self):
        calls = [_create_call(), _create_call(2)]
        self.assertEqual(['doubled'], _check([_create_order()], orders=calls))

    def test_answered_but_never_run(self):
        self.assertEqual(['lost'], _check([_create_order()]))

    def test_result_of_another(self):
        work = _create_order(number=7)
        kinds = _check([work], orders=[_create_call()])
        self.assertEqual(['crossed'], kinds)

    def test_refused_but_ran(self):
        work = _create_order(_work.Ending.REFUSED)
        kinds = _check([work], orders=[_create_call()])
        self.assertEqual(['not run'], kinds)

    def test_refused_repeat_of_a_run_order_holds(self):
        works = [_create_order(), _create_order(_work.Ending.REFUSED)]
        self.assertEqual([], _check(works, orders=[_create_call()]))
