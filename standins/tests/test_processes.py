import json
import subprocess
import sys

import testtools
import urllib3

from standins import faults

_MODULES = ('platform', 'engine', 'service', 'relay')


class TestProcess(testtools.TestCase):
    def start(self, module, *options):
        process = subprocess.Popen(
            [sys.executable, '-m', f'standins.{module}', *options],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.kill)
        line = process.stdout.readline()
        while not line.startswith('ready '):
            line = process.stdout.readline()
        return process, f'http://127.0.0.1:{line.split()[1]}'

    def test_ready_and_stop(self):
        for module in _MODULES:
            options = ['--to', '127.0.0.1:1'] if module == 'relay' else []
            process, url = self.start(module, *options)
            health = urllib3.request('GET', f'{url}/healthz')
            self.assertEqual(200, health.status)
            process.terminate()
            self.assertEqual(0, process.wait(), module)

    def test_crash_fault_ends_process(self):
        process, url = self.start('service')
        self.assertRaises(
            urllib3.exceptions.HTTPError,
            urllib3.request,
            'POST',
            f'{url}/faults',
            body=b'{"crash": "now"}',
            retries=False,
        )
        self.assertEqual(1, process.wait())

    def test_faults_are_set_over_http(self):
        _, url = self.start('platform')
        answer = urllib3.request(
            'POST', f'{url}/faults', body=b'{"refuse": true}'
        )
        self.assertTrue(json.loads(answer.data)['refuse'])
        refused = urllib3.request('GET', f'{url}/rows?limit=1')
        self.assertEqual(503, refused.status)
        self.assertEqual('not-run', refused.headers['X-Execution'])
        urllib3.request('POST', f'{url}/faults')
        served = urllib3.request('GET', f'{url}/rows?limit=1')
        self.assertEqual(200, served.status)


class TestFaultGate(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.crashes = []
        self.gate = faults.FaultGate(lambda: self.crashes.append('crash'))

    def test_unknown_faults_change_nothing(self):
        for changes in (
            {'refuse': True, 'other': 1},
            {'refuse': 1},
            {'lose_answers': True},
            {'crash': 'later'},
        ):
            self.assertRaises(faults.UnknownFault, self.gate.update, changes)
            self.assertEqual(faults.Faults(), self.gate.faults)

    def test_crash_once_at_the_set_moment(self):
        self.gate.update({'crash': 'after'})
        self.gate.crash_if('before')
        self.assertEqual([], self.crashes)
        self.gate.crash_if('after')
        self.assertEqual(['crash'], self.crashes)

    def test_counted_faults_run_out(self):
        self.gate.update({'lose_answers': 2})
        consumed = [self.gate.consume('lose_answers') for _ in range(3)]
        self.assertEqual([True, True, False], consumed)
