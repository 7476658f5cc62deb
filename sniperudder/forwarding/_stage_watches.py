"""Connections to engines, whose end tells that an engine has died.

A request has a connection to the first stage of its chain only. The end of a
process resets its connections at once, so an unused connection to an engine
shows its death long before the streams through it look stalled. Connections
are limited and priced: a few instances watch each engine, and tell the others.
"""

import asyncio
import collections
import dataclasses

from sniperudder import fleet
from sniperudder import routing

__all__ = ['StageWatcher']

# Timeout for opening a connection, seconds; see `StageProber`.
_CONNECT_TIMEOUT_S = 0.05

# Number of instances that watch an engine. With half of the instances gone,
# three of four engines are still watched.
_WATCHERS = 2

# Largest number of connections that an instance keeps. Each takes a
# descriptor, of which an instance has a few thousand.
_MAX_WATCHES = 512

# Time after which a connection that could not be opened is tried again, and
# time for which a death that was told to peers is not told again, seconds.
_RETRY_S = 1.0
_TOLD_S = 4.0


class StageWatcher:
    """Tells streams when one of their stages has died.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    name : str
        Name of this instance.
    report_gone : callable
        Called with an endpoint that has died.

    Attributes
    ----------
    notify_peers : callable or None
        Called with an endpoint that has died, so that other instances are
        told at once.
    """

    notify_peers = None

    def __init__(self, T, name, report_gone):
        self._T = T
        self._name = name
        self._report_gone = report_gone
        # Watches, and listeners of streams, by run of an endpoint.
        self._watches = {}
        self._listeners = collections.defaultdict(set)
        # Instances, and their order for the choice of watchers.
        self._names = frozenset()
        self._ranked_names = []
        # Checks of what peers told.
        self._checks = {}

    def add_listener(self, stage, listener):
        """Tell a stream if a stage has died.

        Parameters
        ----------
        stage : sniperudder.fleet.Stage
        listener : callable
            Called with the address of the stage.
        """
        self._listeners[_get_run_id(stage.endpoint)].add(listener)

    def remove_listener(self, stage, listener):
        """Stop telling a stream about a stage."""
        run_id = _get_run_id(stage.endpoint)
        listeners = self._listeners.get(run_id, set())
        listeners.discard(listener)
        if not listeners:
            self._listeners.pop(run_id, None)

    def update(self, enabled):
        """Open and close connections, as engines and instances change.

        Parameters
        ----------
        enabled : bool
            Whether any engine is to be watched.
        """
        wanted = self._choose_engines() if enabled else {}
        for run_id in self._watches.keys() - wanted.keys():
            self._watches.pop(run_id).close()
        now = _read_time()
        for run_id, endpoint in wanted.items():
            watch = self._watches.get(run_id)
            if watch is None:
                if len(self._watches) >= _MAX_WATCHES:
                    return
                watch = self._watches[run_id] = _Watch(endpoint)
            if not watch.is_open and now >= watch.retry_at:
                self._start_connecting(watch)

    def handle_notice(self, run_id):
        """Check what a peer told: that a run of an engine has died.

        Parameters
        ----------
        run_id : (str, int)
            See `sniperudder.fleet.Endpoint`.
        """
        endpoint = self._T.endpoints.get(run_id[0])
        if endpoint is None or _get_run_id(endpoint) != run_id:
            return
        if run_id in self._listeners and run_id not in self._checks:
            task = asyncio.create_task(self._check(endpoint))
            self._checks[run_id] = task
            task.add_done_callback(lambda _: self._checks.pop(run_id))

    def close(self):
        """Close all connections."""
        for watch in self._watches.values():
            watch.close()
        self._watches.clear()

    def _choose_engines(self):
        """Return the engines that this instance watches, by run."""
        names = frozenset((self._name, *self._T.peers.peers))
        if names != self._names:
            self._names = names
            self._ranked_names = routing.rank_instances(names)
        return {
            _get_run_id(endpoint): endpoint
            for endpoint in self._T.endpoints.values()
            if endpoint.layers is not None
            and fleet.is_serving(
                self._T, fleet.Stage(endpoint, endpoint.layers)
            )
            and self._name
            in routing.choose_watchers(
                _get_run_id(endpoint), self._ranked_names, _WATCHERS
            )
        }

    def _start_connecting(self, watch):
        watch.task = asyncio.create_task(self._connect(watch))

    async def _connect(self, watch):
        watch.retry_at = _read_time() + _RETRY_S
        try:
            watch.transport = await _open_connection(
                watch.endpoint.address, lambda: self._handle_end(watch)
            )
        except ConnectionRefusedError:
            self._handle_death(watch)
        except OSError:
            # Nothing is known; `update` tries again.
            return
        finally:
            watch.task = None

    def _handle_end(self, watch):
        """Find out whether a connection ended because its server died.

        Servers also close connections that are idle.
        """
        watch.transport = None
        if self._watches.get(_get_run_id(watch.endpoint)) is watch:
            self._start_connecting(watch)

    def _handle_death(self, watch):
        now = _read_time()
        if self._is_serving(watch.endpoint) and now >= watch.told_until:
            watch.told_until = now + _TOLD_S
            if self.notify_peers is not None:
                self.notify_peers(watch.endpoint)
            self._tell(watch.endpoint)

    async def _check(self, endpoint):
        try:
            transport = await _open_connection(endpoint.address, lambda: None)
        except ConnectionRefusedError:
            if self._is_serving(endpoint):
                self._tell(endpoint)
        except OSError:
            return
        else:
            transport.abort()

    def _tell(self, endpoint):
        self._report_gone(endpoint)
        for listener in list(self._listeners.get(_get_run_id(endpoint), ())):
            listener(endpoint.address)

    def _is_serving(self, endpoint):
        """Return whether an endpoint should accept connections.

        One that leaves may refuse them and still complete its streams.
        """
        return fleet.is_serving(
            self._T, fleet.Stage(endpoint, endpoint.layers)
        )


@dataclasses.dataclass(slots=True, eq=False)
class _Watch:
    """A connection to an engine.

    Attributes
    ----------
    endpoint : sniperudder.fleet.Endpoint
    transport : asyncio.Transport or None
    task : asyncio.Task or None
        Opens the connection.
    retry_at, told_until : float
        Loop times, seconds.
    """

    endpoint: fleet.Endpoint
    transport: asyncio.Transport | None = None
    task: asyncio.Task | None = None
    retry_at: float = 0.0
    told_until: float = 0.0

    @property
    def is_open(self):
        """Whether the connection is open, or being opened."""
        return self.transport is not None or self.task is not None

    def close(self):
        """Close the connection."""
        if self.task is not None:
            self.task.cancel()
        if self.transport is not None:
            self.transport.abort()


class _WatchProtocol(asyncio.Protocol):
    """Reports the end of a connection on which nothing is sent."""

    def __init__(self, report_end):
        self._report_end = report_end

    def connection_lost(self, exc):
        """See base class."""
        self._report_end()


async def _open_connection(address, report_end):
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(_CONNECT_TIMEOUT_S):
        transport, _ = await loop.create_connection(
            lambda: _WatchProtocol(report_end), host, int(port)
        )
    return transport


def _get_run_id(endpoint):
    return endpoint.id, endpoint.born_ms


def _read_time():
    return asyncio.get_running_loop().time()
