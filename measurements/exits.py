"""Random cases of the ends of requests.

Run as ``python -m measurements.exits SECONDS SEED``. A failure prints its
seed, the violation, and what the caller, the endpoints and the log say. Lawful
ends that should be rare are counted: requests that crossed the end of their
connection, and cuts after a run was ended for the sake of another one.
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
    failed_seeds = run_count = request_count = 0
    while time.monotonic() < deadline:
        verdict = _exits.play(seed, *_CASES[seed % len(_CASES)])
        if verdict.faults:
            failed_seeds += 1
            print('\n'.join(verdict.faults), flush=True)
        if verdict.crossed or verdict.let_go:
            print(
                f'seed {seed}: {verdict.requests} requests; crossed the end of'
                f' their connection: {verdict.crossed}; cut after a run was'
                f' let go: {verdict.let_go}',
                flush=True,
            )
        run_count += 1
        request_count += verdict.requests
        seed += 1
    print(
        f'{run_count} cases, {request_count} requests, {failed_seeds} broken'
    )
    return failed_seeds


if __name__ == '__main__':
    sys.exit(run_soak(float(sys.argv[1]), int(sys.argv[2])) > 0)
