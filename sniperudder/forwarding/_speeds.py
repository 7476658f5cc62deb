"""Sampling the pace of a stream, to tell which stages are slow.

Pattern: some endpoints of a kind run at a fraction of its speed; each
stream through one of them is slow, and no report or refusal says so.
"""

from sniperudder import fleet
from sniperudder.forwarding import _jobs
from sniperudder import routing

__all__ = ['SpeedSampler']

# Time that a sample spans, seconds: several events at a usual pace.
_SAMPLE_S = 0.4

_MS_PER_S = 1000.0


class SpeedSampler:
    """Compares the time between events with the engines' figures.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    job : Job
    """

    __slots__ = ('_tables', '_started_at', '_events', '_job')

    def __init__(self, tables, job):
        self._tables = tables
        self._job = job
        self._started_at = None
        self._events = 0

    def restart(self):
        """Drop the sample that is under way."""
        self._started_at = None
        self._events = 0

    def record(self, parts, events, now):
        """Count events that came through a chain."""
        if parts[0].layers is None:
            return
        if self._started_at is None:
            self._started_at = now
            return
        self._events += events
        span_s = now - self._started_at
        if span_s < _SAMPLE_S:
            return
        engine = self._job.service.engine
        demand = _jobs.get_demand(self._job)
        times_ms = {}
        for part in parts:
            incarnation = part.endpoint.id, part.endpoint.born_ms
            load = fleet.get_load(self._tables, part.endpoint)
            times_ms[incarnation] = routing.get_stage_ms(
                part, load, engine, demand
            )
        total_ms = sum(times_ms.values())
        self._tables.speeds.record(
            {
                incarnation: ms / total_ms
                for incarnation, ms in times_ms.items()
            },
            span_s * _MS_PER_S / self._events / total_ms,
            now,
        )
        self._started_at = now
        self._events = 0
