"""Tests that the checks detect each kind of violation."""

import json

import testtools

from scenarios import _callers
from scenarios import _checks
from standins import model

_LAYERS = 4


def _create_request(outcome=_callers.Outcome.ANSWERED):
    item = _callers.WorkItem(1, 'urgent', 'studio', 'prompt', 2, request='r1')
    item.outcome = outcome
    if outcome is _callers.Outcome.ANSWERED:
        item.chunks = model.generate('prompt', _LAYERS, '1', 2)
    return item


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


def _create_order(outcome=_callers.Outcome.ANSWERED, number=1):
    item = _callers.WorkItem(2, 'middle', 'studio', 'b', service='s', key='k')
    item.outcome = outcome
    if outcome is _callers.Outcome.ANSWERED:
        item.chunks = [json.dumps({'number': number, 'key': 'x'})]
    return item


def _create_call(number=1):
    return {'number': number, 'key': 'x', 'body': 'b'}


def _list_kinds(work_items, steps=(), orders=(), complete=True):
    logs = _checks.Logs(list(steps), list(orders), complete)
    return [v.kind for v in _checks.find_violations(work_items, logs, _LAYERS)]


class RequestCheckTest(testtools.TestCase):
    def test_complete_answer_passes(self):
        self.assertEqual([], _list_kinds([_create_request()], _create_steps()))

    def test_answer_to_another_request(self):
        item = _create_request()
        item.chunks = model.generate('other', _LAYERS, '1', 2)
        self.assertEqual(['crossed'], _list_kinds([item], _create_steps()))

    def test_truncated_answer_reported_as_complete(self):
        item = _create_request()
        item.chunks.pop()
        self.assertEqual(['lost'], _list_kinds([item], _create_steps()))

    def test_request_without_outcome(self):
        self.assertEqual(['lost'], _list_kinds([_create_request(None)]))

    def test_refused_but_ran(self):
        item = _create_request(_callers.Outcome.REFUSED)
        self.assertEqual(['not run'], _list_kinds([item], _create_steps()))
        self.assertEqual([], _list_kinds([item]))

    def test_layer_that_ran_twice(self):
        steps = _create_steps()
        kinds = _list_kinds([_create_request()], steps + steps[:1])
        self.assertIn('doubled', kinds)

    def test_run_of_another_attempt_passes(self):
        steps = _create_steps()
        again = [dict(step, attempt=2) for step in steps]
        self.assertEqual([], _list_kinds([_create_request()], steps + again))

    def test_layer_that_did_not_run(self):
        steps = _create_steps()[:-1]
        self.assertEqual(['lost'], _list_kinds([_create_request()], steps))
        self.assertEqual(
            [], _list_kinds([_create_request()], steps, complete=False)
        )


class OrderCheckTest(testtools.TestCase):
    def test_single_run_passes(self):
        work_items = [_create_order(), _create_order()]
        self.assertEqual([], _list_kinds(work_items, orders=[_create_call()]))

    def test_order_that_ran_twice(self):
        calls = [_create_call(), _create_call(2)]
        self.assertEqual(
            ['doubled'], _list_kinds([_create_order()], orders=calls)
        )

    def test_answered_but_never_run(self):
        self.assertEqual(['lost'], _list_kinds([_create_order()]))

    def test_result_of_another_order(self):
        item = _create_order(number=7)
        kinds = _list_kinds([item], orders=[_create_call()])
        self.assertEqual(['crossed'], kinds)

    def test_refused_but_ran(self):
        item = _create_order(_callers.Outcome.REFUSED)
        kinds = _list_kinds([item], orders=[_create_call()])
        self.assertEqual(['not run'], kinds)

    def test_refused_repeat_of_an_executed_order_passes(self):
        work_items = [_create_order(), _create_order(_callers.Outcome.REFUSED)]
        self.assertEqual([], _list_kinds(work_items, orders=[_create_call()]))
