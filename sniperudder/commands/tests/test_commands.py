import contextlib
import http.server
import io
import json
import pathlib
import socket
import threading
from unittest import mock

from sniperudder import commands
from sniperudder.commands import Status
from sniperudder.settings.tests import base

_ROOT = pathlib.Path(__file__).parents[3]


class CommandTestCase(base.SettingsTestCase):
    def run_command(self, *argv, **variables):
        out = io.StringIO()
        err = io.StringIO()
        with contextlib.ExitStack() as stack:
            stack.enter_context(contextlib.redirect_stdout(out))
            stack.enter_context(contextlib.redirect_stderr(err))
            stack.enter_context(
                mock.patch.dict('os.environ', variables, clear=True)
            )
            try:
                status = commands.main(list(argv))
            except SystemExit as end:
                status = end.code
        self.out = out.getvalue()
        self.err = err.getvalue()
        self.assertNotIn('Traceback', self.err)
        return status


class TestLocalCommands(CommandTestCase):
    def test_check_config_prints_mistakes(self):
        path = self.write_file(base.VALID_SETTINGS)
        self.assertEqual(Status.DONE, self.run_command('check-config', path))
        bad = self.write_file(
            base.VALID_SETTINGS.replace('layers = 4', 'layers = x')
        )
        status = self.run_command('check-config', bad)
        self.assertEqual(Status.MISTAKES, status)
        self.assertEqual(
            "[model m] layers: read 'x'; "
            'allowed: an integer from 1 to 10000\n',
            self.out,
        )

    def test_serve_prints_one_mistake_per_line(self):
        text = base.VALID_SETTINGS.replace(
            'layers = 4', 'layers = x\nlayer = 1'
        )
        status = self.run_command('serve', self.write_file(text))
        self.assertEqual(Status.MISTAKES, status)
        self.assertEqual(2, len(self.err.splitlines()))

    def test_timeline_of_a_missing_file(self):
        status = self.run_command('timeline', '/nowhere/a.log')
        self.assertEqual(Status.FILE, status)
        self.assertEqual(1, len(self.err.splitlines()))

    def test_timeline_without_a_file(self):
        self.assertEqual(Status.USAGE, self.run_command('timeline'))

    def test_version_and_codes(self):
        self.assertEqual(Status.DONE, self.run_command('version'))
        self.assertTrue(self.out.startswith('sniperudder '))
        self.assertEqual(Status.DONE, self.run_command('codes'))
        self.assertIn('ORDER_IN_DOUBT', self.out)

    def test_usage_errors_and_help_list_every_status(self):
        self.assertEqual(Status.USAGE, self.run_command('fly'))
        self.assertEqual(Status.USAGE, self.run_command())
        self.assertEqual(Status.DONE, self.run_command('--help'))
        page = (_ROOT / 'docs' / 'COMMANDS.md').read_text(encoding='utf-8')
        for status in Status:
            self.assertRegex(self.out, rf'(?m)^  {int(status)} ')
            self.assertRegex(page, rf'(?m)^\| {int(status)} \|')


class _AdminHandler(http.server.BaseHTTPRequestHandler):
    def do_POST(self):
        server = self.server
        body = self.rfile.read(int(self.headers['Content-Length']))
        server.received.append(
            (self.path, self.headers['Authorization'], json.loads(body))
        )
        if server.status is None:
            # Close the connection after reading the request, to simulate
            # a lost response.
            self.connection.shutdown(socket.SHUT_RDWR)
            return
        self.send_response(server.status)
        self.send_header('Content-Length', str(len(server.response_body)))
        self.end_headers()
        self.wfile.write(server.response_body)

    def log_message(self, *args):
        pass


class TestRemoteCommands(CommandTestCase):
    def setUp(self):
        super().setUp()
        self.server = http.server.HTTPServer(('127.0.0.1', 0), _AdminHandler)
        self.server.status = 200
        self.server.received = []
        self.set_response()
        thread = threading.Thread(
            target=self.server.serve_forever, kwargs={'poll_interval': 0.01}
        )
        thread.start()
        self.addCleanup(self.server.server_close)
        self.addCleanup(thread.join)
        self.addCleanup(self.server.shutdown)
        self.address = f'127.0.0.1:{self.server.server_port}'

    def set_response(self, **fields):
        self.server.response_body = json.dumps(fields).encode()

    def run_remote_command(self, *argv):
        return self.run_command(
            *argv, '--address', self.address, SNIPERUDDER_KEY='k-1'
        )

    def test_query_prints_a_table(self):
        self.set_response(
            columns=['name', 'up'], rows=[['gpu-1', True], ['\x1b[2J', None]]
        )
        self.assertEqual(
            Status.DONE, self.run_remote_command('query', 'show endpoints')
        )
        self.assertEqual('name   up\ngpu-1  yes\n[2J    -\n', self.out)
        ((path, key, body),) = self.server.received
        self.assertEqual(('/admin/query', 'Bearer k-1'), (path, key))
        self.assertEqual('show endpoints', body['text'])
        self.assertEqual(10, body['timeout_s'])

    def test_json_output_is_the_response_body(self):
        self.set_response(columns=[], rows=[])
        self.assertEqual(
            Status.DONE, self.run_remote_command('query', 'x', '--json')
        )
        self.assertEqual({'columns': [], 'rows': []}, json.loads(self.out))

    def test_missing_instances_are_named(self):
        self.set_response(detail='committed', missing=['entry-3'])
        status = self.run_remote_command('command', 'withdraw gpu-1')
        self.assertEqual(Status.PARTIAL, status)
        self.assertIn('entry-3', self.out)

    def test_refused_command(self):
        self.server.status = 403
        self.set_response(detail='this key may only look')
        status = self.run_remote_command('command', 'withdraw gpu-1')
        self.assertEqual(Status.REFUSED, status)
        self.assertEqual('sniperudder: this key may only look\n', self.err)

    def test_execution_class_takes_precedence_over_http_status(self):
        cases = (
            (502, 'not run', Status.REFUSED),
            (409, 'in doubt', Status.IN_DOUBT),
        )
        for status, execution, expected in cases:
            self.server.status = status
            self.set_response(
                **{'code': 207, 'type': 'x', 'class': execution}, detail='y'
            )
            self.assertEqual(expected, self.run_remote_command('command', 'z'))
            self.assertIn('207 x: y', self.err)

    def test_command_in_doubt_reports_its_id(self):
        for status in (None, 500, 502, 504):
            self.server.status = status
            found = self.run_remote_command(
                'command', 'withdraw gpu-1', '--id', 'c-7'
            )
            self.assertEqual(Status.IN_DOUBT, found)
            self.assertIn('--id c-7', self.err)
        # The client does not retry: one request per command.
        self.assertEqual(4, len(self.server.received))

    def test_each_command_gets_a_new_id(self):
        self.run_remote_command('command', 'x')
        self.run_remote_command('command', 'x')
        ids = {body['id'] for _, _, body in self.server.received}
        self.assertEqual(2, len(ids - {''}))

    def test_query_without_response_is_unreachable(self):
        self.server.status = None
        self.assertEqual(
            Status.UNREACHABLE, self.run_remote_command('query', 'x')
        )

    def test_response_that_is_not_json(self):
        self.server.response_body = b'<html>'
        self.assertEqual(Status.REFUSED, self.run_remote_command('query', 'x'))
        self.assertEqual(
            Status.IN_DOUBT, self.run_remote_command('command', 'x')
        )

    def test_refused_connection_is_unreachable(self):
        with socket.socket() as unused:
            unused.bind(('127.0.0.1', 0))
            self.address = f'127.0.0.1:{unused.getsockname()[1]}'
            status = self.run_remote_command('command', 'x')
        self.assertEqual(Status.UNREACHABLE, status)
        self.assertNotIn('in doubt', self.err)

    def test_key_and_address_are_required(self):
        status = self.run_command('query', 'x', SNIPERUDDER_KEY='k')
        self.assertEqual(Status.USAGE, status)
        status = self.run_command('query', 'x', '--address', self.address)
        self.assertEqual(Status.USAGE, status)
