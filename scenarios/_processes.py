"""Child processes of a scenario: stand-ins, links and entry instances."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading

import urllib3

from scenarios import _records
from scenarios import _settings

_HOST = '127.0.0.1'
_PROCESS_TIMEOUT_S = 5.0
_STDERR_TAIL_CHARS = 500
_ROOT = pathlib.Path(__file__).parents[1]
_ROLES = ('callers', 'admin', 'peers')
_PEER_KEY = 'peer-key-of-a-scenario'


class Fleet:
    """Starts, signals and stops the processes of one scenario.

    Parameters
    ----------
    scenario : Scenario
    folder : pathlib.Path
        Directory of settings and logs.
    module : str
        Python module that the entry instances run.

    Attributes
    ----------
    addresses : dict of str to str
        See ``render_settings``.
    killed, crashed : set of str
        Names of the processes that were ever killed by the scenario, and of
        the stand-ins that exited without being killed.
    """

    def __init__(self, scenario, folder, module='sniperudder'):
        self._scenario = scenario
        self._module = module
        self._folder = folder
        self._processes = {}
        self.killed = set()
        self.crashed = set()
        self.addresses = {}
        names = list(self._list_listeners())
        self.addresses.update(zip(names, find_addresses(len(names))))

    def list_entries(self):
        """Return the names of all entry instances."""
        kind = _records.DefineEntry
        return [e.name for e in self._scenario.list_statements(kind)]

    def list_engines(self):
        """Return the names of all engines."""
        kind = _records.DefineEndpoint
        return [e.name for e in self._scenario.list_statements(kind)]

    def list_services(self):
        """Return the names of all services."""
        kind = _records.DefineService
        return [s.name for s in self._scenario.list_statements(kind)]

    def _list_listeners(self):
        """Yield a name for each listening socket of the fleet."""
        yield from self._list_standins()
        for link in self._list_links():
            yield link
            yield _name_control_listener(link)
        for entry in self.list_entries():
            for role in _ROLES:
                yield f'{entry}/{role}'

    def _list_links(self):
        """Return the names of the links that the scenario cuts.

        Only these connections pass through a relay.
        """
        cuts = self._scenario.list_statements(_records.Cut)
        return {_settings.name_link(cut.name, cut.target) for cut in cuts}

    def set_link_stalled(self, entry, target, stalled):
        """Stall a link, or let it forward data again."""
        link = _settings.name_link(entry, target)
        urllib3.request(
            'POST',
            f'http://{self.addresses[_name_control_listener(link)]}/link',
            body=json.dumps({'stalled': stalled}).encode(),
            timeout=_PROCESS_TIMEOUT_S,
        )

    def _list_standins(self):
        return ['platform', *self.list_engines(), *self.list_services()]

    def list_logs(self):
        """Return the paths of the existing logs of entry instances."""
        paths = [self._folder / f'{name}.log' for name in self.list_entries()]
        return [path for path in paths if path.exists()]

    def is_running(self, name):
        """Return whether a process is alive, possibly suspended."""
        process = self._processes.get(name)
        return process is not None and process.poll() is None

    def record_crashes(self):
        """Record the stand-ins that exited without being killed."""
        for name in self._list_standins():
            ended = name in self._processes and not self.is_running(name)
            if ended and name not in self.killed:
                self.crashed.add(name)

    def start_standins(self, names=()):
        """Start stand-ins and links and wait until they listen."""
        self.record_crashes()
        names_to_start = [
            name
            for name in self._list_standins()
            if (not names or name in names) and not self.is_running(name)
        ]
        for name in names_to_start:
            self._processes[name] = self._start_standin(name)
        for name in names_to_start:
            _wait_until_listening(name, self._processes[name])
        for link in self._list_links():
            if not self.is_running(link):
                self._processes[link] = self._start_link(link)
                _wait_until_listening(link, self._processes[link])

    def start_entries(self, names=()):
        """Start entry instances without waiting until they are ready.

        Returns
        -------
        list of str
            Names of the started instances.
        """
        names_to_start = [
            name
            for name in self.list_entries()
            if (not names or name in names) and not self.is_running(name)
        ]
        for name in names_to_start:
            self._processes[name] = self._start_entry(name)
        return names_to_start

    def _start_standin(self, name):
        port = _get_port(self.addresses[name])
        module, options = self._describe_standin(name)
        return self._spawn(
            name,
            ['-m', f'standins.{module}', '--port', port, *options],
            stdout=subprocess.PIPE,
        )

    def _start_link(self, link):
        target = link.partition('>')[2]
        options = {
            'to': self.addresses[target],
            'port': _get_port(self.addresses[link]),
            'control-port': _get_port(
                self.addresses[_name_control_listener(link)]
            ),
        }
        flags = [
            word
            for key, value in options.items()
            for word in (f'--{key}', value)
        ]
        arguments = ['-m', 'standins.relay', *flags]
        return self._spawn(link, arguments, stdout=subprocess.PIPE)

    def _describe_standin(self, name):
        statements = (line.statement for line in self._scenario.lines)
        for statement in statements:
            if getattr(statement, 'name', '') != name:
                continue
            if isinstance(statement, _records.DefineEndpoint):
                return 'engine', self._describe_engine(statement)
            if isinstance(statement, _records.DefineService):
                return 'service', _describe_service(statement)
        return 'platform', []

    def _describe_engine(self, ep):
        (model,) = self._scenario.list_statements(_records.DefineModel)
        options = {
            'model': model.name,
            'first-layer': ep.first_layer,
            'end-layer': ep.end_layer,
            'max-streams': ep.max_streams,
            'step-ms': ep.step_s * 1000,
        }
        flags = [
            word
            for key, value in options.items()
            for word in (f'--{key}', str(value))
        ]
        return flags + (['--deduplicates'] if ep.deduplicates else [])

    def _start_entry(self, name):
        log = self._folder / f'{name}.log'
        path = self._folder / f'{name}.ini'
        path.write_text(
            _settings.render_settings(
                self._scenario, name, self.addresses, str(log)
            )
        )
        return self._spawn(name, ['-m', self._module, 'serve', str(path)])

    def _spawn(self, name, arguments, stdout=None):
        errors = (self._folder / f'{name}.err').open('ab')
        with errors:
            return subprocess.Popen(
                [sys.executable, *arguments],
                stdout=stdout or errors,
                stderr=errors,
                cwd=_ROOT,
                env=os.environ | {_settings.PEER_KEY_VARIABLE: _PEER_KEY},
            )

    def get_pid(self, name):
        """Return the process identifier of a process."""
        return self._processes[name].pid

    def read_stderr(self, name, limit=_STDERR_TAIL_CHARS):
        """Return the last characters of the standard error of a process."""
        text = (self._folder / f'{name}.err').read_text()
        return text[-limit:].strip()

    def signal(self, name, number):
        """Send a signal to a process."""
        self._processes[name].send_signal(number)

    def kill(self, name):
        """Kill a process and wait until it has exited."""
        self.killed.add(name)
        self._processes[name].kill()
        self._processes[name].wait()

    def wait(self, name, timeout_s):
        """Return the exit status of a process, None if it still runs.

        Parameters
        ----------
        name : str
        timeout_s : float
            Maximum wait, seconds.
        """
        try:
            return self._processes[name].wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def stop_all(self):
        """Stop all processes that still run, suspended ones included."""
        running = [p for p in self._processes.values() if p.poll() is None]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        waiters = [
            threading.Thread(target=_stop_process, args=(process,))
            for process in running
        ]
        for waiter in waiters:
            waiter.start()
        for waiter in waiters:
            waiter.join()
        for process in self._processes.values():
            if process.stdout:
                process.stdout.close()


def _stop_process(process):
    try:
        process.wait(_PROCESS_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def _describe_service(service):
    options = ['--work-s', str(service.work_s)]
    if service.deduplicates:
        options.append('--deduplicates')
    if service.lookup:
        options.append('--lookup')
    return options


def _name_control_listener(link):
    return f'control/{link}'


def _get_port(address):
    return address.rpartition(':')[2]


def _wait_until_listening(name, process):
    """Wait until a stand-in prints that it is ready."""
    for line in process.stdout:
        if line.startswith(b'ready'):
            return
    raise RuntimeError(f'stand-in {name} exited before it was ready')


def find_addresses(count):
    """Return distinct free addresses of the loopback interface.

    All ports stay bound until the last one is found, because the kernel may
    assign a port again as soon as it is released.

    Parameters
    ----------
    count : int

    Returns
    -------
    list of str
    """
    with contextlib.ExitStack() as probes:
        addresses = []
        for _ in range(count):
            probe = probes.enter_context(socket.socket())
            probe.bind((_HOST, 0))
            addresses.append(f'{_HOST}:{probe.getsockname()[1]}')
        return addresses
