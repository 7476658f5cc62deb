"""Watching the stages of a stream that is under way.

Pattern: a stage dies, falls silent or leaves under a stream. The stream is
moved to another chain before its caller gives it up; where the first stage
is at fault, it ends and goes on as a new send.
"""

import asyncio

from sniperudder import fleet
from sniperudder.forwarding import _jobs
from sniperudder.forwarding import _speeds

__all__ = ['StreamMonitor']

# Time between looks at a silent stream, seconds, and their number until
# looks become rare: engines' reports are 0.2 s old, and an engine gives a
# stalled stream up after 2 s.
_CHECK_INTERVAL_S = 0.3
_FREQUENT_CHECKS = 5

# Time without progress of any stream after which a stage counts as silent,
# seconds: several times the usual time between events.
_NO_PROGRESS_S = 0.35

# Time without any event after which a first stage counts as mute, seconds:
# both looks at it are past, and the caller still waits as long again.
_FIRST_EVENT_TIMEOUT_S = 1.0

# Time from a stage's leaving until a stream is moved away, seconds: a move
# costs a pause, most streams end by themselves, and a stage serves on for
# 2 s at least, of which telling and the order take under half a second.
_LEAVING_DELAY_S = 1.5


class StreamMonitor:
    """Looks after the chain of one stream.

    Parameters
    ----------
    forwarder : Forwarder
    job : Job
    stream : StreamProgress
    parts : tuple of sniperudder.fleet.Part
    holding : Holding

    Attributes
    ----------
    parts : tuple of sniperudder.fleet.Part
        The chain, which may change under way.
    """

    def __init__(self, forwarder, job, stream, parts, reservation):
        self._forwarder = forwarder
        self._job = job
        self._stream = stream
        self._reservation = reservation
        self._seen_changes = forwarder.tables.changes
        self._reroute_at = None
        self._started_at = forwarder.now()
        self._reroute_task = None
        self._speed_sampler = _speeds.SpeedSampler(forwarder.tables, job)
        self.parts = parts

    async def receive(self, receive, stall_s):
        """Receive, and look for a dead stage where nothing comes.

        Parameters
        ----------
        receive : callable
            Coroutine function of the longest wait, seconds.
        stall_s : float
            Time without anything until the first look, seconds.

        Returns
        -------
        object or None
            What was received; None where the first stage is dead.
        """
        checks = 0
        while True:
            try:
                return await receive(stall_s)
            except TimeoutError:
                if not await self._check_stages():
                    return None
            # A stream that only is slow is looked at less and less often.
            checks += 1
            stall_s = (
                _CHECK_INTERVAL_S if checks < _FREQUENT_CHECKS else stall_s * 2
            )

    def record_progress(self, events):
        """Note that a number of events came through all stages."""
        now = self._forwarder.now()
        self._speed_sampler.record(self.parts, events, now)
        for part in self.parts:
            self._get_state(part).progress_at = now

    def close(self):
        """End a move that is under way."""
        if self._reroute_task is not None:
            self._reroute_task.cancel()

    def reroute_from_leaving(self):
        """Move the stream away from stages that leave, after a while."""
        tables = self._forwarder.tables
        now = self._forwarder.now()
        if self._seen_changes != tables.changes:
            self._seen_changes = tables.changes
            if self._reroute_at is None and self._list_leaving():
                self._reroute_at = now + _LEAVING_DELAY_S
        if self._reroute_at is not None and now >= self._reroute_at:
            self._reroute_at = None
            leaving = self._list_leaving()
            if leaving:
                self._start_reroute(leaving)

    async def _check_stages(self):
        """Tell whether the stream may go on; move it where it stalls."""
        rerouter, job = self._forwarder.rerouter, self._job
        self._speed_sampler.restart()
        first = self.parts[0]
        if first.layers is None:
            return True
        reached, address = await rerouter.find_stalled(
            first.endpoint, job.head.request_id
        )
        if not reached:
            return self._must_keep_waiting()
        if address is None and self._is_first_stage_unresponsive():
            return self._must_keep_waiting()
        # Reports lag; a stage that left needs no report.
        excluded = self._list_leaving()
        if address is not None:
            excluded.add(address)
        if not excluded:
            excluded = self._find_silent_stage()
        if excluded:
            self._start_reroute(excluded)
        return True

    def _find_silent_stage(self):
        """Return the one stage on which no stream of this instance goes on.

        Where several stages are silent, none is guessed.
        """
        now = self._forwarder.now()
        silent = {
            part.endpoint.address
            for part in self.parts
            if now - self._get_state(part).progress_at > _NO_PROGRESS_S
        }
        first = self.parts[0].endpoint.address
        return silent if len(silent) == 1 and first not in silent else set()

    def _get_state(self, part):
        return fleet.get_state(self._forwarder.tables, part.endpoint)

    def _must_keep_waiting(self):
        """Tell whether a silent first stage is still the best hope.

        A stage that leaves refuses new connections, and yet ends what it
        has begun.
        """
        return (
            not self._job.route.resumable
            or not fleet.is_serving(self._forwarder.tables, self.parts[0])
            or not self._forwarder.has_attempts_left(self._job)
        )

    def _is_first_stage_unresponsive(self):
        """Tell whether the first stage begins nothing that it is sent.

        Its reports may say that all is well; but of this instance's
        streams none has gone on there since this one was sent.
        """
        if self._stream.started or not self._job.route.resumable:
            return False
        state = self._get_state(self.parts[0])
        waited_s = self._forwarder.now() - self._started_at
        return (
            waited_s >= _FIRST_EVENT_TIMEOUT_S
            and state.progress_at < self._started_at
        )

    def _list_leaving(self):
        tables = self._forwarder.tables
        return {
            part.endpoint.address
            for part in self.parts[1:]
            if not fleet.is_serving(tables, part)
        }

    def _start_reroute(self, excluded):
        """Move the stream beside its forwarding.

        Events may come before the order to move is answered.
        """
        if self._reroute_task is not None and not self._reroute_task.done():
            return
        self._reroute_task = asyncio.create_task(self._reroute(excluded))
        self._reroute_task.add_done_callback(self._log_reroute_error)

    def _log_reroute_error(self, task):
        if not task.cancelled() and task.exception() is not None:
            self._forwarder.journal.write(
                'instance:fault',
                type(task.exception()).__name__,
                reason=str(task.exception()),
                request=self._job.head.request_id,
            )

    async def _reroute(self, excluded):
        engine = self._job.service.engine
        rerouted = await self._forwarder.rerouter.reroute(
            self._job.head.request_id,
            self.parts,
            excluded,
            engine,
            _jobs.get_demand(self._job),
            self._job.service.name,
        )
        if rerouted is not self.parts:
            self.parts = rerouted
            self._speed_sampler.restart()
            self._reservation.reserve(rerouted, self._forwarder.now())
