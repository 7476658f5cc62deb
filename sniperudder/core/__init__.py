"""Deterministic decision core: updates tables and returns effects.

No function here reads a clock, starts a thread or does input or output.
The same tables, inputs, times and seed give the same effects.
"""

from sniperudder.core._core import handle_input
from sniperudder.core._core import run_tick

__all__ = ['handle_input', 'run_tick']
