"""Watching the stages of a stream that is under way.

Pattern: a stage dies, falls silent or leaves under a stream. The stream is
moved to another chain before its caller gives it up; where the first stage
is at fault, it ends and goes on as a new send.
"""

import asyncio

from sniperudder import fleet
from sniperudder.forwarding import _jobs
from sniperudder.forwarding import _paces

__all__ = ['StageWatch']

# Time between looks at a silent stream, seconds, and their number until
# looks become rare: engines' reports are 0.2 s old, and an engine gives a
# stalled stream up after 2 s.
_LOOK_S = 0.3
_FREQUENT_LOOKS = 5

# Time without progress of any stream after which a stage counts as silent,
# seconds: several times the usual time between events.
_SILENT_S = 0.35

# Time without any event after which a first stage counts as mute, seconds:
# both looks at it are past, and the caller still waits as long again.
_MUTE_S = 1.0

# Time from a stage's leaving until a stream is moved away, seconds: a move
# costs a pause, most streams end by themselves, and a stage serves on for
# 2 s at least, of which telling and the order take under half a second.
_LEAVE_S = 1.5


class StageWatch:
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

    def __init__(self, forwarder, job, stream, parts, holding):
        self._forwarder = forwarder
        self._job = job
        self._stream = stream
        self._holding = holding
        self._changes = forwarder.T.changes
        self._leave_at = None
        self._began_at = forwarder.now()
        self._moving = None
        self._pace = _paces.PaceSampler(forwarder.T, job)
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
        looks = 0
        while True:
            try:
                return await receive(stall_s)
            except TimeoutError:
                if not await self._examine():
                    return None
            # A stream that only is slow is looked at less and less often.
            looks += 1
            stall_s = _LOOK_S if looks < _FREQUENT_LOOKS else stall_s * 2

    def record_progress(self, events):
        """Note that a number of events came through all stages."""
        now = self._forwarder.now()
        self._pace.record(self.parts, events, now)
        for part in self.parts:
            self._get_state(part).progress_at = now

    def close(self):
        """End a move that is under way."""
        if self._moving is not None:
            self._moving.cancel()

    def leave_stages(self):
        """Move the stream away from stages that leave, after a while."""
        T = self._forwarder.T
        now = self._forwarder.now()
        if self._changes != T.changes:
            self._changes = T.changes
            if self._leave_at is None and self._list_leaving():
                self._leave_at = now + _LEAVE_S
        if self._leave_at is not None and now >= self._leave_at:
            self._leave_at = None
            leaving = self._list_leaving()
            if leaving:
                self._start_move(leaving)

    async def _examine(self):
        """Tell whether the stream may go on; move it where it stalls."""
        mover, job = self._forwarder.mover, self._job
        self._pace.restart()
        first = self.parts[0]
        if first.layers is None:
            return True
        reached, address = await mover.find_stalled(
            first.endpoint, job.head.request_id
        )
        if not reached:
            return self._must_wait()
        if address is None and self._is_mute():
            return self._must_wait()
        # Reports lag; a stage that left needs no report.
        broken = self._list_leaving()
        if address is not None:
            broken.add(address)
        if not broken:
            broken = self._guess_stalled()
        if broken:
            self._start_move(broken)
        return True

    def _guess_stalled(self):
        """Return the one stage on which no stream of this instance goes on.

        Where several stages are silent, none is guessed.
        """
        now = self._forwarder.now()
        silent = {
            part.endpoint.address
            for part in self.parts
            if now - self._get_state(part).progress_at > _SILENT_S
        }
        first = self.parts[0].endpoint.address
        return silent if len(silent) == 1 and first not in silent else set()

    def _get_state(self, part):
        return fleet.get_state(self._forwarder.T, part.endpoint)

    def _must_wait(self):
        """Tell whether a silent first stage is still the best hope.

        A stage that leaves refuses new connections, and yet ends what it
        has begun.
        """
        return (
            not self._job.route.resumable
            or not fleet.is_serving(self._forwarder.T, self.parts[0])
            or not self._forwarder.can_send_again(self._job)
        )

    def _is_mute(self):
        """Tell whether the first stage begins nothing that it is sent.

        Its reports may say that all is well; but of this instance's
        streams none has gone on there since this one was sent.
        """
        if self._stream.started or not self._job.route.resumable:
            return False
        state = self._get_state(self.parts[0])
        waited_s = self._forwarder.now() - self._began_at
        return waited_s >= _MUTE_S and state.progress_at < self._began_at

    def _list_leaving(self):
        T = self._forwarder.T
        return {
            part.endpoint.address
            for part in self.parts[1:]
            if not fleet.is_serving(T, part)
        }

    def _start_move(self, broken):
        """Move the stream beside its forwarding.

        Events may come before the order to move is answered.
        """
        if self._moving is not None and not self._moving.done():
            return
        self._moving = asyncio.create_task(self._move(broken))
        self._moving.add_done_callback(self._note_moved)

    def _note_moved(self, task):
        if not task.cancelled() and task.exception() is not None:
            self._forwarder.journal.write(
                'instance:fault',
                type(task.exception()).__name__,
                reason=str(task.exception()),
                request=self._job.head.request_id,
            )

    async def _move(self, broken):
        engine = self._job.service.engine
        moved = await self._forwarder.mover.move(
            self._job.head.request_id,
            self.parts,
            broken,
            engine,
            _jobs.get_demand(self._job),
            self._job.service.name,
        )
        if moved is not self.parts:
            self.parts = moved
            self._pace.restart()
            self._holding.take(moved, self._forwarder.now())
