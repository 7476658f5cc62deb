"""Entry instances and stand-ins as child processes of a measurement."""

import contextlib
import json
import os
import pathlib
import tempfile
import time

import urllib3

from scenarios import _processes
from scenarios import _settings
from scenarios import parse_scenario

_READY_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.1
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')

API_KEY = _settings.make_key('studio', 'middle')


@contextlib.contextmanager
def run_fleet(text, module='sniperudder'):
    """Run the processes defined by a scenario while the context is active.

    Parameters
    ----------
    text : str
        Definitions in the scenario language; see docs/SCENARIOS.md.
    module : str
        Python module that the entry instances run.

    Yields
    ------
    scenarios._processes.Fleet
    """
    scenario = parse_scenario(text, 'measurement')
    with tempfile.TemporaryDirectory() as folder:
        fleet = _processes.Fleet(scenario, pathlib.Path(folder), module)
        try:
            fleet.start_standins()
            for name in fleet.start_entries():
                _await_ready(fleet, name)
            yield fleet
        finally:
            fleet.stop_all()


def _await_ready(fleet, name):
    url = f'http://{fleet.addresses[f"{name}/callers"]}/readyz'
    deadline = time.monotonic() + _READY_TIMEOUT_S
    while time.monotonic() < deadline:
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            if urllib3.request('GET', url, retries=False).status == 200:
                return
        time.sleep(_POLL_INTERVAL_S)
    raise RuntimeError(f'{name} is not ready: {fleet.read_stderr(name)}')


def read_cpu_s(pid):
    """Return the CPU time used by a process, seconds."""
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = stat.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def read_memory_mb(pid):
    """Return the resident memory of a process, MB."""
    statm = pathlib.Path(f'/proc/{pid}/statm').read_text()
    return int(statm.split()[1]) * _PAGE_BYTES / 1e6


def send_chain(pool, engines, name):
    """Send the steps of one token directly to a chain of engines.

    Parameters
    ----------
    pool : urllib3.PoolManager
    engines : list of tuple
        Address, first layer and end layer of each engine.
    name : str
        Identifier of the request.
    """
    payload = 'linen or wool'
    for address, first, end in engines:
        step = {
            'request': name,
            'attempt': 1,
            'position': 0,
            'first_layer': first,
            'end_layer': end,
            'model': 'demo',
            'version': '1',
            'rank': 1,
            'prefill': True,
            'payload': payload,
            'last': address == engines[-1][0],
            'deadline_s': 60.0,
        }
        body = json.dumps({'steps': [step]}).encode()
        reply = pool.request('POST', f'http://{address}/v1/steps', body=body)
        payload = json.loads(reply.data)['results'][0]['output']
