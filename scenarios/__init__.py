"""Scripted end-to-end scenarios with real processes.

A scenario is a text with one statement per line. The statements define the
fleet, send work, inject faults and state expectations; see
docs/SCENARIOS.md. ``python -m scenarios.run FILE...`` runs scenario files.
"""

from scenarios._parser import parse_scenario
from scenarios._records import Scenario
from scenarios._runner import run_scenario

__all__ = [
    'Scenario',
    'parse_scenario',
    'run_scenario',
]
