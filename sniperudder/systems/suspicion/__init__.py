"""Tracking of request contents that may crash endpoints."""

from sniperudder.systems.suspicion._contents import clear_request
from sniperudder.systems.suspicion._contents import is_request_awaiting
from sniperudder.systems.suspicion._contents import is_request_condemned
from sniperudder.systems.suspicion._contents import record_request_crash
from sniperudder.systems.suspicion._parts import is_part_key
from sniperudder.systems.suspicion._parts import make_part_keys
from sniperudder.systems.suspicion._suspicion import clear_suspicion
from sniperudder.systems.suspicion._suspicion import is_awaiting_confirmation
from sniperudder.systems.suspicion._suspicion import is_condemned
from sniperudder.systems.suspicion._suspicion import is_suspect
from sniperudder.systems.suspicion._suspicion import make_crash_id
from sniperudder.systems.suspicion._suspicion import record_crash
from sniperudder.systems.suspicion._suspicion import refute_crash

__all__ = [
    'clear_request',
    'clear_suspicion',
    'is_awaiting_confirmation',
    'is_condemned',
    'is_part_key',
    'is_request_awaiting',
    'is_request_condemned',
    'is_suspect',
    'make_crash_id',
    'make_part_keys',
    'record_crash',
    'record_request_crash',
    'refute_crash',
]
