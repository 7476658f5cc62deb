"""Runs the command line: ``python -m sniperudder``."""

import sys

from sniperudder import commands

sys.exit(commands.main())
