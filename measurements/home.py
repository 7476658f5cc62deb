"""Measures what the home of models costs, by its size.

Run as ``python -m measurements.home``. The real systems of one home in
this process, without sockets and encoding: a slot asked for and given
back, an entry's list of holdings, one tick, the choice of a home by the
number of instances, and the memory of a held slot.
"""

import time
import tracemalloc

from sniperudder import core
from sniperudder import inputs
from sniperudder import messages
from sniperudder import queries
from sniperudder.systems import dispatch
from sniperudder import tables

_STAGES = 3
_LAYERS = 12
_STREAMS = 48
_NOW = 1000.0
_RUNS = 5
# Endpoints of the home's own model and of all models.
_FLEETS = ((30, 30), (63, 63), (255, 255), (750, 750), (750, 12000))
_TICKETS = (0, 1000, 3000, 9600)
_INSTANCES = (9, 50, 390)
_ENTRY = 'entry-0'


def _create_home(own, total, streams=_STREAMS):
    T = tables.create_tables('home', 'milan', seed=1)
    for number in range(total):
        model = 'weave' if number < own else f'other-{number % 15}'
        first = number % _STAGES * (_LAYERS // _STAGES)
        end = first + _LAYERS // _STAGES
        name = f'endpoint-{number}'
        ep = tables.Endpoint(
            name, '192.0.2.1:1', 'milan', 'a', model, '1', first, end, streams
        )
        ep.state = tables.EndpointState.UP
        T.endpoints[name] = ep
        T.models.setdefault(model, tables.Model(model, _LAYERS))
    _add_instance(T, 'home')
    _add_instance(T, _ENTRY)
    return T


def _add_instance(T, name):
    T.instances[name] = tables.Instance(
        name, '192.0.2.1:1', 'milan', state=tables.InstanceState.LIVE
    )


def _ask(T, request):
    ask = messages.AskSlot(
        request=request,
        attempt=1,
        organisation='studio',
        rank=tables.Rank.URGENT,
        model='weave',
        work=100.0,
        fingerprint=request,
        max_wait_s=60.0,
    )
    arrived = inputs.PostArrived(_ENTRY, ask)
    return core.handle_input(T, arrived, _NOW)


def _release(T, request):
    release = messages.ReleaseSlot(request, 1, 100.0)
    core.handle_input(T, inputs.PostArrived(_ENTRY, release), _NOW)


def _time_best(function, count):
    """Return the least time of one of ``count`` calls, microseconds."""
    best = float('inf')
    for _ in range(_RUNS):
        begin = time.process_time()
        for number in range(count):
            function(number)
        best = min(best, time.process_time() - begin)
    return best / count * 1e6


def measure_slots():
    """Return rows of the time of one slot by the number of endpoints."""
    rows = []
    for own, total in _FLEETS:
        T = _create_home(own, total)

        def use_slot(number, T=T):
            granted = _ask(T, f'request-{number}')
            assert granted
            _release(T, f'request-{number}')

        rows.append([own, total, f'{_time_best(use_slot, 30):.0f}'])
    return rows


def measure_tables():
    """Return rows of the memory of all endpoints by their number."""
    rows = []
    for own, total in ((30, 30), (750, 3000), (750, 12000)):
        tracemalloc.start()
        T = _create_home(own, total)
        memory_b = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        rows.append([len(T.endpoints), f'{memory_b / 1e6:.2f}'])
    return rows


def measure_tickets():
    """Return rows of the cost of held slots by their number."""
    rows = []
    for count in _TICKETS:
        T = _create_home(30, 30, max(_TICKETS))
        tracemalloc.start()
        for number in range(count):
            _ask(T, f'request-{number}')
        memory_b = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        holds = inputs.PostArrived(_ENTRY, messages.HoldSlots())
        listing = _time_best(lambda _: core.handle_input(T, holds, _NOW), 5)
        tick = _time_best(lambda _: core.run_tick(T, _NOW), 5)
        size = f'{memory_b / count:.0f}' if count else ''
        rows.append([count, f'{listing:.0f}', f'{tick:.0f}', size])
    return rows


def measure_choice():
    """Return rows of the time to choose a home by the instances."""
    rows = []
    for count in _INSTANCES:
        T = _create_home(30, 30)
        for number in range(1, count - 1):
            _add_instance(T, f'entry-{number}')
        placement = dispatch.get_placement(T)
        choice = _time_best(
            lambda _, T=T, p=placement: p.find_home(T, 'weave', _NOW), 30
        )
        rows.append([count, f'{choice:.0f}'])
    return rows


def main():
    """Print the tables."""
    columns = ('endpoints of the model', 'of all', 'us_slot')
    print(queries.render_grid(columns, measure_slots()))
    print(queries.render_grid(('endpoints', 'memory_mb'), measure_tables()))
    columns = ('slots held', 'us_holdings', 'us_tick', 'bytes_slot')
    print(queries.render_grid(columns, measure_tickets()))
    print(queries.render_grid(('instances', 'us_choice'), measure_choice()))


if __name__ == '__main__':
    main()
