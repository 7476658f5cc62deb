import threading

import testtools

from sniperudder import effects
from sniperudder import inputs
from sniperudder import tableservice
from sniperudder import transports
from standins import platform as standin
from standins import relay
from standins import serving

_TIMEOUT_S = 5.0
_SHORT_S = 0.3


class _FixedResponse(serving.Standin):
    """Responds with a fixed JSON value."""

    value = None

    def answer(self, call):
        return serving.answer_json(self.value)


def _make_call(key='a', version=0, value='1', reads=()):
    return effects.Transact(
        purpose='test',
        conditions=(effects.Condition(key, version),),
        writes=(effects.Write(key, value),),
        reads=reads,
    )


def _make_scan(prefix='', after='', limit=100):
    return effects.Scan('test', prefix, after, limit)


class TestPlatformClient(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.standin = standin.Platform()
        server = serving.create_server(self.standin)
        self.addCleanup(server.stop)
        self.address = server.address
        self.client = tableservice.create_platform_client(server.address)

    def transact(self, *args, **kwargs):
        return self.client.transact(_make_call(*args, **kwargs), _TIMEOUT_S)

    def scan(self, *args):
        return self.client.scan(_make_scan(*args), _TIMEOUT_S)

    def test_commit_and_conflict(self):
        row = effects.Row('a', '1', 1)
        self.assertEqual(inputs.Committed((), 1), self.transact())
        self.assertEqual(inputs.Conflicted((row,), 1), self.transact())
        done = self.transact('a', 1, '2', ('a', 'none'))
        row = effects.Row('a', '2', 2)
        self.assertEqual(inputs.Committed((row,), 1), done)

    def test_conflict_writes_nothing(self):
        call = effects.Transact(
            purpose='test',
            conditions=(effects.Condition('b', 7),),
            writes=(effects.Write('a', '1'), effects.Write('b', '1')),
        )
        done = self.client.transact(call, _TIMEOUT_S)
        self.assertEqual(inputs.Conflicted((), 1), done)
        self.assertEqual((), self.scan())

    def test_versions_increase_across_deletion(self):
        self.transact()
        self.transact('a', 1, None)
        self.assertEqual((), self.scan())
        self.transact('a', 0, '3')
        self.assertEqual((effects.Row('a', '3', 3),), self.scan())

    def test_one_of_concurrent_transactions_commits(self):
        outcomes = []
        threads = [
            threading.Thread(target=lambda: outcomes.append(self.transact()))
            for _ in range(8)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(1, outcomes.count(inputs.Committed((), 1)))

    def test_scan_in_pages(self):
        for key in ('b/1', 'a/é', 'a/1', 'a/&', 'a'):
            self.transact(key)
        keys = [row.key for row in self.scan('a/')]
        self.assertEqual(['a/&', 'a/1', 'a/é'], keys)
        keys = [row.key for row in self.scan('a/', 'a/&', 1)]
        self.assertEqual(['a/1'], keys)

    def test_scan_may_lag(self):
        self.transact()
        self.standin.gate.update({'lag_s': 60.0})
        self.assertEqual((), self.scan())
        self.assertEqual(inputs.Conflicted, type(self.transact()))

    def test_faults(self):
        cases = (
            ({'refuse': True}, inputs.NotSent, False),
            ({'hang_up': True}, inputs.Unknown, False),
            ({'lose_answers': 1}, inputs.Unknown, True),
            ({'cut_answers': 1}, inputs.Unknown, True),
            ({'delay_s': 4 * _SHORT_S}, inputs.Unknown, True),
        )
        for number, (faults, expected, written) in enumerate(cases):
            self.standin.gate.update(faults)
            timeout_s = _SHORT_S if 'delay_s' in faults else _TIMEOUT_S
            call = _make_call(f'k{number}')
            outcome = self.client.transact(call, timeout_s)
            self.standin.gate.update({})
            self.assertIs(expected, type(outcome), faults)
            self.assertEqual(written, bool(self.scan(f'k{number}')), faults)

    def test_fault_limited_to_one_path(self):
        self.standin.gate.update({'refuse': True, 'path': '/transactions'})
        self.assertEqual(inputs.NotSent(), self.transact())
        self.assertEqual((), self.scan())

    def test_connection_breaks_at_each_offset(self):
        link = relay.create_relay(self.address)
        self.addCleanup(link.close)
        relayed = tableservice.create_platform_client(link.address)
        relayed.transact(_make_call('whole-000'), _TIMEOUT_S)
        totals = {
            'request_limit': link.request_bytes,
            'answer_limit': link.answer_bytes,
        }
        for name, total in totals.items():
            for limit in range(0, total, 5):
                link.update(relay.Link(**{name: limit}))
                relayed = tableservice.create_platform_client(link.address)
                key = f'{name[:5]}-{limit:03}'
                outcome = relayed.transact(_make_call(key), _TIMEOUT_S)
                if isinstance(outcome, inputs.NotSent):
                    self.assertEqual((), self.scan(key))
                else:
                    self.assertEqual(inputs.Unknown(), outcome)

    def test_recovery_from_refused_connections(self):
        link = relay.create_relay(self.address)
        self.addCleanup(link.close)
        for refused, expected in (
            (False, inputs.Committed((), 1)),
            (True, inputs.NotSent()),
            (False, inputs.Committed((), 1)),
        ):
            link.update(relay.Link(refused=refused))
            relayed = tableservice.create_platform_client(link.address)
            call = effects.Transact('test', (), (effects.Write('a', '1'),))
            outcome = relayed.transact(call, _TIMEOUT_S)
            self.assertEqual(expected, outcome)
        self.assertEqual((effects.Row('a', '1', 2),), self.scan())

    def test_unreachable_platform(self):
        unreachable = tableservice.create_platform_client('127.0.0.1:1')
        outcome = unreachable.transact(_make_call(), _TIMEOUT_S)
        self.assertEqual(inputs.NotSent(), outcome)
        self.assertIsNone(unreachable.scan(_make_scan(), _TIMEOUT_S))
        self.assertIsNone(unreachable.list_instances(_TIMEOUT_S))
        self.assertIsNone(unreachable.get_object('a', _TIMEOUT_S))
        self.assertFalse(unreachable.put_object('a', b'', _TIMEOUT_S))

    def test_instances(self):
        transport = transports.create_transport()
        body = b'{"address": "127.0.0.1:1", "data_centre": "milan"}'
        path = '/instances/entry-1'

        def register(method, body):
            transport.exchange(method, self.address, path, _TIMEOUT_S, body)

        register('PUT', body)
        entry = inputs.ListedInstance('entry-1', '127.0.0.1:1', 'milan')
        self.assertEqual((entry,), self.client.list_instances(_TIMEOUT_S))
        self.standin.gate.update({'lag_s': 60.0})
        self.assertEqual((), self.client.list_instances(_TIMEOUT_S))
        self.standin.gate.update({})
        register('DELETE', None)
        self.assertEqual((), self.client.list_instances(_TIMEOUT_S))

    def test_objects(self):
        self.assertIsNone(self.client.get_object('a/b c', _TIMEOUT_S))
        data = bytes(range(256)) * 1000
        self.assertTrue(self.client.put_object('a/b c', data, _TIMEOUT_S))
        self.assertEqual(data, self.client.get_object('a/b c', _TIMEOUT_S))
        self.assertIsNone(self.client.get_object('b c', _TIMEOUT_S))

    def test_malformed_responses(self):
        fixed = _FixedResponse()
        server = serving.create_server(fixed)
        self.addCleanup(server.stop)
        client = tableservice.create_platform_client(server.address)
        row = {'key': 'a', 'value': '1', 'version': 1}
        rows = [row | {name: None} for name in row] + [[], 1, None]
        rows += [row | {'key': 'b'}, row | {'version': 0}]
        values = [{'committed': True, 'rows': [row]} for row in rows]
        values += [{'committed': 1, 'rows': None}, [], None, 'x']
        for fixed.value in [*values, {'committed': 1, 'rows': []}]:
            outcome = client.transact(_make_call(), _TIMEOUT_S)
            self.assertEqual(inputs.Unknown(), outcome, fixed.value)
        for fixed.value in values:
            self.assertIsNone(client.scan(_make_scan('a/'), _TIMEOUT_S))
            self.assertIsNone(client.list_instances(_TIMEOUT_S))


class TestEra(testtools.TestCase):
    # Guards against: after a restoration, answers could not be told from those
    # of the platform before it.
    def test_outcomes_state_the_era(self):
        platform = standin.Platform()
        server = serving.create_server(platform)
        self.addCleanup(server.stop)
        client = tableservice.create_platform_client(server.address)
        outcomes = [client.transact(_make_call(), _TIMEOUT_S)]
        transport = transports.create_transport()
        transport.exchange(
            'POST', server.address, '/restore', _TIMEOUT_S, b'{"age_s": 60}'
        )
        # The row is gone, so that the same condition holds again.
        outcomes.append(client.transact(_make_call(), _TIMEOUT_S))
        outcomes.append(client.transact(_make_call(), _TIMEOUT_S))
        self.assertEqual([1, 2, 2], [outcome.era for outcome in outcomes])
        self.assertEqual(
            [inputs.Committed, inputs.Committed, inputs.Conflicted],
            [type(outcome) for outcome in outcomes],
        )
