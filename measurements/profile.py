"""Profiles the CPU time of an entry instance.

Run as ``python -m measurements.profile [STREAMS]``. The entry instance runs
as ``python -m measurements.profile serve CONFIG``, which profiles the CPU
time of each thread and writes the merged profiles on SIGUSR1.
"""

import cProfile
import pstats
import signal
import sys
import threading
import time

from measurements import _entries
from measurements import _load_generators
from measurements import entry
from sniperudder import commands

_MEASURE_S = 6.0
_PRINTED_FUNCTIONS = 45
_STREAM_COUNT = 100


def _serve(arguments):
    profiles = []
    run_thread = threading.Thread.run

    def run_profiled(thread):
        profile = cProfile.Profile(time.thread_time)
        profiles.append(profile)
        profile.runcall(run_thread, thread)

    def print_profile(*_):
        # On a signal, because an entry instance that keeps running has no exit
        # at which to write.
        stats = pstats.Stats(stream=sys.stderr)
        for profile in list(profiles):
            profile.create_stats()
            stats.add(profile)
        stats.sort_stats('tottime').print_stats(_PRINTED_FUNCTIONS)
        sys.stderr.flush()

    threading.Thread.run = run_profiled
    signal.signal(signal.SIGUSR1, print_profile)
    sys.argv = ['sniperudder', *arguments]
    commands.main()


def _measure_streams(count):
    text = entry.define_fleet(1, entry.STEP_MS)
    with _entries.run_fleet(text, 'measurements.profile') as fleet:
        generator = _load_generators.LoadGenerator(
            fleet.addresses['entry-1/callers']
        )
        for _ in range(count):
            generator.open_connection(entry.make_completion(30000, True))
        counts = generator.run(_MEASURE_S)
        print(f'{count} streams, {counts.events} tokens in {_MEASURE_S} s')
        fleet.signal('entry-1', signal.SIGUSR1)
        time.sleep(3)
        print(fleet.read_stderr('entry-1', 20000))
        generator.close()


if __name__ == '__main__':
    if sys.argv[1:2] == ['serve']:
        _serve(sys.argv[1:])
    else:
        _measure_streams(int(sys.argv[1]) if sys.argv[1:] else _STREAM_COUNT)
