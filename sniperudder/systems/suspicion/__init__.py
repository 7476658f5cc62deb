"""Contents that may crash endpoints."""

from sniperudder.systems.suspicion._suspicion import clear_content
from sniperudder.systems.suspicion._suspicion import disprove_crash
from sniperudder.systems.suspicion._suspicion import is_condemned
from sniperudder.systems.suspicion._suspicion import is_suspect
from sniperudder.systems.suspicion._suspicion import is_undecided
from sniperudder.systems.suspicion._suspicion import mark_crash
from sniperudder.systems.suspicion._suspicion import name_crash

__all__ = [
    'clear_content',
    'disprove_crash',
    'is_condemned',
    'is_suspect',
    'is_undecided',
    'mark_crash',
    'name_crash',
]
