"""Measures size, start-up time and memory of ``dist/sniperudder``.

Run as ``python -m measurements.binary``, after ``make binary``.
"""

import dataclasses
import os
import pathlib
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time

_BINARY = pathlib.Path('dist/sniperudder')
_RUN_COUNT = 10
_KB_PER_MB = 1024
_IDLE_DELAY_S = 2.0
_LISTEN_TIMEOUT_S = 30.0

_SETTINGS = """\
[instance]
name = entry-1
data_centre = here
caller_address = 127.0.0.1:{0}
admin_address = 127.0.0.1:{1}
peer_address = 127.0.0.1:{2}

[platform]
address = 127.0.0.1:{3}
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Measurements of one run of the binary.

    Attributes
    ----------
    wall_s : float
        Time until a command exited, or until an instance accepted a
        connection, seconds.
    memory_mb : float
        Peak memory of a command, or resident memory of an idle instance.
    children : int
        Number of child processes of an idle instance.
    """

    wall_s: float
    memory_mb: float
    children: int = 0


def run_command(*argv):
    """Run a command until it exits."""
    start = time.perf_counter()
    process = subprocess.Popen([_BINARY, *argv], stdout=subprocess.DEVNULL)
    _, status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    if process.returncode:
        sys.exit(f'{argv}: exit status {process.returncode}')
    wall_s = time.perf_counter() - start
    return Run(wall_s, usage.ru_maxrss / _KB_PER_MB)


def run_instance(config, port):
    """Start an instance, measure it while idle, and stop it."""
    start = time.perf_counter()
    process = subprocess.Popen(
        [_BINARY, 'serve', config], stderr=subprocess.DEVNULL
    )
    try:
        _wait_until_listening(port, start + _LISTEN_TIMEOUT_S)
        wall_s = time.perf_counter() - start
        time.sleep(_IDLE_DELAY_S)
        return Run(wall_s, *_read_usage(process.pid))
    finally:
        process.send_signal(signal.SIGTERM)
        process.wait()


def _wait_until_listening(port, deadline):
    while time.perf_counter() < deadline:
        try:
            socket.create_connection(('127.0.0.1', port), 0.1).close()
        except OSError:
            time.sleep(0.005)
        else:
            return
    sys.exit('the instance did not accept connections within the time limit')


def _read_usage(pid):
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    (line,) = (x for x in status.splitlines() if x.startswith('VmRSS'))
    tasks = pathlib.Path(f'/proc/{pid}/task').glob('*/children')
    children = sum(len(path.read_text().split()) for path in tasks)
    return int(line.split()[1]) / _KB_PER_MB, children


def _find_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(('127.0.0.1', 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def _print_runs(title, runs):
    times = sorted(run.wall_s for run in runs)
    memory_mb = max(run.memory_mb for run in runs)
    children = max(run.children for run in runs)
    print(
        f'{title}: median {statistics.median(times):.2f} s '
        f'({times[0]:.2f} to {times[-1]:.2f}), {memory_mb:.1f} MB, '
        f'{children} children, {len(runs)} runs'
    )


def main():
    """Print all measurements; the archive is unpacked to a new directory."""
    ports = _find_ports(4)
    with tempfile.TemporaryDirectory() as root:
        os.environ['SHIV_ROOT'] = root
        config = os.path.join(root, 'entry.ini')
        pathlib.Path(config).write_text(_SETTINGS.format(*ports))
        print(f'archive: {_BINARY.stat().st_size / 1e6:.2f} MB')
        _print_runs('version, unpacking', [run_command('version')])
        _print_runs(
            'version', [run_command('version') for _ in range(_RUN_COUNT)]
        )
        _print_runs(
            'check-config',
            [run_command('check-config', config) for _ in range(_RUN_COUNT)],
        )
        _print_runs(
            'serve to listening',
            [run_instance(config, ports[0]) for _ in range(_RUN_COUNT)],
        )
        unpacked_files = [
            x for x in pathlib.Path(root).rglob('*') if x.is_file()
        ]
        unpacked_bytes = sum(file.stat().st_size for file in unpacked_files)
        print(f'unpacked: {unpacked_bytes / 1e6:.1f} MB')


if __name__ == '__main__':
    main()
