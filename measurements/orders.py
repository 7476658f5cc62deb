"""Randomised fault tests of the order systems, and their cost.

``python -m measurements.orders soak SECONDS SEED`` runs scenarios with
increasing seeds until the time is up; it exits with 1 if a guarantee was
violated.
``python -m measurements.orders writes`` counts calls to the platform.
``python -m measurements.orders resolution SCENARIOS SEED`` measures how long
keys stay in doubt after the faults have ended.
"""

import collections
import sys
import time

import defopt

from sniperudder import outcomes
from sniperudder.testing import _orderchecks
from sniperudder.testing import _orders
from sniperudder.testing import _orderscenarios

_KEY_COUNT = 200
_REPEAT_COUNT = 3


def soak(seconds: float, seed: int):
    """Run scenarios with random faults until the time is up.

    Parameters
    ----------
    seconds : float
        Wall-clock time, seconds.
    seed : int
        Seed of the first scenario; the others follow it.
    """
    first = seed
    failed_seeds = 0
    simulated_s = 0.0
    runs = 0
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        world = _run_scenario(seed)
        violations = _orderchecks.check_orders(world)
        simulated_s += world.now
        runs += sum(len(standin.log) for standin in world.services.values())
        if violations:
            failed_seeds += 1
            print(f'seed {seed}: {violations}')
        seed += 1
    print(
        f'seeds {first}..{seed - 1}: {failed_seeds} broken, '
        f'{simulated_s / 3600:.1f} h simulated, {runs} runs at services'
    )
    sys.exit(1 if failed_seeds else 0)


def writes():
    """Count the platform transactions per order without faults."""
    for service in _orders.KINDS:
        for repeats in (0, _REPEAT_COUNT):
            _print_write_counts(service, repeats)


def resolution(scenarios: int, seed: int):
    """Measure how long keys stay in doubt after the faults have ended.

    Parameters
    ----------
    scenarios : int
        Number of scenarios.
    seed : int
        Seed of the first scenario; the others follow it.
    """
    times = collections.defaultdict(list)
    for number in range(seed, seed + scenarios):
        for attempt in _run_scenario(number).tries:
            if not attempt.final or not attempt.outcomes:
                continue
            if isinstance(attempt.outcomes[0], outcomes.Answered):
                elapsed_s = attempt.ended_at - attempt.sent_at
                times[attempt.plan.service].append(elapsed_s)
    for service, values in sorted(times.items()):
        values.sort()
        print(
            f'{service}: {len(values)} keys, '
            f'median {values[len(values) // 2]:.2f} s, '
            f'worst {values[-1]:.2f} s'
        )


def _run_scenario(seed):
    return _orders.OrderSimulation(_orderscenarios.draw_scenario(seed)).run()


def _print_write_counts(service, repeats):
    plans = tuple(
        _orders.OrderPlan(
            at=0.01 * number,
            organisation='north',
            service=service,
            key=str(number),
            body='{}',
            repeats=repeats,
        )
        for number in range(_KEY_COUNT)
    )
    scenario = _orders.Scenario(1, plans, final_repeats=False)
    world = _orders.OrderSimulation(scenario).run()
    counts = world.store.counts
    print(
        f'{service}, {repeats} repeats: a key costs '
        f'{counts["write_transactions"] / _KEY_COUNT:.2f} conditional writes '
        f'({counts["conflicts"] / _KEY_COUNT:.2f} refused), '
        f'{counts["rows_written"] / _KEY_COUNT:.2f} rows written, '
        f'{counts["rows_given"] / _KEY_COUNT:.2f} rows given, '
        f'{counts["read_transactions"] / _KEY_COUNT:.2f} reads'
    )


if __name__ == '__main__':
    defopt.run([soak, writes, resolution])
