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
    T : sniperudder.fleet.FleetTables
    job : Job
    """

    __slots__ = ('_T', '_began_at', '_events', '_job')

    def __init__(self, T, job):
        self._T = T
        self._job = job
        self._began_at = None
        self._events = 0

    def restart(self):
        """Discard the current sample."""
        self._began_at = None
        self._events = 0

    def record(self, stages, events, now):
        """Count events that arrived through a chain.

        Does nothing if the first endpoint holds no range of layers.
        """
        if stages[0].layers is None:
            return
        if self._began_at is None:
            self._began_at = now
            return
        self._events += events
        span_s = now - self._began_at
        if span_s < _SAMPLE_S:
            return
        engine = self._job.service.engine
        request_size = _jobs.get_request_size(self._job)
        times_ms = {}
        for stage in stages:
            run_id = stage.endpoint.id, stage.endpoint.born_ms
            load = fleet.get_load(self._T, stage.endpoint)
            times_ms[run_id] = routing.estimate_stage_ms(
                stage, load, engine, request_size
            )
        total_ms = sum(times_ms.values())
        self._T.speeds.record(
            {run_id: ms / total_ms for run_id, ms in times_ms.items()},
            span_s * _MS_PER_S / self._events / total_ms,
            now,
        )
        self._began_at = now
        self._events = 0
