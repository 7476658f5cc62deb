"""Contents that may crash endpoints."""

from sniperudder.systems.suspicion._suspicion import clear_content
from sniperudder.systems.suspicion._suspicion import is_condemned
from sniperudder.systems.suspicion._suspicion import is_suspect
from sniperudder.systems.suspicion._suspicion import mark_crash

__all__ = [
    'clear_content',
    'is_condemned',
    'is_suspect',
    'mark_crash',
]
