"""Long random runs over the configuration with faults at any moment.

Run with ``python -m measurements.soak SECONDS SEED``. A failure prints
its seed and its steps, shortened as far as it still fails.
"""

import random
import sys
import time

from sniperudder import testing

_STEPS = 30


def shorten_steps(seed, steps):
    """Return fewer steps that break a promise with the same seed."""
    index = 0
    while index < len(steps):
        fewer = steps[:index] + steps[index + 1 :]
        if testing.run_chaos(seed, fewer).watch.violations:
            steps = fewer
        else:
            index += 1
    return steps


def run_soak(seconds, seed):
    """Run seeds from one on until the time is over.

    Returns
    -------
    int
        Number of seeds that broke a promise.
    """
    end = time.monotonic() + seconds
    broken = runs = 0
    slowest_s = simulated_s = 0.0
    while time.monotonic() < end:
        steps = testing.draw_steps(random.Random(seed), _STEPS)
        chaos = testing.run_chaos(seed, steps)
        if chaos.watch.violations:
            broken += 1
            print(f'seed {seed}: {chaos.watch.violations[0]}')
            print(f'  steps: {shorten_steps(seed, steps)}')
        slowest_s = max(slowest_s, chaos.watch.slowest_s)
        simulated_s += chaos.fleet.now
        runs += 1
        seed += 1
    print(
        f'{runs} runs, {simulated_s / 3600:.2f} h simulated,'
        f' {broken} broken, last work against an accepted command'
        f' {slowest_s:.2f} s after its acceptance'
    )
    return broken


if __name__ == '__main__':
    sys.exit(run_soak(float(sys.argv[1]), int(sys.argv[2])) > 0)
