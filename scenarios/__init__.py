"""Scripted scenarios with real processes.

A scenario is a text of statements, one a line: what the fleet consists
of, what is sent, what fails, and what is expected; see docs/SCENARIOS.md.
``python -m scenarios.run FILE...`` runs some.
"""

from scenarios._parser import parse_scenario
from scenarios._records import Scenario
from scenarios._runner import run_scenario

__all__ = [
    'Scenario',
    'parse_scenario',
    'run_scenario',
]
