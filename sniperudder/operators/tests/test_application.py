"""Tests of the administration application."""

import dataclasses
import io
import json
import typing

import testtools

from sniperudder import intents
from sniperudder import operators
from sniperudder import outcomes
from sniperudder import queries
from sniperudder.queries.tests import fleets
from sniperudder.settings import Operator
from sniperudder.settings import Role
from sniperudder.tables import Change

_OPERATORS = {role.name: Operator(role.name, role, b'') for role in Role}


@dataclasses.dataclass
class _InstanceStatus:
    instance: str
    version: int
    since: float
    in_force: bool
    reason: str = ''


@dataclasses.dataclass
class _Verification:
    command: str
    outcome: typing.Any = None
    change: Change | None = None
    superseded_by: Change | None = None
    accepted: bool = False
    in_force_everywhere: bool = False
    statuses: tuple = ()


class _Backend(operators.OperatorBackend):
    """One instance, with a platform that returns a set outcome."""

    def __init__(self):
        self.T = fleets.create_fleet()
        self.outcome = outcomes.CommittedAt(2)
        self.submitted = []
        self.verifications = {}

    def run_query(self, query, timeout_s):
        partial = queries.evaluate_partial(self.T, query, fleets.NOW)
        return queries.combine_partials(query, [partial], ['entry-7'])

    def plan_intent(self, intent):
        return queries.plan_intent(self.T, intent)

    def submit_command(self, command, command_id, operator, timeout_s):
        self.submitted.append((command, command_id, operator))
        return self.outcome

    def verify(self, command_id):
        known = self.verifications.get(command_id)
        return known or _Verification(command_id)


class ApplicationTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.backend = _Backend()
        self.now = fleets.NOW
        self.app = operators.create_application(
            self.backend, _OPERATORS.get, lambda: self.now
        )

    def _call(self, path, fields=None, key='ADMINISTER', data=None):
        """Return the status and body of a response."""
        if data is None:
            data = json.dumps(fields).encode()
        environ = {
            'REQUEST_METHOD': 'POST' if fields or data != b'null' else 'GET',
            'PATH_INFO': path,
            'REMOTE_ADDR': '192.0.2.1',
            'HTTP_AUTHORIZATION': f'Bearer {key}',
            'CONTENT_LENGTH': str(len(data)),
            'wsgi.input': io.BytesIO(data),
        }
        responses = []
        (body,) = self.app(environ, lambda *head: responses.append(head))
        ((status, self.headers),) = responses
        return int(status[:3]), json.loads(body)

    def _command(self, text, key='ADMINISTER', command_id='c7'):
        fields = {'text': text, 'id': command_id}
        return self._call('/admin/command', fields, key)

    def _verification(self, **fields):
        change = Change(1, 'c7', 'ada', 'Withdraw', '{"endpoint": "milan-1"}')
        change = dataclasses.replace(
            change, body=intents.encode_intent(intents.Withdraw('milan-1'))[1]
        )
        return _Verification(
            'c7', outcomes.CommittedAt(1), change, None, **fields
        )

    def test_query(self):
        fields = {'text': 'count requests by rank order by rank'}
        status, body = self._call('/admin/query', fields, 'LOOK')
        self.assertEqual(200, status)
        self.assertEqual(['rank', 'count()'], body['columns'])
        self.assertEqual([['urgent', 1], ['least', 1]], body['rows'])
        self.assertEqual(['entry-7'], body['missing'])

    def test_invalid_requests_return_result_codes(self):
        for path, fields, code in (
            ('/admin/query', {'text': 'show nothing'}, 113),
            ('/admin/query', {'text': 3}, 101),
            ('/admin/query', {'text': 'show config', 'timeout_s': 61}, 101),
            ('/admin/query', [], 100),
            ('/admin/command', {'text': 'stop'}, 113),
            ('/admin/command', {'text': 'verify x', 'id': 'a b'}, 101),
            ('/admin/other', {'text': ''}, 108),
        ):
            _, body = self._call(path, fields)
            self.assertEqual(code, body['code'])

    def test_bodies_that_are_not_json(self):
        for data in (b'{', b'\xff', b'[' * 60000):
            status, body = self._call('/admin/query', data=data)
            self.assertEqual((400, 100), (status, body['code']))
        status, body = self._call('/admin/query', data=b' ' * 70000)
        self.assertEqual((413, 102), (status, body['code']))

    def test_syntax_error_reports_its_column(self):
        fields = {'text': 'show endpoints where state = upp'}
        _, body = self._call('/admin/query', fields)
        self.assertIn('column 30', body['detail'])

    def test_command_is_submitted(self):
        status, body = self._command('withdraw endpoint milan-1', 'OPERATE')
        self.assertEqual((200, 'committed'), (status, body['state']))
        self.assertEqual([['c7', 'committed', 2]], body['rows'])
        command = queries.SubmitIntent(intents.Withdraw('milan-1'))
        self.assertEqual([(command, 'c7', 'OPERATE')], self.backend.submitted)

    def test_roles(self):
        for key, text, status in (
            ('LOOK', 'withdraw endpoint milan-1', 403),
            ('LOOK', 'plan withdraw endpoint milan-1', 200),
            ('LOOK', 'verify c7', 200),
            ('OPERATE', 'floor rank middle 20%', 403),
            ('ADMINISTER', 'floor rank middle 20%', 200),
        ):
            self.assertEqual(status, self._command(text, key)[0])

    def test_uncovered_model_is_refused_unless_forced(self):
        status, body = self._command('withdraw endpoint milan-3')
        self.assertEqual((409, 112), (status, body['code']))
        self.assertEqual([], self.backend.submitted)
        status, _ = self._command('withdraw endpoint milan-3 force')
        self.assertEqual(200, status)

    def test_repeated_command_skips_plan_check(self):
        self.backend.verifications['c7'] = _Verification(
            'c7', outcomes.CommittedAt(2)
        )
        status, _ = self._command('stop instance entry-gone')
        self.assertEqual(200, status)

    def test_outcomes_other_than_committed(self):
        for outcome, status, code, expected_text in (
            (outcomes.LostTo(4, 'c3', 'bea'), 409, 116, 'c3 of bea'),
            (outcomes.NotDone(outcomes.Code(207), 'down'), 503, 207, 'down'),
            (outcomes.UnknownSoFar(), 504, 402, 'id c7'),
        ):
            self.backend.outcome = outcome
            got, body = self._command('return endpoint milan-1')
            self.assertEqual((status, code), (got, body['code']))
            self.assertIn(expected_text, body['detail'])

    def test_verify_lists_instances_and_remaining_work(self):
        self.backend.T.endpoints['milan-1'].last_sent_at = fleets.NOW - 8
        statuses = (
            _InstanceStatus('entry-1', 1, fleets.NOW - 7, True),
            _InstanceStatus('entry-2', 0, 0.0, False, 'never heard'),
        )
        verification = self._verification(statuses=statuses)
        self.backend.verifications['c7'] = verification
        status, body = self._call('/admin/verify/c7', key='LOOK')
        self.assertEqual((200, 'committed'), (status, body['state']))
        self.assertEqual(
            [
                ['entry-1', True, 1, 7.0, '', 8.0, 2],
                ['entry-2', False, 0, None, 'never heard', None, None],
            ],
            body['rows'],
        )
        self.assertIn('not yet at: entry-2 (never heard)', body['detail'])
        self.assertEqual(['entry-7'], body['missing'])

    def test_watch_ends_at_its_timeout(self):
        clock = iter(range(100))
        app = operators.create_application(
            self.backend, _OPERATORS.get, lambda: next(clock)
        )
        self.app = app
        self.backend.verifications['c7'] = self._verification(accepted=True)
        self.assertEqual('accepted', self._command('watch c7')[1]['state'])

    def test_states(self):
        for fields, state in (
            ({'accepted': True}, 'accepted'),
            ({'in_force_everywhere': True}, 'in force everywhere'),
        ):
            verification = self._verification(**fields)
            self.backend.verifications['c7'] = verification
            self.assertEqual(state, self._command('verify c7')[1]['state'])
        self.assertEqual('unknown', self._command('verify c8')[1]['state'])

    def test_failed_keys_are_rate_limited(self):
        fields = {'text': 'show config'}
        for _ in range(10):
            status, _ = self._call('/admin/query', fields, 'wrong')
            self.assertEqual(401, status)
        status, body = self._call('/admin/query', fields)
        self.assertEqual((429, 114), (status, body['code']))
        self.assertIn(('Retry-After', '60'), self.headers)
        self.now += 61
        self.assertEqual(200, self._call('/admin/query', fields)[0])
