"""Recently refused or failed work, with reasons, for operators."""

from sniperudder.systems.refusals._records import record_arrival
from sniperudder.systems.refusals._records import record_outcomes

__all__ = [
    'record_arrival',
    'record_outcomes',
]
