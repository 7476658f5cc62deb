"""Measures bytes and time of queries over the whole fleet.

Run as ``python -m measurements.queries``. The partial result of each instance
is evaluated, encoded, decoded and combined as in a running fleet, but one
after another in this process; network time is not included.
"""

import json
import time

from sniperudder import queries
from sniperudder import tables

_INSTANCE_COUNTS = (9, 50, 390)
_REQUEST_COUNT = 200
_ENDPOINT_COUNT = 30
_ORGANISATION_COUNT = 10
_NOW_S = 1000.0
_RUN_COUNT = 3
_QUERIES = (
    'show rank, count(), p95(wait_s) of requests by rank',
    'count requests by organisation, rank where state = waiting',
    'show requests where rank = urgent order by wait_s desc limit 10',
    'show name, sum(streams) of endpoints by name',
)


def _create_instance(number):
    T = tables.create_tables(f'entry-{number}', 'milan', seed=number)
    for i in range(_ENDPOINT_COUNT):
        name = f'endpoint-{i:02}'
        T.endpoints[name] = tables.Endpoint(
            name, '192.0.2.1:1', 'milan', 'a', 'weave', '1', 0, 2, 24
        )
    for i in range(_REQUEST_COUNT):
        name = f'{T.rng.getrandbits(128):032x}'
        T.requests[name] = tables.Request(
            name=name,
            organisation=f'studio-{i % _ORGANISATION_COUNT}',
            rank=tables.RANKS[i % len(tables.RANKS)],
            model='weave',
            prompt='p',
            max_tokens=64,
            arrived_at=_NOW_S - T.rng.expovariate(0.5),
            deadline=_NOW_S + 60,
        )
    return T


def _measure_query(fleet, text):
    """Return bytes, seconds per instance, and seconds to combine all."""
    query = queries.parse_query(text)
    begin_at = time.perf_counter()
    messages = [
        queries.encode_partial(queries.evaluate_partial(T, query, _NOW_S))
        for T in fleet
    ]
    encoded_at = time.perf_counter()
    partials = [queries.decode_partial(message) for message in messages]
    queries.combine_partials(query, partials)
    end_at = time.perf_counter()
    size = sum(len(message) for message in messages)
    return size, (encoded_at - begin_at) / len(fleet), end_at - encoded_at


def _measure_table_bytes(fleet, text):
    """Return the bytes of all rows of the table that a query reads."""
    table = queries.parse_query(text).table
    return sum(
        len(json.dumps(list(queries.list_rows(T, table, _NOW_S))))
        for T in fleet
    )


def main():
    """Print one line for each fleet size and query."""
    rows = []
    for size in _INSTANCE_COUNTS:
        fleet = [_create_instance(number) for number in range(size)]
        for text in _QUERIES:
            runs = [_measure_query(fleet, text) for _ in range(_RUN_COUNT)]
            part_ms = min(run[1] for run in runs) * 1000
            combine_ms = min(run[2] for run in runs) * 1000
            table_bytes = _measure_table_bytes(fleet, text)
            rows.append(
                (size, text, runs[0][0], table_bytes, part_ms, combine_ms)
            )
    columns = ('members', 'query', 'bytes', 'all rows', 'part_ms', 'all_ms')
    print(queries.render_grid(columns, rows))


if __name__ == '__main__':
    main()
