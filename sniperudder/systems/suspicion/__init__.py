"""Tracking of request contents that may crash endpoints."""

from sniperudder.systems.suspicion._suspicion import clear_suspicion
from sniperudder.systems.suspicion._suspicion import is_awaiting_confirmation
from sniperudder.systems.suspicion._suspicion import is_condemned
from sniperudder.systems.suspicion._suspicion import is_suspect
from sniperudder.systems.suspicion._suspicion import make_crash_id
from sniperudder.systems.suspicion._suspicion import record_crash
from sniperudder.systems.suspicion._suspicion import refute_crash

__all__ = [
    'clear_suspicion',
    'is_awaiting_confirmation',
    'is_condemned',
    'is_suspect',
    'make_crash_id',
    'record_crash',
    'refute_crash',
]
