"""Connections to later stages, whose end tells that a stage has died.

A request has a connection to the first stage of its chain only. The end of a
process resets its connections at once, so an unused connection to a later
stage shows its death long before the streams through it look stalled.
"""

import asyncio
import dataclasses

from sniperudder import fleet

__all__ = ['StageWatcher']

# Timeout for opening a connection, seconds; see `StageProber`.
_CONNECT_TIMEOUT_S = 0.05

# Largest number of connections that are kept. Each takes a descriptor, of
# which an instance has a few thousand.
_MAX_WATCHES = 512


class StageWatcher:
    """Tells streams when one of their stages has died.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    report_gone : callable
        Called with the endpoint of a stage that has died.
    """

    __slots__ = ('_T', '_report_gone', '_watches')

    def __init__(self, T, report_gone):
        self._T = T
        self._report_gone = report_gone
        # By run of an endpoint.
        self._watches = {}

    def add(self, stage, listener):
        """Watch a stage for a stream.

        Parameters
        ----------
        stage : sniperudder.fleet.Stage
        listener : callable
            Called with the address of the stage if it has died.
        """
        run_id = _get_run_id(stage)
        watch = self._watches.get(run_id)
        if watch is None:
            if len(self._watches) >= _MAX_WATCHES:
                return
            watch = self._watches[run_id] = _Watch(stage)
        watch.listeners.add(listener)
        if watch.transport is None and watch.task is None:
            watch.task = asyncio.create_task(self._connect(watch))

    def remove(self, stage, listener):
        """Stop watching a stage for a stream; the connection is kept."""
        watch = self._watches.get(_get_run_id(stage))
        if watch is not None:
            watch.listeners.discard(listener)

    async def _connect(self, watch):
        host, _, port = watch.stage.endpoint.address.rpartition(':')
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                (
                    watch.transport,
                    _,
                ) = await asyncio.get_running_loop().create_connection(
                    lambda: _WatchProtocol(lambda: self._handle_end(watch)),
                    host,
                    int(port),
                )
        except ConnectionRefusedError:
            self._handle_refused(watch)
        except OSError:
            # Nothing is known; the next stream tries again.
            self._drop(watch)
        finally:
            watch.task = None

    def _handle_end(self, watch):
        """Find out whether a connection ended because its server died.

        Servers also close connections that are idle.
        """
        watch.transport = None
        if watch.listeners:
            watch.task = asyncio.create_task(self._connect(watch))
        else:
            self._drop(watch)

    def _handle_refused(self, watch):
        self._drop(watch)
        # A stage that leaves may refuse connections and still serve streams.
        if not fleet.is_serving(self._T, watch.stage):
            return
        endpoint = watch.stage.endpoint
        self._report_gone(endpoint)
        for listener in list(watch.listeners):
            listener(endpoint.address)

    def _drop(self, watch):
        run_id = _get_run_id(watch.stage)
        if self._watches.get(run_id) is watch:
            del self._watches[run_id]


@dataclasses.dataclass(slots=True, eq=False)
class _Watch:
    """A connection to a stage, and the streams through that stage."""

    stage: fleet.Stage
    listeners: set = dataclasses.field(default_factory=set)
    transport: asyncio.Transport | None = None
    task: asyncio.Task | None = None


class _WatchProtocol(asyncio.Protocol):
    """Reports the end of a connection on which nothing is sent."""

    def __init__(self, report_end):
        self._report_end = report_end

    def connection_lost(self, exc):
        """See base class."""
        self._report_end()


def _get_run_id(stage):
    return stage.endpoint.id, stage.endpoint.born_ms
