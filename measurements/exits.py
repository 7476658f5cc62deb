"""Random cases of the ends of requests.

Run as ``python -m measurements.exits SECONDS SEED``. A failure prints its
seed, the violation, and what the caller, the endpoints and the log say.
"""

import sys
import time

from sniperudder.entry.tests import _exits

_CASES = ((1, 40, False), (8, 60, False), (60, 120, True))


def run_soak(seconds, seed):
    """Play increasing seeds until the time is up.

    Returns
    -------
    int
        Number of seeds with a violated guarantee.
    """
    deadline = time.monotonic() + seconds
    failed_seeds = run_count = 0
    while time.monotonic() < deadline:
        faults = _exits.play(seed, *_CASES[seed % len(_CASES)])
        if faults:
            failed_seeds += 1
            print('\n'.join(faults), flush=True)
        run_count += 1
        seed += 1
    print(f'{run_count} cases, {failed_seeds} broken')
    return failed_seeds


if __name__ == '__main__':
    sys.exit(run_soak(float(sys.argv[1]), int(sys.argv[2])) > 0)
