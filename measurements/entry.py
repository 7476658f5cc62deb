"""Measures one entry instance as a process before stand-ins.

Run as ``python -m measurements.entry``; ``--streams-only`` leaves out all
but the relay of tokens. It starts a platform, a chain of three engines, a
service and one to three entries on loopback, drives them from one
selecting reader, and ends them. It takes about a minute.
"""

import os
import time

import defopt
import urllib3

from measurements import _entries
from measurements import _readers
from sniperudder import queries

_CHAIN = """\
model demo layers 12
endpoint first layers 0..4 step {step_ms}ms streams 512
endpoint second layers 4..8 step {step_ms}ms streams 512
endpoint third layers 8..12 step {step_ms}ms streams 512
service swatches work 1ms deduplicates lookup
organisation studio
"""
_STREAMS = (50, 100, 200, 400)
STEP_MS = 10
_WARM_S = 3.0
_WINDOW_S = 4.0
_PAUSE_S = 1.5
_IDLE_S = 10.0
_CALLERS = (1, 16)
_DIRECT = 500


def define_fleet(entries, step_ms):
    lines = [f'entry entry-{i}' for i in range(1, entries + 1)]
    return _CHAIN.format(step_ms=step_ms) + '\n'.join(lines) + '\n'


def make_completion(tokens, stream):
    body = {
        'model': 'demo',
        'prompt': 'linen or wool',
        'max_tokens': tokens,
        'stream': stream,
        'deadline_s': 600,
    }
    return _readers.Call('/v1/completions', _entries.KEY, body)


def _render_times(times_s):
    return [
        f'{_readers.find_quantile(times_s, quantile) * 1000:.1f}'
        for quantile in (0.5, 0.95, 0.99)
    ]


def measure_requests():
    """Return rows of requests and orders through one entry."""
    rows = []
    order = _readers.Call('/services/swatches', _entries.KEY, {'yards': 3})
    with _entries.run_fleet(define_fleet(1, 0)) as fleet:
        rows.append(_measure_direct(fleet))
        for count in _CALLERS:
            call = make_completion(1, False)
            rows.append(_measure_calls(fleet, 'completion', call, count))
        for count in _CALLERS:
            rows.append(_measure_calls(fleet, 'order', order, count))
    return rows


def _measure_direct(fleet):
    engines = [
        (fleet.addresses['first'], 0, 4),
        (fleet.addresses['second'], 4, 8),
        (fleet.addresses['third'], 8, 12),
    ]
    pool = urllib3.PoolManager()
    times_s = []
    for number in range(_DIRECT):
        begin = time.monotonic()
        _entries.send_chain(pool, engines, f'direct-{number}')
        times_s.append(time.monotonic() - begin)
    rate = f'{len(times_s) / sum(times_s):.0f}'
    return ['straight to engines', 1, rate, *_render_times(times_s), '', 0]


def _measure_calls(fleet, name, call, count):
    reader = _readers.Reader(fleet.addresses['entry-1/callers'])
    pid = fleet.find_pid('entry-1')
    for _ in range(count):
        reader.open_caller(call)
    reader.run(1.0)
    cpu_s = _entries.read_cpu_s(pid)
    counts = reader.run(_WINDOW_S)
    cpu_s = _entries.read_cpu_s(pid) - cpu_s
    reader.close()
    answers = max(counts.answers, 1)
    return [
        name,
        count,
        f'{counts.answers / _WINDOW_S:.0f}',
        *_render_times(counts.times_s),
        f'{cpu_s / answers * 1000:.2f}',
        counts.refused,
    ]


def measure_streams():
    """Return a row for each number of open streams."""
    rows = []
    with _entries.run_fleet(define_fleet(1, STEP_MS)) as fleet:
        memory = _entries.read_memory_mb(fleet.find_pid('entry-1'))
        rows.append([0, '', '', '', '', '', '', f'{memory:.0f}', 0])
        for count in _STREAMS:
            rows.append(_measure_open(fleet, count))
            time.sleep(_PAUSE_S)
    return rows


def _measure_open(fleet, count):
    reader = _readers.Reader(fleet.addresses['entry-1/callers'])
    pid = fleet.find_pid('entry-1')
    for _ in range(count):
        reader.open_caller(make_completion(30000, True))
    warm = reader.run(_WARM_S)
    cpu_s = _entries.read_cpu_s(pid)
    counts = reader.run(_WINDOW_S)
    cpu_s = _entries.read_cpu_s(pid) - cpu_s
    memory = _entries.read_memory_mb(pid)
    reader.close()
    return [
        count,
        f'{counts.events / _WINDOW_S:.0f}',
        f'{cpu_s / _WINDOW_S * 100:.0f}',
        f'{cpu_s / max(counts.events, 1) * 1e6:.0f}',
        *_render_times(counts.gaps_s),
        f'{memory:.0f}',
        warm.refused + counts.refused,
    ]


def measure_idle():
    """Return the share of a core that each of three idle entries uses."""
    names = ('entry-1', 'entry-2', 'entry-3')
    with _entries.run_fleet(define_fleet(len(names), 0)) as fleet:
        pids = [fleet.find_pid(name) for name in names]
        before = [_entries.read_cpu_s(pid) for pid in pids]
        time.sleep(_IDLE_S)
        after = [_entries.read_cpu_s(pid) for pid in pids]
        return [
            [
                name,
                f'{(end - begin) / _IDLE_S * 100:.1f}',
                f'{_entries.read_memory_mb(pid):.0f}',
            ]
            for name, pid, begin, end in zip(names, pids, before, after)
        ]


def main(*, streams_only: bool = False):
    """Print the tables.

    Parameters
    ----------
    streams_only : bool
        Measure only the relay of tokens.
    """
    print('load average', *(f'{load:.1f}' for load in os.getloadavg()))
    columns = (
        'streams',
        'tokens_s',
        'cpu_%',
        'us_token',
        'gap_p50_ms',
        'gap_p95_ms',
        'gap_p99_ms',
        'memory_mb',
        'refused',
    )
    print(queries.render_grid(columns, measure_streams()))
    if not streams_only:
        columns = ('call', 'callers', 'a_second', 'p50_ms', 'p95_ms')
        columns += ('p99_ms', 'cpu_ms', 'refused')
        print(queries.render_grid(columns, measure_requests()))
        columns = ('idle entry', 'cpu_%', 'memory_mb')
        print(queries.render_grid(columns, measure_idle()))
    print('load average', *(f'{load:.1f}' for load in os.getloadavg()))


if __name__ == '__main__':
    defopt.run(main)
