"""Runs a scenario statement by statement."""

import json
import signal
import time
import uuid

import urllib3

from scenarios import _checks
from scenarios import _processes
from scenarios import _records
from scenarios import _report
from scenarios import _settings
from scenarios import _work

_LOOK_S = 0.1
_READY_S = 15.0
_CALL_TIMEOUT_S = 10.0


class Failed(Exception):
    """A statement could not be carried out, or did not come true."""


class NotStarted(Exception):
    """A process did not start, so that the rest makes no sense."""


class Runner:
    """One run of a scenario.

    Parameters
    ----------
    scenario : Scenario
    folder : pathlib.Path
        For settings and logs.
    tell : callable
        Takes each line for people.
    """

    def __init__(self, scenario, folder, tell):
        self._scenario = scenario
        self._tell = tell
        self._pool = urllib3.PoolManager(retries=False)
        self._fleet = _processes.Fleet(scenario, folder)
        (self._model,) = scenario.list_statements(_records.DefineModel)
        self._callers = _work.Callers(self._list_open, self._model.name)
        self._leaving = {}
        self._command_id = ''
        self._begun_streams = {}
        self._violations = []
        self._begin_at = time.monotonic()

    def run(self):
        """Carry out all statements; return whether all promises held."""
        try:
            for line in self._scenario.lines:
                self._run_line(line)
            self._check()
        except NotStarted as error:
            self._break(_checks.Violation('expected', str(error)))
        finally:
            self._fleet.end()
        return not self._violations

    def list_logs(self):
        """Return the paths of the entry instances' logs."""
        return self._fleet.list_logs()

    def _run_line(self, line):
        act = _ACTS.get(type(line.statement))
        if act is None:
            return
        at_s = time.monotonic() - self._begin_at
        self._tell(f'{at_s:6.2f} s  {line.text}')
        try:
            act(self, line.statement)
        except (Failed, urllib3.exceptions.HTTPError, OSError) as error:
            detail = f'line {line.number}, {line.text}: {error}'
            self._break(_checks.Violation('expected', detail))

    def _break(self, violation):
        self._tell(f'  BROKEN {violation.kind}: {violation.detail[:300]}')
        self._violations.append(violation)

    # Processes.

    def start(self, statement):
        self._fleet.start_standins(statement.names)
        started = self._fleet.start_entries(statement.names)
        for name in started:
            self._leaving.pop(name, None)
            self._list_entry(name)
        for name in started:
            self._await_start(name)

    def _await_start(self, name):
        try:
            self._await_ready(name, _READY_S)
        except Failed as error:
            said = self._fleet.read_errors(name)
            raise NotStarted(f'{error}; {said}') from error

    def _list_entry(self, name, leaving=False):
        body = {
            'address': self._fleet.addresses[f'{name}/peers'],
            'data_centre': _settings.DATA_CENTRE,
            'leaving': leaving,
        }
        self._call('PUT', 'platform', f'/instances/{name}', body)

    def _await_ready(self, name, timeout_s):
        address = f'{name}/callers'
        self._await(
            lambda: self._call('GET', address, '/readyz').status == 200,
            timeout_s,
            f'{name} is not ready',
        )

    def _await(self, holds, timeout_s, problem):
        until = time.monotonic() + timeout_s
        while True:
            try:
                if holds():
                    return
            except urllib3.exceptions.HTTPError:
                pass
            if time.monotonic() > until:
                raise Failed(f'{problem} within {timeout_s:g} s')
            time.sleep(_LOOK_S)

    def kill(self, statement):
        self._fleet.kill(statement.name)
        if statement.name in self._fleet.list_entries():
            self._call('DELETE', 'platform', f'/instances/{statement.name}')

    def freeze(self, statement):
        self._fleet.signal(statement.name, signal.SIGSTOP)

    def thaw(self, statement):
        self._fleet.signal(statement.name, signal.SIGCONT)

    def stop(self, statement):
        # The balancer learns of it first, as at a planned stop.
        self._leaving[statement.name] = True
        self._list_entry(statement.name, leaving=True)
        self._fleet.signal(statement.name, signal.SIGTERM)

    def cut(self, statement):
        self._fleet.set_link(statement.name, statement.target, stalled=True)

    def join(self, statement):
        self._fleet.set_link(statement.name, statement.target, stalled=False)

    def set_fault(self, statement):
        body = {}
        if statement.fault:
            body[statement.fault] = statement.value
        answer = self._call('POST', statement.name, '/faults', body)
        if answer.status != 200:
            raise Failed(answer.data.decode())

    def _call(self, method, name, path, body=None, headers=None):
        return self._pool.request(
            method,
            f'http://{self._fleet.addresses[name]}{path}',
            body=None if body is None else json.dumps(body).encode(),
            headers=headers,
            timeout=_CALL_TIMEOUT_S,
        )

    # Work and commands.

    def _list_open(self):
        """Return the entry instances that the balancer gives work to."""
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

    def give(self, statement):
        for name in list(self._begun_streams):
            if statement.text == f'return endpoint {name}':
                self._settle_idle(name)
        self._command_id = uuid.uuid4().hex
        answer = self._administer(statement.text, self._command_id)
        if answer.status != 200:
            raise Failed(f'{answer.status} {answer.data.decode()}')

    def _administer(self, text, command_id=''):
        names = [name for name, _ in self._list_open()]
        if not names:
            raise Failed('no entry instance runs')
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
        self._await(
            lambda: self._callers.count_open() == 0,
            statement.within_s,
            'work has no outcome',
        )

    def expect_stopped(self, statement):
        status = self._fleet.wait(statement.name, statement.within_s)
        if status is None:
            raise Failed(f'runs after {statement.within_s:g} s')
        if status != 0:
            raise Failed(f'ended with status {status}')

    def expect_ready(self, statement):
        self._await_ready(statement.name, statement.within_s)

    def expect_in_force(self, statement):
        self._await(self._is_in_force, statement.within_s, 'not in force')

    def _is_in_force(self):
        answer = self._administer(f'verify "{self._command_id}"')
        if answer.status != 200:
            return False
        return json.loads(answer.data).get('state') == 'in force everywhere'

    def expect_idle(self, statement):
        time.sleep(statement.after_s)
        self._begun_streams[statement.name] = self._list_begun(statement.name)

    def _list_begun(self, name):
        """Return the streams that an engine ever began."""
        log = json.loads(self._call('GET', name, '/v1/log').data)
        return {(step['request'], step['attempt']) for step in log['steps']}

    def _settle_idle(self, name):
        """Check that an endpoint began nothing while it was to be idle."""
        late = self._list_begun(name) - self._begun_streams.pop(name)
        if late:
            detail = f'{name} began {len(late)} streams too late'
            self._break(_checks.Violation('expected', detail))

    def expect_answered(self, statement):
        works = [w for w in self._callers.work if w.rank == statement.rank]
        answered = sum(w.ending is _work.Ending.ANSWERED for w in works)
        if answered < statement.share * len(works):
            raise Failed(f'{answered} of {len(works)} are answered')

    def expect_crashed(self, statement):
        self._fleet.note_crashes()
        crashed = sorted(self._fleet.crashed)
        if len(crashed) > statement.count:
            raise Failed(f'crashed are {", ".join(crashed)}')

    # The end.

    def _check(self):
        for name in list(self._begun_streams):
            self._settle_idle(name)
        for violation in _checks.check_work(
            self._callers.work, self._read_logs(), self._model.layers
        ):
            self._break(violation)

    def render_report(self):
        """Return the table of what became of all work."""
        return _report.render_report(self._callers.work, self._violations)

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
        self._fleet.note_crashes()
        whole = not (self._fleet.killed | self._fleet.crashed)
        return _checks.Logs(steps, orders, whole)

    def _read_log(self, name, path):
        return json.loads(self._call('GET', name, path).data)


_ACTS = {
    _records.Start: Runner.start,
    _records.Kill: Runner.kill,
    _records.Freeze: Runner.freeze,
    _records.Thaw: Runner.thaw,
    _records.Stop: Runner.stop,
    _records.Cut: Runner.cut,
    _records.Join: Runner.join,
    _records.SetFault: Runner.set_fault,
    _records.Give: Runner.give,
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


def run_scenario(scenario, folder, tell=print):
    """Run a scenario with real processes on 127.0.0.1.

    Parameters
    ----------
    scenario : Scenario
    folder : pathlib.Path
        For settings and logs.
    tell : callable
        Takes each line for people.

    Returns
    -------
    bool
        Whether every promise held and every expectation came true.
    """
    runner = Runner(scenario, folder, tell)
    held = runner.run()
    tell(runner.render_report())
    return held
