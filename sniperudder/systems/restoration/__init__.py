"""Restorations of the platform from a copy.

The platform states its era in each answer. It rises with each restoration:
what was written since the copy is gone, and versions of rows go back.
"""

from sniperudder.systems.restoration._eras import receive_result
from sniperudder.systems.restoration._eras import record_era

__all__ = ['receive_result', 'record_era']
