"""Observation of crashed endpoints; blocks the requests that crash them."""

import asyncio

from sniperudder import clocks
from sniperudder import fleet
from sniperudder.forwarding import _engines
from sniperudder.forwarding import _exchanges
from sniperudder import routing

__all__ = ['CrashMonitor']

_SignOfLife = _engines.SignOfLife

# Time for which a new connection must last to show that the endpoint runs,
# seconds. The kernel ends those that a process has not accepted at its end.
_ACCEPTED_S = 0.05

# Time for which a sign of life of a silent endpoint is awaited at the end of
# its response, seconds. Callers leave a stream after 2 s.
_MAX_SILENCE_S = 1.6


class CrashMonitor:
    """Finds out whether an endpoint that interrupted a request has crashed.

    A broken connection alone does not tell. The endpoint has crashed if it
    refuses a new connection, or if its run ends in the platform's list.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    pool : ConnectionPool
    journal : object
        Event log; see `Forwarder`.
    find_sign_of_life : callable
        Coroutine function that returns the `SignOfLife` of a stage's engine.
    """

    def __init__(self, T, pool, journal, find_sign_of_life):
        self._T = T
        self._find_sign_of_life = find_sign_of_life
        self._pool = pool
        self._journal = journal
        self._table = routing.CrashTable()
        self._checks = {}
        # Runs that refused a connection, until the platform lists their end.
        self._refusing = set()

    def is_blocked(self, job):
        """Return whether a request may not be sent to any endpoint."""
        return self.find_block(job) is not None

    def find_block(self, job):
        """Return the keys for which a request is rejected, or None.

        Parameters
        ----------
        job : Job

        Returns
        -------
        frozenset of str or None
        """
        return self._table.find_block(job.crash_keys)

    def get_retry_after_s(self, blocked):
        """Return the time until a block ends, seconds."""
        return self._table.get_retry_after_s(blocked, _read_time())

    def get_gauges(self):
        """Return the present numbers of suspects and blocks.

        Returns
        -------
        dict of str to int
        """
        return {
            'crash_suspects': self._table.count_suspects(),
            'crash_blocks': len(self._table.list_blocks()),
        }

    def record_interruption(self, job, stages, reason, survived, attempt=None):
        """Record a request that was interrupted while it ran.

        Parameters
        ----------
        job : Job
        stages : sequence of sniperudder.fleet.Stage
        reason : str
        survived : bool
            Whether the request had run for so long that it cannot be the cause
            of a crash.
        attempt : int, optional
            Number of the attempt; the latest one by default.
        """
        self._journal.write(
            'request:interrupted',
            job.head.request_id,
            attempt=attempt or job.attempts,
            endpoints=[stage.endpoint.id for stage in stages],
            reason=reason,
            survived=survived,
            keys=sorted(job.crash_keys),
        )
        if survived:
            return
        # An endpoint that leaves ends as planned.
        serving = [s.endpoint for s in stages if fleet.is_serving(self._T, s)]
        self._table.record_interruption(
            job.crash_keys, [_get_run_id(e) for e in serving], _read_time()
        )
        if stages[0].endpoint in serving:
            self._start_check(stages[0].endpoint)

    def check(self, stage):
        """Find out whether an endpoint that should serve has crashed."""
        if fleet.is_serving(self._T, stage):
            self._start_check(stage.endpoint)

    async def has_ended_response(self, stage):
        """Find out whether an endpoint ended a response without a length.

        Only the end of the connection shows the end of such a response, and
        the end of the endpoint's process ends the connection as well.

        Parameters
        ----------
        stage : sniperudder.fleet.Stage

        Returns
        -------
        bool
            Whether the endpoint still runs. One that leaves may refuse to
            tell although it completed the response, and counts as ended.
            One that is silent is asked again for a while. One that is not
            listed, which may be for the moment only, must state its start if
            it is an engine.
        """
        endpoint = stage.endpoint
        # The kernel accepts connections for a while after the process has
        # ended, so only a response of an engine is evidence.
        ask = (
            self._find_sign_of_life_of_plain
            if stage.layers is None
            else self._find_sign_of_life
        )
        until = _read_time() + _MAX_SILENCE_S
        sign = await ask(stage)
        while sign is _SignOfLife.NOT_IN_TIME and _read_time() < until:
            sign = await ask(stage)
        runs = sign is _SignOfLife.SAME_RUN or (
            sign is _SignOfLife.SERVES and self._is_known_run(stage)
        )
        if not runs and fleet.is_serving(self._T, stage):
            # For the record of crashes.
            self._start_check(endpoint)
            if _get_run_id(endpoint) in self._checks:
                await asyncio.shield(self._checks[_get_run_id(endpoint)])
        return runs

    async def _find_sign_of_life_of_plain(self, stage):
        """Find out whether an endpoint accepts a connection and keeps it.

        A plain endpoint has no call that runs nothing.
        """
        try:
            connection = await self._pool.open(stage.endpoint.address)
        except TimeoutError:
            return _SignOfLife.NOT_IN_TIME
        except OSError:
            return _SignOfLife.NONE
        try:
            await asyncio.sleep(_ACCEPTED_S)
        finally:
            self._pool.release(connection)
        return (
            _SignOfLife.NONE if connection.has_ended() else _SignOfLife.SERVES
        )

    def _is_known_run(self, stage):
        """Return whether the platform lists the run of a stage's endpoint.

        A plain endpoint, which cannot state its start, may have lapsed, unless
        another one is listed with its address.
        """
        endpoint = stage.endpoint
        run_id = _get_run_id(endpoint)
        listed = self._T.endpoints.get(endpoint.id)
        if listed is not None:
            return (
                _get_run_id(listed) == run_id
                and listed.id not in self._T.superseded
            )
        if stage.layers is not None or any(
            other.address == endpoint.address
            for other in self._T.endpoints.values()
        ):
            return False
        lapsed = self._T.lapses.list_endpoints(clocks.read_clock())
        return run_id in map(_get_run_id, lapsed)

    def record_survival(self, job):
        """Record that an endpoint runs on although it began a request."""
        lifted = self._table.record_survival(job.crash_keys, _read_time())
        self._log_lifted(lifted, job.head.request_id)

    def record_run_end(self, endpoint):
        """Record that a run of an endpoint ended, as the platform lists it."""
        self._refusing.discard(_get_run_id(endpoint))
        self._record_crash(endpoint, 'listed as gone')

    def record_run_alive(self, endpoint):
        """Record that a run is listed again, and so had not crashed."""
        run_id = _get_run_id(endpoint)
        lifted = self._table.record_run_alive(run_id, _read_time())
        for keys in lifted:
            self._log_unblocked(keys, f'{endpoint.id} had not crashed')

    def update(self):
        """Keep the verdicts that hold, and drop what has expired."""
        added, ended = self._table.update(_read_time())
        for keys in added:
            self._log_blocked(keys, 'own')
        for keys in ended:
            self._log_unblocked(keys, 'expired')

    def list_blocks(self):
        """Return the sets of keys of blocked requests."""
        return self._table.list_blocks()

    def add_blocks(self, blocks):
        """Block the requests that were blocked before this instance started.

        Parameters
        ----------
        blocks : iterable of frozenset of str
        """
        for keys in blocks:
            if self._table.add_block(keys, _read_time()):
                self._log_blocked(keys, 'store')

    def lift_blocks(self, reason):
        """Lift all blocks."""
        for keys in self._table.lift_blocks(_read_time()):
            self._log_unblocked(keys, reason)

    def make_report(self):
        """Return what other instances should know.

        Returns
        -------
        sniperudder.digests.CrashReport
        """
        return self._table.make_report(_read_time())

    def apply_report(self, sender, report):
        """Add what another instance knows.

        Parameters
        ----------
        sender : str
            Name of the instance.
        report : sniperudder.digests.CrashReport
        """
        added, lifted = self._table.apply_report(report, _read_time())
        for keys in added:
            self._log_blocked(keys, sender)
        self._log_lifted(lifted, sender)

    def _start_check(self, endpoint):
        run_id = _get_run_id(endpoint)
        if run_id in self._checks or run_id in self._refusing:
            return
        task = asyncio.create_task(self._check_endpoint(endpoint))
        self._checks[run_id] = task
        task.add_done_callback(lambda _: self._checks.pop(run_id, None))

    async def _check_endpoint(self, endpoint):
        try:
            connection = await self._pool.open(endpoint.address)
        except ConnectionRefusedError:
            self._refusing.add(_get_run_id(endpoint))
            self._record_crash(endpoint, 'connection refused')
        except OSError as error:
            # The platform's list tells whether it has ended.
            self._journal.write(
                'endpoint:unchecked',
                endpoint.id,
                reason=_exchanges.describe_error(error),
            )
        else:
            self._pool.release(connection)

    def _record_crash(self, endpoint, reason):
        run_id = _get_run_id(endpoint)
        suspects = self._table.record_run_end(run_id, _read_time())
        if suspects:
            self._journal.write(
                'endpoint:crashed',
                endpoint.id,
                reason=reason,
                interrupted_ms=round(max(suspects.values()) * 1000),
                suspects=sorted(suspects),
            )

    def _log_blocked(self, keys, source):
        for key in keys:
            self._journal.write(
                'requests:blocked',
                key,
                together_with=sorted(keys - {key}),
                by=source,
                endpoints=[name for name, _ in self._table.list_crashes(keys)],
            )

    def _log_lifted(self, lifted, source):
        for keys in lifted:
            self._log_unblocked(keys, f'ran at {source}')

    def _log_unblocked(self, keys, reason):
        for key in keys:
            self._journal.write('requests:unblocked', key, reason=reason)


def _get_run_id(endpoint):
    return endpoint.id, endpoint.born_ms


def _read_time():
    return asyncio.get_running_loop().time()
