"""Measures entry instances as processes in front of stand-ins.

Run as ``python -m measurements.entry``; ``--streams-only`` measures only the
relay of tokens. It starts a platform, a chain of three engines, a service and
one to three entry instances on loopback, sends load from a single thread, and
stops them. It takes about a minute.
"""

import os
import time

import defopt
import urllib3

from measurements import _entries
from measurements import _load_generators
from sniperudder import queries

_CHAIN = """\
model demo layers 12
endpoint first layers 0..4 step {step_ms}ms streams 512
endpoint second layers 4..8 step {step_ms}ms streams 512
endpoint third layers 8..12 step {step_ms}ms streams 512
service swatches work 1ms deduplicates lookup
organisation studio
"""
_STREAM_COUNTS = (50, 100, 200, 400)
STEP_MS = 10
_WARM_UP_S = 3.0
_MEASURE_S = 4.0
_PAUSE_S = 1.5
_IDLE_MEASURE_S = 10.0
_CALLER_COUNTS = (1, 16)
_DIRECT_CALLS = 500


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
    return _load_generators.Call('/v1/completions', _entries.API_KEY, body)


def _render_times(times_s):
    return [
        f'{_load_generators.find_quantile(times_s, quantile) * 1000:.1f}'
        for quantile in (0.5, 0.95, 0.99)
    ]


def measure_requests():
    """Return rows of requests and orders through one entry instance."""
    rows = []
    order_call = _load_generators.Call(
        '/services/swatches', _entries.API_KEY, {'yards': 3}
    )
    with _entries.run_fleet(define_fleet(1, 0)) as fleet:
        rows.append(_measure_direct(fleet))
        for count in _CALLER_COUNTS:
            call = make_completion(1, False)
            rows.append(_measure_calls(fleet, 'completion', call, count))
        for count in _CALLER_COUNTS:
            rows.append(_measure_calls(fleet, 'order', order_call, count))
    return rows


def _measure_direct(fleet):
    engines = [
        (fleet.addresses['first'], 0, 4),
        (fleet.addresses['second'], 4, 8),
        (fleet.addresses['third'], 8, 12),
    ]
    pool = urllib3.PoolManager()
    times_s = []
    for number in range(_DIRECT_CALLS):
        begin_at = time.monotonic()
        _entries.send_chain(pool, engines, f'direct-{number}')
        times_s.append(time.monotonic() - begin_at)
    rate = f'{len(times_s) / sum(times_s):.0f}'
    return ['straight to engines', 1, rate, *_render_times(times_s), '', 0]


def _measure_calls(fleet, name, call, count):
    generator = _load_generators.LoadGenerator(
        fleet.addresses['entry-1/callers']
    )
    pid = fleet.get_pid('entry-1')
    for _ in range(count):
        generator.open_connection(call)
    generator.run(1.0)
    cpu_s = _entries.read_cpu_s(pid)
    counts = generator.run(_MEASURE_S)
    cpu_s = _entries.read_cpu_s(pid) - cpu_s
    generator.close()
    answers = max(counts.answers, 1)
    return [
        name,
        count,
        f'{counts.answers / _MEASURE_S:.0f}',
        *_render_times(counts.times_s),
        f'{cpu_s / answers * 1000:.2f}',
        counts.refused,
    ]


def measure_streams():
    """Return a row for each number of concurrent streams."""
    rows = []
    with _entries.run_fleet(define_fleet(1, STEP_MS)) as fleet:
        memory_mb = _entries.read_memory_mb(fleet.get_pid('entry-1'))
        rows.append([0, '', '', '', '', '', '', f'{memory_mb:.0f}', 0])
        for count in _STREAM_COUNTS:
            rows.append(_measure_open_streams(fleet, count))
            time.sleep(_PAUSE_S)
    return rows


def _measure_open_streams(fleet, count):
    generator = _load_generators.LoadGenerator(
        fleet.addresses['entry-1/callers']
    )
    pid = fleet.get_pid('entry-1')
    for _ in range(count):
        generator.open_connection(make_completion(30000, True))
    warm_up = generator.run(_WARM_UP_S)
    cpu_s = _entries.read_cpu_s(pid)
    counts = generator.run(_MEASURE_S)
    cpu_s = _entries.read_cpu_s(pid) - cpu_s
    memory_mb = _entries.read_memory_mb(pid)
    generator.close()
    return [
        count,
        f'{counts.events / _MEASURE_S:.0f}',
        f'{cpu_s / _MEASURE_S * 100:.0f}',
        f'{cpu_s / max(counts.events, 1) * 1e6:.0f}',
        *_render_times(counts.gaps_s),
        f'{memory_mb:.0f}',
        warm_up.refused + counts.refused,
    ]


def measure_idle():
    """Return rows of the CPU and memory use of three idle instances."""
    names = ('entry-1', 'entry-2', 'entry-3')
    with _entries.run_fleet(define_fleet(len(names), 0)) as fleet:
        pids = [fleet.get_pid(name) for name in names]
        before = [_entries.read_cpu_s(pid) for pid in pids]
        time.sleep(_IDLE_MEASURE_S)
        after = [_entries.read_cpu_s(pid) for pid in pids]
        return [
            [
                name,
                f'{(end_s - begin_s) / _IDLE_MEASURE_S * 100:.1f}',
                f'{_entries.read_memory_mb(pid):.0f}',
            ]
            for name, pid, begin_s, end_s in zip(names, pids, before, after)
        ]


def main(*, streams_only: bool = False):
    """Measure and print the tables.

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
