"""Entry point of ``python -m sniperudder``."""

import sys

from sniperudder import commands

sys.exit(commands.main())
