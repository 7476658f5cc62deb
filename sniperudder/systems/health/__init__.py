"""Health of the endpoints as seen by this instance."""

from sniperudder.inputs import LoadReported
from sniperudder.systems.health._health import record_failure
from sniperudder.systems.health._health import record_load
from sniperudder.systems.health._health import record_success
from sniperudder.systems.health._health import run_health

__all__ = [
    'HANDLERS',
    'PURPOSES',
    'record_failure',
    'record_load',
    'record_success',
    'run_health',
]

HANDLERS = {LoadReported: record_load}

PURPOSES = {}
