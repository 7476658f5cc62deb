"""Rerouting of streams around stages that failed or are leaving.

A single dead stage stalls every stream that passes through it for longer
than callers wait. The first stage of a stalled stream knows which stage it
is waiting for. This instance requests that report once for all of its
streams and then reroutes each of the stalled ones to another chain.
"""

import asyncio

from sniperudder import fleet
from sniperudder.forwarding import _connections
from sniperudder.forwarding import _engines
from sniperudder.forwarding import _stage_probes
from sniperudder.forwarding import _stage_watches
from sniperudder import platform
from sniperudder import routing

# Timeout of a report request or a reroute order, seconds; a live endpoint
# responds to both within a few ms.
_CALL_TIMEOUT_S = 0.4

# Maximum age at which a report is reused for other streams, seconds.
_MAX_REPORT_AGE_S = 0.15

# Time for which a stage that an engine reported dead is avoided, seconds.
# The platform removes it from its list after three missed heartbeats of
# 1.2 s each.
DEAD_AVOID_S = 4.0

# Maximum number of successive orders to reroute one stream.
_MAX_REROUTE_ORDERS = 3

_CONFLICT = 409
_ACCEPTED_STATUSES = (200, 202)


class StreamRerouter:
    """Finds the stages that stall streams and reroutes the streams.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    name : str
        Name of this instance.
    rng : random.Random
    journal : object
        Event log; see `Forwarder`.
    notice_recorder : NoticeRecorder

    Attributes
    ----------
    watcher : StageWatcher
    """

    def __init__(self, T, name, rng, journal, notice_recorder):
        self._T = T
        self._rng = rng
        self._journal = journal
        pool = _connections.ConnectionPool()
        self._engine_client = _engines.EngineClient(
            pool, _CALL_TIMEOUT_S, notice_recorder
        )
        self._prober = _stage_probes.StageProber(pool, notice_recorder)
        self.watcher = _stage_watches.StageWatcher(
            T,
            name,
            lambda endpoint: self._record_failed_stage(
                endpoint, routing.Sign.GONE
            ),
        )
        self._reports = {}

    async def find_sign_of_life(self, stage):
        """Find out whether an engine responds to a report request now.

        Parameters
        ----------
        stage : sniperudder.fleet.Stage

        Returns
        -------
        SignOfLife

        Notes
        -----
        An engine that states another start than the platform lists is another
        run, unless it holds the stage's layers: engines restart without any.
        """
        endpoint = stage.endpoint
        report = await self._engine_client.fetch_report(endpoint)
        if isinstance(report, _engines.NoResponse):
            if report.timed_out:
                return _engines.SignOfLife.NOT_IN_TIME
            return _engines.SignOfLife.NONE
        if report.born_ms and endpoint.born_ms:
            if report.born_ms == endpoint.born_ms:
                return _engines.SignOfLife.SAME_RUN
            if report.layers is None or not report.layers.covers(stage.layers):
                return _engines.SignOfLife.NONE
        return _engines.SignOfLife.SERVES

    async def find_stalling_stage(self, endpoint, request_id):
        """Return the stage that a request is waiting for.

        Requests the report of the chain's first stage, which lists its
        stalled requests and the stage that stalls each of them. The listed
        stages are marked as dead, up to the entry of this request.

        Parameters
        ----------
        endpoint : sniperudder.fleet.Endpoint
            First stage of the chain.
        request_id : str

        Returns
        -------
        reached : bool
            Whether the endpoint responded.
        address : str or None
            Address of the stage that stalls the request; None if the
            request is not stalled.
        """
        report = await self._get_report(endpoint)
        if report is None:
            return False, None
        for stalled in report.stalled:
            self._mark_dead(stalled.address)
            if stalled.request_id == request_id:
                return True, stalled.address
        return True, None

    async def find_failed_stages(self, stages, suspects):
        """Return the stages of a chain that show no sign of life.

        Those stages are avoided from then on.

        Parameters
        ----------
        stages : sequence of sniperudder.fleet.Stage
        suspects : set of str
            Addresses of the stages to ask; see `routing.choose_suspects`.

        Returns
        -------
        set of str
            Addresses.
        """
        asked = [s.endpoint for s in stages if s.endpoint.address in suspects]
        signs = await self._prober.probe(asked)
        failed = routing.judge_signs(signs, len(asked) < len(stages))
        for endpoint in asked:
            if endpoint.address in failed:
                self._record_failed_stage(endpoint, signs[endpoint.address])
        return failed

    def _record_failed_stage(self, endpoint, sign):
        state = fleet.get_state(self._T, endpoint)
        now = asyncio.get_running_loop().time()
        if not routing.is_avoided(state, now):
            self._journal.write(
                'endpoint:failed',
                endpoint.id,
                address=endpoint.address,
                sign=sign.value,
            )
        if sign is routing.Sign.GONE:
            routing.record_dead(state, now, DEAD_AVOID_S)
        else:
            routing.record_failure(state, now)

    async def reroute(
        self, request_id, stages, excluded, engine, request_size, service
    ):
        """Reroute a stream to a chain that excludes the given stages.

        Parameters
        ----------
        request_id : str
        stages : tuple of sniperudder.fleet.Stage
        excluded : set of str
            Addresses of the failed and leaving stages to replace. A stage that
            the engine reports as missing is added before the next order.
        engine : sniperudder.fleet.EngineProfile
        request_size : sniperudder.routing.RequestSize
        service : str

        Returns
        -------
        tuple of sniperudder.fleet.Stage
            The chain in use afterwards; `stages` itself if the stream
            could not be rerouted.

        Notes
        -----
        A silent first stage may obey an order later. The order is therefore
        repeated, rather than taken for refused, so that the chain is known.
        """
        excluded = set(excluded)
        new_stages = None
        for _ in range(_MAX_REROUTE_ORDERS):
            if new_stages is None:
                new_stages = routing.replace_stages(
                    self._T,
                    fleet.list_endpoints(self._T, service),
                    engine,
                    request_size,
                    stages,
                    excluded,
                    asyncio.get_running_loop().time(),
                    self._rng,
                )
            if not new_stages:
                self._log_reroute(
                    request_id,
                    stages,
                    excluded,
                    'no replacement chain available',
                )
                return stages
            routing.check_chain(new_stages, engine.layer_count)
            body = platform.make_reroute_order(request_id, new_stages)
            response = await self._engine_client.send_order(
                stages[0].endpoint, body
            )
            if isinstance(response, _engines.NoResponse):
                self._log_reroute(
                    request_id, new_stages, excluded, response.reason
                )
                if response.timed_out:
                    continue
                return stages
            self._log_reroute(
                request_id, new_stages, excluded, f'status {response.status}'
            )
            if response.status in _ACCEPTED_STATUSES:
                return new_stages
            missing_address = platform.decode_fault_address(response.body)
            if response.status != _CONFLICT or missing_address is None:
                return stages
            excluded.add(missing_address)
            new_stages = None
        return stages

    async def _get_report(self, endpoint):
        """Return a recent report; concurrent calls share one request."""
        now = asyncio.get_running_loop().time()
        asked_at, task = self._reports.get(endpoint.address, (0.0, None))
        if task is None or (
            task.done() and now - asked_at > _MAX_REPORT_AGE_S
        ):
            task = asyncio.create_task(self._fetch_report(endpoint))
            self._reports[endpoint.address] = now, task
        return await asyncio.shield(task)

    async def _fetch_report(self, endpoint):
        report = await self._engine_client.fetch_report(endpoint)
        if isinstance(report, _engines.NoResponse):
            self._journal.write(
                'endpoint:silent', endpoint.id, reason=report.reason
            )
            return None
        self._journal.write(
            'endpoint:reported',
            endpoint.id,
            stalled=len(report.stalled),
            stages=sorted({s.address for s in report.stalled}),
        )
        return report

    def _mark_dead(self, address):
        now = asyncio.get_running_loop().time()
        for endpoint in self._T.endpoints.values():
            if endpoint.address == address:
                state = fleet.get_state(self._T, endpoint)
                if not routing.is_avoided(state, now):
                    self._journal.write(
                        'endpoint:dead', endpoint.id, address=address
                    )
                routing.record_dead(state, now, DEAD_AVOID_S)

    def _log_reroute(self, request_id, stages, excluded, outcome):
        self._journal.write(
            'stream:moved',
            request_id,
            broken=sorted(excluded),
            path=platform.format_path(stages),
            outcome=outcome,
        )
