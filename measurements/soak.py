"""Randomised fault tests of the configuration.

Run as ``python -m measurements.soak SECONDS SEED``. A failure prints its seed
and its steps, shrunk to those that are needed to reproduce it.
"""

import random
import sys
import time

from sniperudder import testing

_STEP_COUNT = 30


def shrink_steps(seed, steps):
    """Remove steps that are not needed for a violation with this seed."""
    index = 0
    while index < len(steps):
        fewer = steps[:index] + steps[index + 1 :]
        if testing.run_chaos(seed, fewer).monitor.violations:
            steps = fewer
        else:
            index += 1
    return steps


def run_soak(seconds, seed):
    """Run increasing seeds until the time is up.

    Returns
    -------
    int
        Number of seeds with a violated guarantee.
    """
    deadline = time.monotonic() + seconds
    failed_seeds = run_count = 0
    longest_lag_s = simulated_s = 0.0
    while time.monotonic() < deadline:
        steps = testing.draw_steps(random.Random(seed), _STEP_COUNT)
        result = testing.run_chaos(seed, steps)
        if result.monitor.violations:
            failed_seeds += 1
            print(f'seed {seed}: {result.monitor.violations[0]}')
            print(f'  steps: {shrink_steps(seed, steps)}')
        longest_lag_s = max(longest_lag_s, result.monitor.longest_lag_s)
        simulated_s += result.fleet.now
        run_count += 1
        seed += 1
    print(
        f'{run_count} runs, {simulated_s / 3600:.2f} h simulated,'
        f' {failed_seeds} broken, last work against an accepted command'
        f' {longest_lag_s:.2f} s after its acceptance'
    )
    return failed_seeds


if __name__ == '__main__':
    sys.exit(run_soak(float(sys.argv[1]), int(sys.argv[2])) > 0)
