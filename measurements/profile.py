"""Shows where the processor time of an entry goes.

Run as ``python -m measurements.profile [STREAMS]``. The entry runs as
``python -m measurements.profile serve CONFIG`` with a profile of each
thread's own processor time, and writes them merged as it ends.
"""

import cProfile
import pstats
import signal
import sys
import threading
import time

from measurements import _entries
from measurements import _readers
from measurements import entry
from sniperudder import commands

_SECONDS = 6.0
_SHOWN = 45
_STREAMS = 100


def _serve(arguments):
    profiles = []
    run = threading.Thread.run

    def run_profiled(thread):
        profile = cProfile.Profile(time.thread_time)
        profiles.append(profile)
        profile.runcall(run, thread)

    def report(*_):
        # Entries that never leave have no end by which to tell.
        stats = pstats.Stats(stream=sys.stderr)
        for profile in list(profiles):
            profile.create_stats()
            stats.add(profile)
        stats.sort_stats('tottime').print_stats(_SHOWN)
        sys.stderr.flush()

    threading.Thread.run = run_profiled
    signal.signal(signal.SIGUSR1, report)
    sys.argv = ['sniperudder', *arguments]
    commands.main()


def _measure(count):
    text = entry.define_fleet(1, entry.STEP_MS)
    with _entries.run_fleet(text, 'measurements.profile') as fleet:
        reader = _readers.Reader(fleet.addresses['entry-1/callers'])
        for _ in range(count):
            reader.open_caller(entry.make_completion(30000, True))
        counts = reader.run(_SECONDS)
        print(f'{count} streams, {counts.events} tokens in {_SECONDS} s')
        fleet.signal('entry-1', signal.SIGUSR1)
        time.sleep(3)
        print(fleet.read_errors('entry-1', 20000))
        reader.close()


if __name__ == '__main__':
    if sys.argv[1:2] == ['serve']:
        _serve(sys.argv[1:])
    else:
        _measure(int(sys.argv[1]) if sys.argv[1:] else _STREAMS)
