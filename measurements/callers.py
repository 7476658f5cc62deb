"""Random crowds of hostile callers at a real process.

Run as ``python -m measurements.callers SECONDS SEED``. Signals, restarts and
changes of the limits come beside the crowds. A failure prints its seed, the
violated bound and what was played.
"""

import sys
import time

from sniperudder.entry.tests import _hostile_plays


def run_soak(seconds, seed):
    """Play increasing seeds until the time is up.

    Parameters
    ----------
    seconds : float
    seed : int

    Returns
    -------
    int
        Number of seeds with a violated bound.
    """
    deadline = time.monotonic() + seconds
    failed_seeds = run_count = 0
    while time.monotonic() < deadline:
        verdict = _hostile_plays.play(seed)
        failed_seeds += bool(verdict.faults)
        run_count += 1
        print(f'seed {seed}: {_hostile_plays.describe(verdict)}', flush=True)
        seed += 1
    print(f'{run_count} plays, {failed_seeds} broken')
    return failed_seeds


if __name__ == '__main__':
    sys.exit(run_soak(float(sys.argv[1]), int(sys.argv[2])) > 0)
