"""Entry instance, which routes requests from callers to endpoints."""

from sniperudder.entry._entry import Entry
from sniperudder.entry._entry import run_entry

__all__ = ['Entry', 'run_entry']
