"""Sampling of stream speed to detect slow stages.

Some endpoints run at a fraction of the speed of others of the same kind.
They slow down every stream through them, but no report or refusal
indicates it.
"""

from sniperudder import fleet
from sniperudder.forwarding import _jobs
from sniperudder import routing

__all__ = ['SpeedSampler']

# Duration of a sample, seconds; at normal speed it covers several events.
_SAMPLE_S = 0.4

_MS_PER_S = 1000.0


class SpeedSampler:
    """Compares the measured time per event with the expected time.

    The expected time is the sum of the expected times of all stages. The
    ratio of the two is recorded for each stage with the stage's share of
    the expected time as its weight.

    Parameters
    ----------
    tables : sniperudder.fleet.FleetTables
    job : Job
    """

    __slots__ = ('_tables', '_began_at', '_events', '_job')

    def __init__(self, tables, job):
        self._tables = tables
        self._job = job
        self._began_at = None
        self._events = 0

    def restart(self):
        """Discard the current sample."""
        self._began_at = None
        self._events = 0

    def record(self, parts, events, now):
        """Count events that arrived through a chain.

        Does nothing if the first endpoint holds no range of layers.
        """
        if parts[0].layers is None:
            return
        if self._began_at is None:
            self._began_at = now
            return
        self._events += events
        span_s = now - self._began_at
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
        self._began_at = now
        self._events = 0
