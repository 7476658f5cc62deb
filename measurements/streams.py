"""Randomised fault tests of requests.

Run as ``python -m measurements.streams SECONDS SEED``. A failure prints its
seed, the violation, and the faults, shrunk to those that are needed to
reproduce it.
"""

import dataclasses
import sys
import time

from sniperudder import errors
from sniperudder import testing

_RUN_S = 45.0


def find_violations(plan):
    """Run a plan and return the violated guarantees.

    Parameters
    ----------
    plan : sniperudder.testing.StreamPlan

    Returns
    -------
    list of str
    """
    try:
        return testing.check_streams(testing.StreamSimulation(plan).run())
    except (AssertionError, errors.InvariantBroken) as exc:
        return [str(exc)]


def shrink_faults(plan):
    """Remove faults that are not needed for a violation of a guarantee."""
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
    """Run increasing seeds until the time is up.

    Returns
    -------
    int
        Number of seeds with a violated guarantee.
    """
    deadline = time.monotonic() + seconds
    failed_seeds = run_count = 0
    while time.monotonic() < deadline:
        plan = testing.draw_plan(seed)
        violations = find_violations(plan)
        if violations:
            failed_seeds += 1
            print(f'seed {seed}: {violations[0]}')
            print(f'  faults: {shrink_faults(plan).faults}')
        run_count += 1
        seed += 1
    hours = run_count * _RUN_S / 3600
    print(f'{run_count} runs, {hours:.1f} h simulated, {failed_seeds} broken')
    return failed_seeds


if __name__ == '__main__':
    sys.exit(run_soak(float(sys.argv[1]), int(sys.argv[2])) > 0)
