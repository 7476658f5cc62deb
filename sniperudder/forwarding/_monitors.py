"""Monitoring of the stages of an active stream.

A stage may die, stop making progress or leave while a stream runs through it.
The stream is then rerouted to another chain before its caller times out.
If the first stage is silent, another attempt is begun beside this one.
"""

import asyncio

from sniperudder import fleet
from sniperudder.forwarding import _jobs
from sniperudder.forwarding import _speed_sampling
from sniperudder import routing

__all__ = ['StreamMonitor']

# Interval of the checks of a stalled stream, seconds, and the number of
# checks after which the interval doubles each time. Engines' reports are
# 0.2 s old, and an engine aborts a stalled stream after 2 s.
_CHECK_INTERVAL_S = 0.3
_FREQUENT_CHECKS = 5

# Number of early checks in a row, until the usual check. A stage that has just
# died looks alive to the first one if other streams made progress later, and
# the stages that replace a dead one may have died with it.
_MAX_EARLY_CHECKS = 3

# Time for which the deaths of stages are gathered, seconds: several engines of
# a chain may die at the same moment.
_GATHER_S = 0.01

# Interval at which the result of a running check is looked for, seconds.
_CHECK_POLL_S = 0.02

# Time without progress of any stream after which a stage counts as being
# without progress, seconds; several times the usual interval between events.
_NO_PROGRESS_S = 0.35

# Time without a first event after which a first stage may count as being
# without progress, seconds. Two checks have been made by then, and the caller
# still waits for the same time again.
_FIRST_EVENT_TIMEOUT_S = 1.0

# Delay between the announcement that a stage leaves and the rerouting of a
# stream, seconds. Rerouting pauses the stream, and most streams end before
# it is needed. A leaving stage continues to serve for at least 2 s, of which
# the announcement and the reroute order take less than 0.5 s.
_LEAVING_DELAY_S = 1.5


class StreamMonitor:
    """Monitors the chain of one stream and reroutes it if necessary.

    Parameters
    ----------
    forwarder : Forwarder
    job : Job
    stream : StreamProgress
    stages : tuple of sniperudder.fleet.Stage
    reservation : Reservation

    Attributes
    ----------
    stages : tuple of sniperudder.fleet.Stage
        The current chain, which changes when the stream is rerouted.
    """

    def __init__(self, forwarder, job, stream, stages, reservation):
        self._forwarder = forwarder
        self._job = job
        self._stream = stream
        self._reservation = reservation
        self._seen_updates = forwarder.T.endpoint_list_updates
        self._reroute_at = None
        self._began_at = forwarder.now()
        self._reroute_task = None
        self._check_task = None
        # Loop time of the next check; None while the stream makes progress.
        self._check_at = None
        self._checks = 0
        self._check_interval_s = _CHECK_INTERVAL_S
        # Loop time of the next early check, or None; their number, and the
        # time between them.
        self._early_check_at = None
        self._early_checks = 0
        self._early_delay_s = 0.0
        self._speed_sampler = _speed_sampling.SpeedSampler(forwarder.T, job)
        # Addresses of stages that died, and the timer of the reroute.
        self._gone = set()
        self._gone_timer = None
        self._watched = ()
        self.stages = stages
        self._watch_stages()

    async def receive(self, receive_next, check_after_s, target_s=0.0):
        """Receive, and check the stages whenever there is no progress in time.

        Bytes alone are no progress: a stalled endpoint may send some now and
        then.

        Parameters
        ----------
        receive_next : callable
            Coroutine function that takes a timeout in seconds.
        check_after_s : float
            Time without progress until the first check, seconds.
        target_s : float
            Time within which the stream has to make progress to be timely,
            seconds; 0 for none.

        Returns
        -------
        object or None
            The result of `receive_next`; None if the first stage is silent
            and the stream can be resumed. May be called again then.
        """
        if self._check_at is None:
            self._begin_waiting(check_after_s, target_s)
        while True:
            wait_s = self._get_next_check_at() - self._forwarder.now()
            is_silent = False
            if self._check_task is not None:
                wait_s = _CHECK_POLL_S
                if self._check_task.done():
                    is_silent = self._check_task.result()
                    self._end_check()
                    wait_s = 0.0
            elif wait_s <= 0:
                # Whatever arrives meanwhile is received at once.
                self._check_task = asyncio.create_task(self._check())
                wait_s = _CHECK_POLL_S
            try:
                return await receive_next(wait_s)
            except TimeoutError:
                if is_silent and self._stream.can_resume(self._job):
                    return None

    def _watch_stages(self):
        """Learn at once if a later stage dies, where streams need it."""
        if self._get_early_delay_s(self._job.route.gap_target_s) is not None:
            self._watch(self.stages[1:])

    def _watch(self, stages):
        watcher = self._forwarder.rerouter.watcher
        for stage in self._watched:
            watcher.remove_listener(stage, self._handle_gone)
        self._watched = stages
        for stage in stages:
            watcher.add_listener(stage, self._handle_gone)

    def _handle_gone(self, address):
        self._gone.add(address)
        if self._gone_timer is None:
            self._gone_timer = asyncio.get_running_loop().call_later(
                _GATHER_S, self._reroute_around_gone
            )

    def _reroute_around_gone(self):
        self._gone_timer = None
        present = {stage.endpoint.address for stage in self.stages}
        gone = self._gone & present
        if not gone:
            return
        if self._is_rerouting():
            self._handle_gone(next(iter(gone)))
        else:
            self._start_reroute(gone | self._list_leaving())

    def _get_early_delay_s(self, target_s):
        """Return the delay of early checks, or None if there are none."""
        features = self._forwarder.settings.features
        if not features.early_stall_checks or self.stages[0].layers is None:
            return None
        return routing.get_early_delay_s(target_s)

    def _begin_waiting(self, check_after_s, target_s):
        """Set the times of the first checks."""
        now = self._forwarder.now()
        self._check_at = now + check_after_s
        self._checks = self._early_checks = 0
        self._check_interval_s = _CHECK_INTERVAL_S
        self._early_check_at = None
        delay_s = self._get_early_delay_s(target_s)
        if delay_s is not None:
            self._early_check_at = now + delay_s
            self._early_delay_s = delay_s

    def _get_next_check_at(self):
        if self._early_check_at is None:
            return self._check_at
        return min(self._early_check_at, self._check_at)

    async def _check(self):
        """Check the stages; return whether the first one is silent."""
        if self._early_check_at is not None:
            return await self._check_early()
        return await self._check_stages()

    async def _check_early(self):
        """Reroute the stream if stages show no sign of life.

        Returns whether the first stage is one of them.
        """
        now = self._forwarder.now()
        ages_s = {
            stage.endpoint.address: now - self._get_state(stage).progress_at
            for stage in self.stages
        }
        suspects = routing.choose_suspects(ages_s, self._early_delay_s)
        if not suspects:
            return False
        stages = self.stages
        failed = await self._forwarder.rerouter.find_failed_stages(
            stages, suspects
        )
        if stages is not self.stages:
            return False
        if stages[0].endpoint.address in failed:
            return True
        if failed:
            self._start_reroute(failed | self._list_leaving())
        return False

    def _end_check(self):
        """Set the time of the next check."""
        self._check_task = None
        if self._early_check_at is not None:
            self._end_early_check()
            return
        # Check a stream that is merely slow less and less often.
        self._checks += 1
        if self._checks >= _FREQUENT_CHECKS:
            self._check_interval_s *= 2
        self._check_at = self._forwarder.now() + self._check_interval_s

    def _end_early_check(self):
        """Set the time of the next early check, if there is another one."""
        self._early_checks += 1
        self._early_check_at = None
        if self._early_checks < _MAX_EARLY_CHECKS:
            self._early_check_at = (
                self._forwarder.now() + self._early_delay_s / 2
            )

    def postpone_checks(self):
        """Begin to wait for progress anew."""
        self._check_at = self._early_check_at = None
        if self._check_task is not None:
            self._check_task.cancel()
            self._check_task = None

    def record_progress(self, events):
        """Record that a number of events arrived through all stages."""
        now = self._forwarder.now()
        self.postpone_checks()
        self._speed_sampler.record(self.stages, events, now)
        for stage in self.stages:
            self._get_state(stage).progress_at = now

    def close(self):
        """Cancel a check and a reroute that are in progress."""
        self.postpone_checks()
        self._watch(())
        if self._gone_timer is not None:
            self._gone_timer.cancel()
        if self._reroute_task is not None:
            self._reroute_task.cancel()

    def reroute_around_leaving(self):
        """Reroute the stream around leaving stages after a delay."""
        T = self._forwarder.T
        now = self._forwarder.now()
        if self._seen_updates != T.endpoint_list_updates:
            self._seen_updates = T.endpoint_list_updates
            if self._reroute_at is None and self._list_leaving():
                self._reroute_at = now + _LEAVING_DELAY_S
        if self._reroute_at is not None and now >= self._reroute_at:
            self._reroute_at = None
            leaving = self._list_leaving()
            if leaving:
                self._start_reroute(leaving)

    async def _check_stages(self):
        """Reroute the stream if a later stage stalls it.

        Returns whether the first stage is silent.
        """
        rerouter, job = self._forwarder.rerouter, self._job
        self._speed_sampler.restart()
        first = self.stages[0]
        if first.layers is None:
            return False
        reached, address = await rerouter.find_stalling_stage(
            first.endpoint, job.head.request_id
        )
        if not reached or (
            address is None and self._is_first_stage_without_progress()
        ):
            return True
        # Reports lag behind: leaving stages are known without a report, and a
        # stage that was replaced may still be reported.
        excluded = self._list_leaving()
        if any(stage.endpoint.address == address for stage in self.stages):
            excluded.add(address)
        if not excluded:
            excluded = self._find_stage_without_progress()
        if excluded:
            self._start_reroute(excluded)
        return False

    def _find_stage_without_progress(self):
        """Return the only stage without progress, as a set of one address.

        Considers all streams of this instance. Returns an empty set if
        several stages are without progress, because the faulty one is then
        unknown, or if that stage is the first one.
        """
        now = self._forwarder.now()
        without_progress = {
            stage.endpoint.address
            for stage in self.stages
            if now - self._get_state(stage).progress_at > _NO_PROGRESS_S
        }
        first = self.stages[0].endpoint.address
        return (
            without_progress
            if len(without_progress) == 1 and first not in without_progress
            else set()
        )

    def _get_state(self, stage):
        return fleet.get_state(self._forwarder.T, stage.endpoint)

    def _is_first_stage_without_progress(self):
        """Return whether the first stage does not process new requests.

        Its reports may show no fault. It is without progress if no stream
        of this instance has progressed there since this stream was sent.
        """
        if self._stream.started or not self._job.route.resumable:
            return False
        state = self._get_state(self.stages[0])
        waited_s = self._forwarder.now() - self._began_at
        return (
            waited_s >= _FIRST_EVENT_TIMEOUT_S
            and state.progress_at < self._began_at
        )

    def _list_leaving(self):
        T = self._forwarder.T
        return {
            stage.endpoint.address
            for stage in self.stages[1:]
            if not fleet.is_serving(T, stage)
        }

    def _start_reroute(self, excluded):
        """Start to reroute the stream in a separate task.

        Events may arrive before the reroute order is acknowledged, so
        forwarding continues meanwhile.
        """
        if self._is_rerouting():
            return
        if self._forwarder.crash_monitor.is_blocked(self._job):
            # It would crash the new stages.
            return
        self._reroute_task = asyncio.create_task(self._reroute(excluded))
        self._reroute_task.add_done_callback(self._log_reroute_error)

    def _is_rerouting(self):
        return self._reroute_task is not None and not self._reroute_task.done()

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
            self.stages,
            excluded,
            engine,
            _jobs.get_request_size(self._job),
            self._job.service.name,
        )
        if rerouted is not self.stages:
            self.stages = rerouted
            self._watch_stages()
            self._speed_sampler.restart()
            self._reservation.reserve(rerouted, self._forwarder.now())
