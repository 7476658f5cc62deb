"""Measures bytes and time of a query over the whole fleet.

Run as ``python -m measurements.queries``. Each instance's part is
evaluated, encoded, decoded and combined as in a running fleet, one
after another in this process; the network's own time is not counted.
"""

import json
import time

from sniperudder import queries
from sniperudder import tables

_SIZES = (9, 50, 390)
_REQUESTS = 200
_ENDPOINTS = 30
_ORGANISATIONS = 10
_NOW = 1000.0
_RUNS = 3
_QUERIES = (
    'show rank, count(), p95(wait_s) of requests by rank',
    'count requests by organisation, rank where state = waiting',
    'show requests where rank = urgent order by wait_s desc limit 10',
    'show name, sum(streams) of endpoints by name',
)


def _create_instance(number):
    T = tables.create_tables(f'entry-{number}', 'milan', seed=number)
    for i in range(_ENDPOINTS):
        name = f'endpoint-{i:02}'
        T.endpoints[name] = tables.Endpoint(
            name, '192.0.2.1:1', 'milan', 'a', 'weave', '1', 0, 2, 24
        )
    for i in range(_REQUESTS):
        name = f'{T.rng.getrandbits(128):032x}'
        T.requests[name] = tables.Request(
            name=name,
            organisation=f'studio-{i % _ORGANISATIONS}',
            rank=tables.RANKS[i % len(tables.RANKS)],
            model='weave',
            prompt='p',
            max_tokens=64,
            arrived_at=_NOW - T.rng.expovariate(0.5),
            deadline=_NOW + 60,
        )
    return T


def _measure(fleet, text):
    """Return bytes, and seconds at an instance and at the asked one."""
    query = queries.parse_query(text)
    begin = time.perf_counter()
    messages = [
        queries.encode_partial(queries.evaluate_partial(T, query, _NOW))
        for T in fleet
    ]
    middle = time.perf_counter()
    partials = [queries.decode_partial(message) for message in messages]
    queries.combine_partials(query, partials)
    end = time.perf_counter()
    size = sum(len(message) for message in messages)
    return size, (middle - begin) / len(fleet), end - middle


def _measure_rows(fleet, text):
    """Return the bytes of all rows of the query's table."""
    table = queries.parse_query(text).table
    return sum(
        len(json.dumps(list(queries.list_rows(T, table, _NOW)))) for T in fleet
    )


def main():
    """Print one line for each fleet and query."""
    rows = []
    for size in _SIZES:
        fleet = [_create_instance(number) for number in range(size)]
        for text in _QUERIES:
            runs = [_measure(fleet, text) for _ in range(_RUNS)]
            part_ms = min(run[1] for run in runs) * 1000
            combine_ms = min(run[2] for run in runs) * 1000
            whole = _measure_rows(fleet, text)
            rows.append((size, text, runs[0][0], whole, part_ms, combine_ms))
    columns = ('members', 'query', 'bytes', 'all rows', 'part_ms', 'all_ms')
    print(queries.render_grid(columns, rows))


if __name__ == '__main__':
    main()
