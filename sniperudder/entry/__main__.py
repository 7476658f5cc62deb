"""Runs an entry instance: ``python -m sniperudder.entry [METRICS_PORT]``.

Equivalent to the command ``enter``, but does not import the command-line
libraries. Their import takes 0.2 s, which would delay recovery after a loss
of all instances.
"""

import os
import sys

from sniperudder import entry
from sniperudder import platform

entry.run_entry(
    os.environ[platform.SETTINGS_VARIABLE],
    int(sys.argv[1]) if len(sys.argv) > 1 else 0,
)
