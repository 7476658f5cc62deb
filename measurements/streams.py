"""Long random runs over requests with faults at any moment.

Run with ``python -m measurements.streams SECONDS SEED``. A failure
prints its seed, what was broken, and the faults, shortened as far as
it still fails.
"""

import dataclasses
import sys
import time

from sniperudder import errors
from sniperudder import testing

_RUN_S = 45.0


def find_violations(plan):
    """Return what a plan breaks.

    Parameters
    ----------
    plan : sniperudder.testing.StreamPlan

    Returns
    -------
    list of str
    """
    try:
        return testing.check_streams(testing.StreamWorld(plan).run())
    except (AssertionError, errors.InvariantBroken) as exc:
        return [str(exc)]


def shorten_faults(plan):
    """Return a plan with fewer faults that still breaks a promise."""
    index = 0
    while index < len(plan.faults):
        faults = plan.faults[:index] + plan.faults[index + 1 :]
        fewer = dataclasses.replace(plan, faults=faults)
        if find_violations(fewer):
            plan = fewer
        else:
            index += 1
    return plan


def run_soak(seconds, seed):
    """Run seeds from one on until the time is over.

    Returns
    -------
    int
        Number of seeds that broke a promise.
    """
    end = time.monotonic() + seconds
    broken = runs = 0
    while time.monotonic() < end:
        plan = testing.draw_plan(seed)
        found = find_violations(plan)
        if found:
            broken += 1
            print(f'seed {seed}: {found[0]}')
            print(f'  faults: {shorten_faults(plan).faults}')
        runs += 1
        seed += 1
    hours = runs * _RUN_S / 3600
    print(f'{runs} runs, {hours:.1f} h simulated, {broken} broken')
    return broken


if __name__ == '__main__':
    sys.exit(run_soak(float(sys.argv[1]), int(sys.argv[2])) > 0)
