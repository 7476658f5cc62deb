"""Recently refused or failed work, with reasons, for operators."""

from sniperudder.systems.refusals._records import note_arrival
from sniperudder.systems.refusals._records import record_outcomes

__all__ = [
    'note_arrival',
    'record_outcomes',
]
