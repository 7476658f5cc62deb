"""One entry instance: its tables wired to the outside."""

import asyncio
import gc
import os
import random
import signal
import sys
import traceback

from sniperudder.entry import _gossip
from sniperudder.entry import _journal
from sniperudder.entry import _placer
from sniperudder.entry import _settings
from sniperudder.entry import _watchers
from sniperudder import fleet
from sniperudder import forwarding
from sniperudder import logs
from sniperudder import metrics
from sniperudder import platform
from sniperudder import routing

# Time from SIGTERM for which new connections are still taken, seconds:
# the balancer asks each second, and stops after two refusals.
_LISTEN_S = 2.6

# Time before the end of the grace period at which the process ends.
_EXIT_MARGIN_S = 0.2

# Time for which changes of the list of endpoints are gathered, seconds, in
# a small fleet, and what each further instance adds: all of them call the
# store then. At most this share of the bound for leaving endpoints.
_GATHER_S = 0.15
_GATHER_PER_PEER_S = 0.01
_GATHER_DRAIN_SHARE = 0.4

# Seconds between two looks while stopping, and between two housekeepings.
_STOP_LOOK_S = 0.05
_HOUSEKEEPING_S = 1.0

_READY = 200
_NOT_READY = 503


class Entry:
    """An entry instance between callers and endpoints.

    Parameters
    ----------
    settings : sniperudder.fleet.InstanceSettings
    load_settings : callable
        Reads the settings again.
    journal : Journal
    metrics_port : int
        Port of the metrics server; 0 for none.
    """

    def __init__(self, settings, load_settings, journal, metrics_port=0):
        self._settings = settings
        self._file = _settings.SettingsFile(load_settings, settings, journal)
        self._journal = journal
        self._T = fleet.FleetTables()
        self._calls = forwarding.ChannelPool()
        self._requests = forwarding.ChannelPool()
        self._measures = metrics.create_metrics()
        self._store = platform.Store(
            settings.platform_address,
            self._call_platform,
            self._record_store_call,
        )
        self._metrics_port = metrics_port
        self._forwarder = forwarding.Forwarder(
            self._T,
            self._requests,
            settings,
            journal,
            self._measures,
            random.Random(),
        )
        self._callers = forwarding.CallerServer(
            self._forwarder.handle, self._note_fault, self._note_rejection
        )
        self._balancer = forwarding.CallerServer(
            self._answer_balancer, self._note_fault, self._note_rejection
        )
        self._scraper = forwarding.CallerServer(
            self._answer_scraper, self._note_fault, self._note_rejection
        )
        self._placer = _placer.Placer(
            self._T, self._store, self._calls, settings.name, journal
        )
        self._gossip = _gossip.Gossip(
            self._T,
            self._store,
            settings,
            journal,
            self._forwarder,
            self._placer,
        )
        self._stopping = asyncio.Event()
        self._tasks = []

    async def run(self):
        """Serve until SIGTERM, then end what is under way."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self.start()
        await self._stopping.wait()
        await self.stop()

    async def start(self):
        """Listen, and begin to follow the platform.

        Raises
        ------
        OSError
            If an address cannot be used.
        """
        await self._callers.start(self._settings.callers_address)
        await self._balancer.start(self._settings.ready_address)
        await self._gossip.start()
        if self._metrics_port:
            address = f'{self._settings.host}:{self._metrics_port}'
            await self._scraper.start(address)
        self._journal.write(
            'instance:start',
            self._settings.name,
            data_centre=self._settings.data_centre,
            callers=self._settings.callers_address,
            process=os.getpid(),
        )
        for work in (
            self._follow(
                platform.CONFIGURATION_TABLE, self._apply_configuration
            ),
            self._follow(
                platform.ENDPOINTS_TABLE,
                self._apply_endpoints,
                self._get_gather_s,
            ),
            self._placer.run_lease(),
            self._placer.run_orders(),
            self._gossip.run(),
            self._gossip.run_listing(),
            self._keep_house(),
        ):
            task = asyncio.create_task(work)
            task.add_done_callback(self._note_ended)
            self._tasks.append(task)

    def _follow(self, table, apply, get_gather_s=None):
        return _watchers.TableWatcher(
            self._store, table, apply, self._journal, get_gather_s
        ).run()

    def _get_gather_s(self):
        peers = len(self._T.peers.peers)
        most_s = self._settings.bounds.drain_s * _GATHER_DRAIN_SHARE
        return min(_GATHER_S + _GATHER_PER_PEER_S * peers, most_s)

    async def _call_platform(self, address, method, target, body, timeout_s):
        return await forwarding.call(
            self._calls, address, method, target, body, timeout_s
        )

    def _record_store_call(self, seconds):
        metrics.record_time(
            self._measures, metrics.Timing.STORE_CALL, '', '', seconds
        )

    def _apply_configuration(self, rows, whole):
        for row in rows:
            if row.key != platform.CONFIGURATION_KEY or row.value is None:
                continue
            try:
                read = platform.read_configuration(row.value)
            except platform.DocumentError as error:
                self._journal.write(
                    'configuration:unreadable',
                    str(row.version),
                    reason=str(error),
                )
                continue
            known = self._T.configuration
            if known is not None and read.version <= known.version:
                continue
            self._T.configuration = read
            limits = read.limits
            self._callers.limits = forwarding.CallerLimits(
                limits.max_header_bytes,
                limits.max_body_bytes,
                limits.header_timeout_s,
                limits.idle_timeout_s,
            )
            self._journal.write(
                'configuration:in force',
                str(read.version),
                row_version=row.version,
                before=known.version if known else None,
            )

    def _apply_endpoints(self, rows, whole):
        if whole:
            listed = {row.key for row in rows}
            for name in list(self._T.endpoints):
                if name not in listed:
                    self._drop_endpoint(name, None)
            self._T.endpoints_known = True
        self._T.changes += 1
        for row in rows:
            if row.value is None:
                self._drop_endpoint(row.key, row.version)
                continue
            try:
                endpoint = platform.read_endpoint(row.key, row.value)
            except platform.DocumentError as error:
                self._journal.write(
                    'endpoint:unreadable', row.key, reason=str(error)
                )
                self._drop_endpoint(row.key, row.version)
                continue
            known = self._T.endpoints.get(row.key)
            if known != endpoint:
                if known is not None and known.born_ms != endpoint.born_ms:
                    self._note_run_ended(known)
                elif known is not None and known.layers != endpoint.layers:
                    # What it refused as misplaced it may have now.
                    routing.record_placed(fleet.get_state(self._T, endpoint))
                self._T.endpoints[row.key] = endpoint
                self._note_endpoint(endpoint, row.version)
        self._update_superseded()
        fleet.forget_states(self._T)

    def _update_superseded(self):
        before = self._T.superseded
        fleet.update_superseded(self._T)
        for name in sorted(self._T.superseded - before):
            self._journal.write(
                'endpoint:superseded',
                name,
                address=self._T.endpoints[name].address,
            )

    def _note_endpoint(self, endpoint, version):
        layers = endpoint.layers
        self._journal.write(
            'endpoint:listed',
            endpoint.id,
            address=endpoint.address,
            leaving=endpoint.leaving,
            layers=[layers.start, layers.end] if layers else None,
            row_version=version,
        )

    def _drop_endpoint(self, name, version):
        known = self._T.endpoints.pop(name, None)
        if known is not None:
            self._note_run_ended(known)
            self._journal.write('endpoint:gone', name, row_version=version)

    def _note_run_ended(self, endpoint):
        run = endpoint.id, endpoint.born_ms
        now = asyncio.get_running_loop().time()
        for fingerprint in self._forwarder.crashes.record_end(run, now):
            self._journal.write(
                'request:crashed endpoint', fingerprint, endpoint=endpoint.id
            )

    async def _answer_balancer(self, request, caller):
        found = request.target == platform.READY_TARGET.encode()
        ready = (
            found
            and self._T.configuration is not None
            and self._T.endpoints_known
            and not self._stopping.is_set()
        )
        status = _READY if ready else _NOT_READY
        caller.send_answer(status, [], b'')

    async def _answer_scraper(self, request, caller):
        gauges = {
            'caller_channels': len(self._callers.channels),
            'endpoint_channels_opened': self._requests.opened,
            'endpoints': len(self._T.endpoints),
            'instances': self._T.peers.count_alive(),
            'pressure': self._forwarder.pressure.level,
        }
        for name, value in gauges.items():
            metrics.set_gauge(self._measures, name, value)
        body = metrics.render_metrics(self._measures).encode()
        kind = (b'Content-Type', metrics.CONTENT_TYPE.encode())
        caller.send_answer(_READY, [kind], body)

    def _reload(self):
        if self._file.look():
            self._settings = self._file.settings
            self._forwarder.apply_settings(self._settings)
            self._store.address = self._settings.platform_address

    async def _keep_house(self):
        while True:
            await asyncio.sleep(_HOUSEKEEPING_S)
            self._reload()
            self._requests.close_idle()
            self._calls.close_idle()
            self._forwarder.note_speeds()
            self._forwarder.crashes.forget(asyncio.get_running_loop().time())

    async def stop(self):
        """End what is under way, within the grace period."""
        self._stopping.set()
        loop = asyncio.get_running_loop()
        began = loop.time()
        self._journal.write(
            'instance:stopping',
            self._settings.name,
            channels=len(self._callers.channels),
        )
        self._callers.stopping = True
        end = began + self._settings.bounds.grace_s - _EXIT_MARGIN_S
        while loop.time() < began + _LISTEN_S:
            await asyncio.sleep(_STOP_LOOK_S)
        self._callers.stop_listening()
        while self._callers.channels and loop.time() < end:
            self._callers.close_idle()
            await asyncio.sleep(_STOP_LOOK_S)
        self._journal.write(
            'instance:stopped',
            self._settings.name,
            cut=len(self._callers.channels),
        )
        await self.close()

    async def close(self):
        """End at once, without regard to what is under way."""
        for task in self._tasks:
            task.cancel()
        self._callers.close()
        self._balancer.close()
        self._scraper.close()
        self._gossip.close()

    def _note_fault(self, error):
        self._journal.write(
            'instance:fault',
            type(error).__name__,
            trace=''.join(traceback.format_exception(error)),
        )

    def _note_ended(self, task):
        if not task.cancelled() and task.exception() is not None:
            # A watcher that ended would leave old beliefs in force.
            self._note_fault(task.exception())
            self._stopping.set()

    def _note_rejection(self, status):
        self._journal.write('request:unread', status=status)


def run_entry(path, metrics_port=0):
    """Run an entry instance until it is told to stop.

    Parameters
    ----------
    path : str
        The settings file.
    metrics_port : int
        Port of the metrics server; 0 for none.

    Raises
    ------
    OSError
        If the file or an address cannot be used.
    sniperudder.platform.DocumentError
    """

    def load_settings():
        with open(path, 'rb') as file:
            return platform.read_settings(file.read())

    settings = load_settings()
    log = logs.create_log(sys.stdout, settings.name)
    # Most objects are short-lived records; collections of the oldest
    # generation would pause all streams at once.
    gc.freeze()
    try:
        asyncio.run(_run(settings, load_settings, metrics_port))
    finally:
        logs.close_log(log)


async def _run(settings, load_settings, metrics_port):
    journal = _journal.Journal()
    await Entry(settings, load_settings, journal, metrics_port).run()
