"""Measures the cost of the home instance of models by the fleet's size.

Run as ``python -m measurements.home``. The home instance grants all slots of
a model. The program runs its real systems in this process, without sockets
and encoding, and measures the time to grant and release a slot, to process
the list of slots that an entry instance holds, to run one tick, and to choose
the home by the number of instances, as well as the memory of a held slot.
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
_NOW_S = 1000.0
_RUN_COUNT = 5
# Numbers of endpoints of the measured model and of all models.
_FLEET_SIZES = ((30, 30), (63, 63), (255, 255), (750, 750), (750, 12000))
_HELD_SLOT_COUNTS = (0, 1000, 3000, 9600)
_INSTANCE_COUNTS = (9, 50, 390)
_ENTRY = 'entry-0'


def _create_home_tables(own_count, total_count, streams=_STREAMS):
    T = tables.create_tables('home', 'milan', seed=1)
    for number in range(total_count):
        model = 'weave' if number < own_count else f'other-{number % 15}'
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


def _request_slot(T, request):
    message = messages.AskSlot(
        request=request,
        attempt=1,
        organisation='studio',
        rank=tables.Rank.URGENT,
        model='weave',
        work=100.0,
        fingerprint=request,
        max_wait_s=60.0,
    )
    arrived = inputs.SlotMessageArrived(_ENTRY, message)
    return core.handle_input(T, arrived, _NOW_S)


def _release_slot(T, request):
    message = messages.ReleaseSlot(request, 1, 100.0)
    core.handle_input(T, inputs.SlotMessageArrived(_ENTRY, message), _NOW_S)


def _measure_call_us(function, count):
    """Return the CPU time per call in the fastest run, microseconds."""
    least_s = float('inf')
    for _ in range(_RUN_COUNT):
        begin = time.process_time()
        for number in range(count):
            function(number)
        least_s = min(least_s, time.process_time() - begin)
    return least_s / count * 1e6


def measure_slots():
    """Return rows of the time to grant and release a slot, by endpoints."""
    rows = []
    for own_count, total_count in _FLEET_SIZES:
        T = _create_home_tables(own_count, total_count)

        def use_slot(number, T=T):
            granted = _request_slot(T, f'request-{number}')
            assert granted
            _release_slot(T, f'request-{number}')

        rows.append(
            [own_count, total_count, f'{_measure_call_us(use_slot, 30):.0f}']
        )
    return rows


def measure_tables():
    """Return rows of the memory of the tables by number of endpoints."""
    rows = []
    for own_count, total_count in ((30, 30), (750, 3000), (750, 12000)):
        tracemalloc.start()
        T = _create_home_tables(own_count, total_count)
        memory_b = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        rows.append([len(T.endpoints), f'{memory_b / 1e6:.2f}'])
    return rows


def measure_held_slots():
    """Return rows of times and memory by number of held slots."""
    rows = []
    for count in _HELD_SLOT_COUNTS:
        T = _create_home_tables(30, 30, max(_HELD_SLOT_COUNTS))
        tracemalloc.start()
        for number in range(count):
            _request_slot(T, f'request-{number}')
        memory_b = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        hold_slots = inputs.SlotMessageArrived(_ENTRY, messages.HoldSlots())
        listing_us = _measure_call_us(
            lambda _: core.handle_input(T, hold_slots, _NOW_S), 5
        )
        tick_us = _measure_call_us(lambda _: core.run_tick(T, _NOW_S), 5)
        bytes_per_slot = f'{memory_b / count:.0f}' if count else ''
        rows.append(
            [count, f'{listing_us:.0f}', f'{tick_us:.0f}', bytes_per_slot]
        )
    return rows


def measure_home_choice():
    """Return rows of the time to choose a home by number of instances."""
    rows = []
    for count in _INSTANCE_COUNTS:
        T = _create_home_tables(30, 30)
        for number in range(1, count - 1):
            _add_instance(T, f'entry-{number}')
        placement = dispatch.get_placement(T)
        choice_us = _measure_call_us(
            lambda _, T=T, p=placement: p.find_home(T, 'weave', _NOW_S), 30
        )
        rows.append([count, f'{choice_us:.0f}'])
    return rows


def main():
    """Print the tables."""
    columns = ('endpoints of the model', 'of all', 'us_slot')
    print(queries.render_grid(columns, measure_slots()))
    print(queries.render_grid(('endpoints', 'memory_mb'), measure_tables()))
    columns = ('slots held', 'us_holdings', 'us_tick', 'bytes_slot')
    print(queries.render_grid(columns, measure_held_slots()))
    print(
        queries.render_grid(('instances', 'us_choice'), measure_home_choice())
    )


if __name__ == '__main__':
    main()
