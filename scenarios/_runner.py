"""Executes a scenario statement by statement."""

import json
import signal
import time
import uuid

import urllib3

from scenarios import _callers
from scenarios import _checks
from scenarios import _processes
from scenarios import _records
from scenarios import _report
from scenarios import _settings

_POLL_INTERVAL_S = 0.1
_READY_TIMEOUT_S = 15.0
_CALL_TIMEOUT_S = 10.0


class StatementError(Exception):
    """A statement could not be executed, or an expectation was not met."""


class StartError(Exception):
    """An entry instance did not become ready; the scenario is aborted."""


class Runner:
    """One run of a scenario.

    Parameters
    ----------
    scenario : Scenario
    folder : pathlib.Path
        Directory of settings and logs.
    write_line : callable
        Called with each line of the progress report.
    """

    def __init__(self, scenario, folder, write_line):
        self._scenario = scenario
        self._write_line = write_line
        self._pool = urllib3.PoolManager(retries=False)
        self._fleet = _processes.Fleet(scenario, folder)
        (self._model,) = scenario.list_statements(_records.DefineModel)
        self._callers = _callers.Callers(
            self._list_open_entries, self._model.name
        )
        self._leaving = {}
        self._command_id = ''
        self._streams_before_idle = {}
        self._violations = []
        self._begin_at = time.monotonic()

    def run(self):
        """Execute all statements and check all guarantees.

        Returns
        -------
        bool
            Whether all expectations were met and no guarantee was violated.
        """
        try:
            for line in self._scenario.lines:
                self._run_line(line)
            self._check_guarantees()
        except StartError as error:
            self._record_violation(_checks.Violation('expected', str(error)))
        finally:
            self._fleet.stop_all()
        return not self._violations

    def list_logs(self):
        """Return the paths of the logs of entry instances."""
        return self._fleet.list_logs()

    def _run_line(self, line):
        handler = _HANDLERS.get(type(line.statement))
        if handler is None:
            return
        elapsed_s = time.monotonic() - self._begin_at
        self._write_line(f'{elapsed_s:6.2f} s  {line.text}')
        try:
            handler(self, line.statement)
        except (
            StatementError,
            urllib3.exceptions.HTTPError,
            OSError,
        ) as error:
            detail = f'line {line.number}, {line.text}: {error}'
            self._record_violation(_checks.Violation('expected', detail))

    def _record_violation(self, violation):
        self._write_line(
            f'  BROKEN {violation.kind}: {violation.detail[:300]}'
        )
        self._violations.append(violation)

    # Process control.

    def start(self, statement):
        self._fleet.start_standins(statement.names)
        started = self._fleet.start_entries(statement.names)
        for name in started:
            self._leaving.pop(name, None)
            self._register_entry(name)
        for name in started:
            self._wait_until_started(name)

    def _wait_until_started(self, name):
        try:
            self._wait_until_ready(name, _READY_TIMEOUT_S)
        except StatementError as error:
            stderr = self._fleet.read_stderr(name)
            raise StartError(f'{error}; {stderr}') from error

    def _register_entry(self, name, leaving=False):
        body = {
            'address': self._fleet.addresses[f'{name}/peers'],
            'data_centre': _settings.DATA_CENTRE,
            'leaving': leaving,
        }
        self._call('PUT', 'platform', f'/instances/{name}', body)

    def _wait_until_ready(self, name, timeout_s):
        address = f'{name}/callers'
        self._wait_until(
            lambda: self._call('GET', address, '/readyz').status == 200,
            timeout_s,
            f'{name} is not ready',
        )

    def _wait_until(self, condition, timeout_s, message):
        deadline = time.monotonic() + timeout_s
        while True:
            try:
                if condition():
                    return
            except urllib3.exceptions.HTTPError:
                pass
            if time.monotonic() > deadline:
                raise StatementError(f'{message} within {timeout_s:g} s')
            time.sleep(_POLL_INTERVAL_S)

    def kill(self, statement):
        self._fleet.kill(statement.name)
        if statement.name in self._fleet.list_entries():
            self._call('DELETE', 'platform', f'/instances/{statement.name}')

    def freeze(self, statement):
        self._fleet.signal(statement.name, signal.SIGSTOP)

    def thaw(self, statement):
        self._fleet.signal(statement.name, signal.SIGCONT)

    def stop(self, statement):
        # The load balancer is told first, as in a graceful shutdown.
        self._leaving[statement.name] = True
        self._register_entry(statement.name, leaving=True)
        self._fleet.signal(statement.name, signal.SIGTERM)

    def cut(self, statement):
        self._fleet.set_link_stalled(
            statement.name, statement.target, stalled=True
        )

    def join(self, statement):
        self._fleet.set_link_stalled(
            statement.name, statement.target, stalled=False
        )

    def set_fault(self, statement):
        body = {}
        if statement.fault:
            body[statement.fault] = statement.value
        answer = self._call('POST', statement.name, '/faults', body)
        if answer.status != 200:
            raise StatementError(answer.data.decode())

    def _call(self, method, name, path, body=None, headers=None):
        return self._pool.request(
            method,
            f'http://{self._fleet.addresses[name]}{path}',
            body=None if body is None else json.dumps(body).encode(),
            headers=headers,
            timeout=_CALL_TIMEOUT_S,
        )

    # Work and operator commands.

    def _list_open_entries(self):
        """Return the entry instances that the load balancer may choose."""
        return [
            (name, self._fleet.addresses[f'{name}/callers'])
            for name in self._fleet.list_entries()
            if self._fleet.is_running(name) and name not in self._leaving
        ]

    def send(self, statement):
        self._callers.send(statement)

    def order(self, statement):
        self._callers.order(statement)

    def wait(self, statement):
        time.sleep(statement.duration_s)

    def send_command(self, statement):
        for name in list(self._streams_before_idle):
            if statement.text == f'return endpoint {name}':
                self._check_idle(name)
        self._command_id = uuid.uuid4().hex
        answer = self._post_command(statement.text, self._command_id)
        if answer.status != 200:
            raise StatementError(f'{answer.status} {answer.data.decode()}')

    def _post_command(self, text, command_id=''):
        names = [name for name, _ in self._list_open_entries()]
        if not names:
            raise StatementError('no entry instance runs')
        name = names[0]
        return self._call(
            'POST',
            f'{name}/admin',
            '/admin/command',
            {'text': text, 'id': command_id},
            {'Authorization': f'Bearer {_settings.OPERATOR_KEY}'},
        )

    # Expectations.

    def expect_done(self, statement):
        self._wait_until(
            lambda: self._callers.count_pending() == 0,
            statement.within_s,
            'some work has no outcome',
        )

    def expect_stopped(self, statement):
        status = self._fleet.wait(statement.name, statement.within_s)
        if status is None:
            raise StatementError(f'still runs after {statement.within_s:g} s')
        if status != 0:
            raise StatementError(f'exited with status {status}')

    def expect_ready(self, statement):
        self._wait_until_ready(statement.name, statement.within_s)

    def expect_in_force(self, statement):
        self._wait_until(
            self._is_in_force, statement.within_s, 'command is not in force'
        )

    def _is_in_force(self):
        answer = self._post_command(f'verify "{self._command_id}"')
        if answer.status != 200:
            return False
        return json.loads(answer.data).get('state') == 'in force everywhere'

    def expect_idle(self, statement):
        time.sleep(statement.after_s)
        self._streams_before_idle[statement.name] = self._list_started_streams(
            statement.name
        )

    def _list_started_streams(self, name):
        """Return all streams in the log of an engine."""
        log = json.loads(self._call('GET', name, '/v1/log').data)
        return {(step['request'], step['attempt']) for step in log['steps']}

    def _check_idle(self, name):
        """Check that an endpoint started no stream while it had to be idle."""
        late = self._list_started_streams(
            name
        ) - self._streams_before_idle.pop(name)
        if late:
            detail = (
                f'{name} began {len(late)} streams while it had to be idle'
            )
            self._record_violation(_checks.Violation('expected', detail))

    def expect_answered(self, statement):
        work_items = [
            w for w in self._callers.work_items if w.rank == statement.rank
        ]
        answered = sum(
            w.outcome is _callers.Outcome.ANSWERED for w in work_items
        )
        if answered < statement.share * len(work_items):
            raise StatementError(
                f'{answered} of {len(work_items)} work items are answered'
            )

    def expect_crashed(self, statement):
        self._fleet.record_crashes()
        crashed = sorted(self._fleet.crashed)
        if len(crashed) > statement.count:
            raise StatementError(f'crashed stand-ins: {", ".join(crashed)}')

    # Final checks and report.

    def _check_guarantees(self):
        for name in list(self._streams_before_idle):
            self._check_idle(name)
        for violation in _checks.find_violations(
            self._callers.work_items, self._read_logs(), self._model.layers
        ):
            self._record_violation(violation)

    def render_report(self):
        """Return the table of the outcomes of all work."""
        return _report.render_report(
            self._callers.work_items, self._violations
        )

    def _read_logs(self):
        engines = self._fleet.list_engines()
        services = self._fleet.list_services()
        running = self._fleet.is_running
        steps = [
            step
            for name in filter(running, engines)
            for step in self._read_log(name, '/v1/log')['steps']
        ]
        orders = [
            entry
            for name in filter(running, services)
            for entry in self._read_log(name, '/log')
        ]
        self._fleet.record_crashes()
        complete = not (self._fleet.killed | self._fleet.crashed)
        return _checks.Logs(steps, orders, complete)

    def _read_log(self, name, path):
        return json.loads(self._call('GET', name, path).data)


_HANDLERS = {
    _records.Start: Runner.start,
    _records.Kill: Runner.kill,
    _records.Freeze: Runner.freeze,
    _records.Thaw: Runner.thaw,
    _records.Stop: Runner.stop,
    _records.Cut: Runner.cut,
    _records.Reconnect: Runner.join,
    _records.SetFault: Runner.set_fault,
    _records.Command: Runner.send_command,
    _records.Send: Runner.send,
    _records.Order: Runner.order,
    _records.Wait: Runner.wait,
    _records.ExpectDone: Runner.expect_done,
    _records.ExpectStopped: Runner.expect_stopped,
    _records.ExpectReady: Runner.expect_ready,
    _records.ExpectInForce: Runner.expect_in_force,
    _records.ExpectIdle: Runner.expect_idle,
    _records.ExpectAnswered: Runner.expect_answered,
    _records.ExpectCrashed: Runner.expect_crashed,
}


def run_scenario(scenario, folder, write_line=print):
    """Run a scenario with real processes on 127.0.0.1.

    Parameters
    ----------
    scenario : Scenario
    folder : pathlib.Path
        Directory of settings and logs.
    write_line : callable
        Called with each line of the progress report.

    Returns
    -------
    bool
        Whether all expectations were met and no guarantee was violated.
    """
    runner = Runner(scenario, folder, write_line)
    passed = runner.run()
    write_line(runner.render_report())
    return passed
