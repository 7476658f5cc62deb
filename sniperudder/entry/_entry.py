"""Entry instance: connects its tables to callers, store and peers."""

import asyncio
import gc
import os
import random
import signal
import sys
import traceback

from sniperudder import clocks
from sniperudder.entry import _blocks
from sniperudder.entry import _endpoint_list
from sniperudder.entry import _feed
from sniperudder.entry import _gossip
from sniperudder.entry import _journal
from sniperudder.entry import _placer
from sniperudder.entry import _recovery
from sniperudder.entry import _settings
from sniperudder.entry import _tasks
from sniperudder import feeds
from sniperudder import fleet
from sniperudder import forwarding
from sniperudder import logs
from sniperudder import metrics
from sniperudder import platform

# Time after SIGTERM during which new connections are still accepted. The load
# balancer probes readiness every second and stops sending callers after two
# failed probes.
_ACCEPT_AFTER_SIGTERM_S = 2.6

# The process exits this long before the end of the grace period.
_EXIT_MARGIN_S = 0.2

# Time for which changes of the endpoint list and of the list of instances are
# batched. It grows with the number of data centres, each of which calls the
# store after a change, but is at most a fraction of the time limit for
# draining endpoints.
_BATCH_DELAY_S = 0.1
_BATCH_DELAY_PER_DATA_CENTRE_S = 0.05
_BATCH_DELAY_DRAIN_FRACTION = 0.4

# Time after the first start of the deployment at which the list of instances
# is first read. Instances that start together are listed by then.
_FIRST_LIST_READ_S = 1.0

# Longest wait of a long poll for the list of instances, which changes rarely
# and whose age does no harm, seconds.
_LIST_POLL_S = 15.0

# Time for which a connection is kept, while stopping, after a response that
# did not announce its end, seconds. Callers often send the next request at
# once.
_KEEP_AFTER_RESPONSE_S = 1.0

# Polling interval while stopping, and interval of periodic maintenance.
_STOP_POLL_S = 0.05
_MAINTENANCE_INTERVAL_S = 1.0

_STATUS_OK = 200
_STATUS_UNAVAILABLE = 503


class Entry:
    """Entry instance that routes requests from callers to endpoints.

    Parameters
    ----------
    settings : sniperudder.fleet.InstanceSettings
    load_settings : callable
        Loads the settings file.
    journal : Journal
    metrics_port : int
        Port of the metrics server; 0 disables it.
    """

    def __init__(self, settings, load_settings, journal, metrics_port=0):
        self._settings = settings
        self._settings_file = _settings.SettingsFile(
            load_settings, settings, journal
        )
        self._journal = journal
        self._T = fleet.FleetTables()
        self._control_pool = forwarding.ConnectionPool()
        self._request_pool = forwarding.ConnectionPool()
        self._metrics = metrics.create_metrics()
        self._store = platform.Store(
            settings.platform_address,
            self._call_platform,
            self._record_store_call,
            self._handle_restored,
        )
        self._metrics_port = metrics_port
        self._forwarder = forwarding.Forwarder(
            self._T,
            self._request_pool,
            settings,
            journal,
            self._metrics,
            random.Random(),
        )
        self._caller_server = forwarding.CallerServer(
            self._forwarder.handle,
            self._log_exception,
            self._log_rejection,
            self._forwarder.record_cut,
            self._record_closure,
            self._log_queued,
            self._count_event,
        )
        self._apply_capacity()
        self._readiness_server = forwarding.CallerServer(
            self._send_readiness, self._log_exception, self._log_rejection
        )
        self._metrics_server = forwarding.CallerServer(
            self._send_metrics, self._log_exception, self._log_rejection
        )
        self._placer = _placer.Placer(
            self._T,
            self._store,
            self._control_pool,
            settings.name,
            journal,
            lambda: self._feed.reads_store,
            settings.is_first_start,
        )
        self._decoder = platform.ConfigurationDecoder()
        configurations = feeds.TableCopy(
            platform.CONFIGURATION_TABLE,
            self._apply_configuration,
            self._decoder.supersedes,
            self._read_configurations,
        )
        self._recovery = _recovery.ConfigurationRecovery(
            self._T, configurations, self._call_peer, journal
        )
        self._endpoint_list = _endpoint_list.EndpointList(
            self._T,
            self._forwarder.crash_monitor,
            journal,
            settings.heartbeat_s,
        )
        self._gossip = _gossip.Gossip(
            self._T,
            self._store,
            settings,
            journal,
            self._forwarder,
            self._placer,
            self._recovery,
        )
        self._block_store = _blocks.BlockStore(
            self._store,
            self._forwarder.crash_monitor,
            lambda: self._placer.lease_revision is not None,
            journal,
        )
        batch_delays_s = dict.fromkeys(
            (platform.ENDPOINTS_TABLE, platform.INSTANCES_TABLE),
            self._get_batch_delay_s,
        )
        self._feed = _feed.Feed(
            self._store,
            (
                configurations,
                feeds.TableCopy(
                    platform.ENDPOINTS_TABLE, self._endpoint_list.apply
                ),
                feeds.TableCopy(
                    platform.INSTANCES_TABLE, self._apply_instances
                ),
            ),
            self._call_peer,
            settings.name,
            journal,
            batch_delays_s,
            # Later, the others are listed already, and may know more than the
            # store.
            {platform.INSTANCES_TABLE: _FIRST_LIST_READ_S}
            if settings.is_first_start
            else {},
            {
                platform.CONFIGURATION_TABLE: (
                    settings.bounds.config_s
                    * _feed.CONFIGURATION_POLL_FRACTION
                ),
                platform.INSTANCES_TABLE: _LIST_POLL_S,
            },
            settings.bounds.config_s,
        )
        self._gossip.feed = self._feed
        self._peer_server = forwarding.CallerServer(
            self._feed.handle_request, self._log_exception, self._log_rejection
        )
        self._stopping = asyncio.Event()
        self._supervisor = _tasks.TaskSupervisor(self._log_exception)

    async def run(self):
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self.start()
        await self._stopping.wait()
        await self.stop()

    async def start(self):
        """Start listening and watching the platform.

        Raises
        ------
        OSError
            If an address cannot be bound.
        """
        await self._caller_server.start(self._settings.callers_address)
        await self._readiness_server.start(self._settings.ready_address)
        await self._gossip.start()
        await self._peer_server.start(
            f'{self._settings.host}:{self._settings.peer_port}'
        )
        if self._metrics_port:
            address = f'{self._settings.host}:{self._metrics_port}'
            await self._metrics_server.start(address)
        self._journal.write(
            'instance:start',
            self._settings.name,
            data_centre=self._settings.data_centre,
            callers=self._settings.callers_address,
            process=os.getpid(),
        )
        for run in (
            self._feed.run,
            self._gossip.maintain_registration,
            self._recovery.run,
            self._placer.maintain_lease,
            self._placer.run_placement,
            self._gossip.send_digests,
            self._gossip.remove_gone_peers,
            self._block_store.maintain,
            self._run_maintenance,
        ):
            self._supervisor.start(run)

    def _get_batch_delay_s(self):
        data_centres = {e.data_centre for e in self._T.endpoints.values()}
        max_delay_s = (
            self._settings.bounds.drain_s * _BATCH_DELAY_DRAIN_FRACTION
        )
        return min(
            _BATCH_DELAY_S
            + _BATCH_DELAY_PER_DATA_CENTRE_S * len(data_centres),
            max_delay_s,
        )

    async def _call_peer(self, address, target, body, timeout_s):
        return await forwarding.request_json(
            self._control_pool,
            address,
            'POST',
            target,
            body,
            timeout_s,
            content_type='application/x-thrift',
        )

    async def _call_platform(
        self, address, method, target, body, timeout_s, handle_headers
    ):
        return await forwarding.request_json(
            self._control_pool,
            address,
            method,
            target,
            body,
            timeout_s,
            handle_head=lambda head: handle_headers(head.headers),
        )

    def _handle_restored(self, before, era):
        self._journal.write('platform:era', str(era), before=before)
        if before:
            self._placer.handle_restored(era)
            self._feed.handle_restored()

    def _record_store_call(self, seconds):
        metrics.record_duration(
            self._metrics, metrics.Timing.STORE_CALL, '', '', seconds
        )

    async def _read_configurations(self, rows):
        for row in rows:
            if row.key == platform.CONFIGURATION_KEY and row.value is not None:
                await forwarding.run_in_turns(self._decoder.read(row.value))

    def _apply_configuration(self, rows, is_snapshot, is_restored):
        for row in rows:
            if row.key != platform.CONFIGURATION_KEY or row.value is None:
                continue
            try:
                configuration = self._decoder.decode(row.value)
            except platform.DocumentError as error:
                self._journal.write(
                    'configuration:unreadable',
                    str(row.revision),
                    reason=str(error),
                )
                continue
            known = self._T.configuration
            if known is not None and configuration.version <= known.version:
                self._journal.write(
                    'configuration:not newer',
                    str(configuration.version),
                    revision=str(row.revision),
                    known=known.version,
                )
                continue
            self._T.configuration = configuration
            self._T.configuration_revision = row.revision
            limits = configuration.limits
            self._caller_server.limits = forwarding.CallerLimits(
                limits.max_header_bytes,
                limits.max_body_bytes,
                limits.header_timeout_s,
                limits.idle_timeout_s,
            )
            self._journal.write(
                'configuration:in force',
                str(configuration.version),
                revision=str(row.revision),
                before=known.version if known else None,
            )

    def _apply_instances(self, rows, is_snapshot, is_restored):
        instances, blocks = [], None
        for row in rows:
            if row.key == platform.BLOCKS_KEY:
                blocks = row
            else:
                instances.append(row)
        if blocks is not None or is_snapshot:
            self._block_store.apply_row(blocks, is_restored)
        self._gossip.apply_instances(instances, is_snapshot, is_restored)
        if is_snapshot:
            self._T.instances_known = True

    async def _send_readiness(self, request, caller):
        path_matches = request.target == platform.READY_TARGET.encode()
        ready = (
            path_matches
            and self._T.configuration is not None
            and self._T.endpoints_known
            and not self._stopping.is_set()
            and self._caller_server.can_accept
            # Its tables may be outdated.
            and not self._supervisor.is_failing()
        )
        status = _STATUS_OK if ready else _STATUS_UNAVAILABLE
        caller.send_response(status, [], b'')

    async def _send_metrics(self, request, caller):
        gauges = {
            'caller_channels': len(self._caller_server.connections),
            'caller_memory_bytes': self._caller_server.memory.used_bytes,
            'caller_memory_waiting': self._caller_server.memory.waiting,
            'endpoint_channels_opened': self._request_pool.opened,
            'endpoints': len(self._T.endpoints),
            'instances': self._T.peers.count_alive(),
            'pressure': self._forwarder.load_shedder.shedding_level,
            'store_era': self._store.era,
            **self._forwarder.crash_monitor.get_gauges(),
            **self._T.notices.count_restricted(clocks.read_clock()),
        }
        for name, value in gauges.items():
            metrics.set_gauge(self._metrics, name, value)
        body = metrics.render_metrics(self._metrics).encode()
        content_type = (b'Content-Type', metrics.CONTENT_TYPE.encode())
        caller.send_response(_STATUS_OK, [content_type], body)

    def _reload(self):
        if self._settings_file.reload():
            self._settings = self._settings_file.settings
            self._forwarder.apply_settings(self._settings)
            self._apply_capacity()
            self._store.address = self._settings.platform_address

    def _apply_capacity(self):
        self._caller_server.apply_capacity(
            forwarding.create_capacity(
                self._settings.memory_mb,
                self._settings.features.caller_memory_mb,
                self._settings.max_descriptors,
            )
        )

    async def _run_maintenance(self):
        while True:
            await asyncio.sleep(_MAINTENANCE_INTERVAL_S)
            self._reload()
            self._request_pool.close_idle()
            self._control_pool.close_idle()
            self._forwarder.log_slow_endpoints()

    async def stop(self):
        """Finish open requests within the grace period, then close."""
        self._stopping.set()
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self._journal.write(
            'instance:stopping',
            self._settings.name,
            channels=len(self._caller_server.connections),
        )
        self._feed.stop()
        self._caller_server.announce_close = True
        deadline = started_at + self._settings.bounds.grace_s - _EXIT_MARGIN_S
        self._forwarder.stop_at = deadline
        while loop.time() < started_at + _ACCEPT_AFTER_SIGTERM_S:
            await asyncio.sleep(_STOP_POLL_S)
        self._forwarder.takes_estimated = False
        await self._caller_server.stop_listening()
        while self._caller_server.connections and loop.time() < deadline:
            if not self._caller_server.is_responding:
                # Before, callers may use them again and learn of the end.
                self._caller_server.close_idle(_KEEP_AFTER_RESPONSE_S)
            await asyncio.sleep(_STOP_POLL_S)
        # They are refused as not run by now.
        await self._caller_server.handle_arrived(_EXIT_MARGIN_S / 4)
        self._caller_server.close_idle()
        await self._caller_server.await_closed(_EXIT_MARGIN_S / 4)
        self._journal.write(
            'instance:stopped',
            self._settings.name,
            cut=len(self._caller_server.connections),
        )
        await self.close()

    async def close(self):
        """Close immediately, aborting open requests."""
        self._supervisor.cancel()
        self._caller_server.close()
        self._readiness_server.close()
        self._peer_server.close()
        self._metrics_server.close()
        self._gossip.close()

    def _count_event(self, name):
        metrics.count_event(self._metrics, name)

    def _log_exception(self, error):
        self._journal.write(
            'instance:fault',
            type(error).__name__,
            trace=''.join(traceback.format_exception(error)),
        )

    def _log_rejection(self, status):
        metrics.count_event(self._metrics, f'unread:{status}')
        self._journal.write('request:unread', status=status)

    def _record_closure(self, closure):
        reason = closure.reason.value
        metrics.count_event(self._metrics, f'closed:{reason}')
        if closure.is_clean:
            return
        metrics.count_event(self._metrics, f'closed unclean:{reason}')
        self._journal.write(
            'connection:closed',
            reason=reason,
            unread_bytes=closure.unread_bytes,
            unanswered_bytes=closure.unanswered_bytes,
            unsent_bytes=closure.unsent_bytes,
            idle_s=round(closure.idle_s, 3),
        )

    def _log_queued(self, connections):
        self._journal.write('connection:queued', connections=connections)


def run_entry(path, metrics_port=0):
    """Run an entry instance until a signal stops it.

    Parameters
    ----------
    path : str
        Path of the settings file.
    metrics_port : int
        Port of the metrics server; 0 disables it.

    Raises
    ------
    OSError
        If the file cannot be read or an address cannot be bound.
    sniperudder.platform.DocumentError
        If the settings file is malformed.
    """

    def load_settings():
        with open(path, 'rb') as file:
            return platform.decode_settings(file.read())

    settings = load_settings()
    log = logs.create_log(sys.stdout, settings.name)
    # Most objects are short-lived, and collecting the oldest generation would
    # pause all streams at once. Freezing exempts all objects created so far.
    gc.freeze()
    try:
        asyncio.run(_run(settings, load_settings, metrics_port))
    finally:
        logs.close_log(log)


async def _run(settings, load_settings, metrics_port):
    journal = _journal.Journal()
    await Entry(settings, load_settings, journal, metrics_port).run()
