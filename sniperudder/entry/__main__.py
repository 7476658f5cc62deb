"""Runs an entry instance: ``python -m sniperudder.entry [METRICS_PORT]``.

The same as the command ``enter``, without the command line's libraries:
they take 0.2 s, which count after a loss of all instances.
"""

import os
import sys

from sniperudder import entry
from sniperudder import platform

entry.run_entry(
    os.environ[platform.SETTINGS_VARIABLE],
    int(sys.argv[1]) if len(sys.argv) > 1 else 0,
)
