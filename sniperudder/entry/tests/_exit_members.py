"""Instances of random cases."""

import asyncio
import dataclasses

from sniperudder.entry import _entry
from sniperudder.entry.tests import _exit_records
from sniperudder.entry.tests import _members
from sniperudder.forwarding import _caller_connections
from sniperudder import platform
from sniperudder import revisions

__all__ = ['ACCEPT_S', 'CLOSES_AFTER_S', 'PlayedMember']

# Time for which an instance accepts connections after a stop began, seconds.
ACCEPT_S = 0.4

_GRACE_S = 1.6

# The instance closes this long before the end of its grace period.
_EXIT_MARGIN_S = 0.2

# Time from the beginning of a planned stop to its end, seconds.
CLOSES_AFTER_S = _GRACE_S - _EXIT_MARGIN_S


class _PlayedConnection(_caller_connections.CallerConnection):
    """A connection whose closing by the instance is recorded."""

    def __init__(self, server, member):
        super().__init__(server)
        self._member = member

    def connection_made(self, transport):
        """See base class."""
        super().connection_made(transport)
        address = transport.get_extra_info('peername')
        self._member.connections[address] = self

    @property
    def idle_timeout_s(self):
        """The limit that applies to the request that is being read."""
        return self._limits.idle_timeout_s

    def close(self, reason):
        """See base class."""
        self._record()
        super().close(reason)

    def abort(self, cut):
        """See base class."""
        self._record()
        super().abort(cut)

    def _record(self):
        address = self._transport.get_extra_info('peername')
        self._member.record_closing(address)


class PlayedMember(_members.Member):
    """A real instance; a light one is given its tables by hand.

    Attributes
    ----------
    stop_at : float or None
        Time at which its planned stop began, seconds.
    arrivals : dict of str to Arrival
        The requests that it has read, by id.
    closings : dict of tuple to float
        When it closed connections, by the address of the caller, seconds.
    connections : dict of tuple to _PlayedConnection
        Those it has accepted, by the address of the caller.
    """

    def __init__(self, case, name, is_first_start=True):
        super().__init__(name, case.store.address, is_first_start)
        self.stop_at = None
        self.arrivals = {}
        self.closings = {}
        self.connections = {}
        self._case = case
        bounds = dataclasses.replace(self.settings.bounds, grace_s=_GRACE_S)
        self.settings = dataclasses.replace(self.settings, bounds=bounds)
        self.instance = _entry.Entry(
            self.settings, lambda: self.settings, self.journal
        )
        server = self.instance._caller_server
        server.handle = self._handle
        server._create_connection = self._create_connection

    @property
    def idle_timeout_s(self):
        """The limit in force for connections that are not used."""
        return self.instance._caller_server.limits.idle_timeout_s

    def _create_connection(self):
        return _PlayedConnection(self.instance._caller_server, self)

    def record_closing(self, caller_address):
        """Record that a connection of a caller is being closed."""
        self.closings.setdefault(caller_address, self._case.now())

    async def _handle(self, request, caller):
        (request_id,) = [
            value.decode()
            for name, _, value in request.headers
            if name == b'x-sniperudder-request-id'
        ]
        # Its time counts from the end of its body, however late the loop is.
        waited_s = asyncio.get_running_loop().time() - request.arrived_at
        self.arrivals[request_id] = _exit_records.Arrival(
            self._case.now() - waited_s, self.version
        )
        await self.instance._forwarder.handle(request, caller)

    async def start(self):
        """Start the instance."""
        instance = self.instance
        instance._T.instances_known = True
        if not self._case.light:
            await instance.start()
            return
        await instance._caller_server.start(self.settings.callers_address)

        async def close():
            instance._caller_server.close()

        instance.close = close
        self.apply_endpoints()
        self.apply_configuration()

    def apply_endpoints(self):
        """Apply the list of endpoints that the store holds."""
        rows = self._read_rows('servers')
        self.instance._endpoint_list.apply(rows, True, False)

    def apply_configuration(self):
        """Apply the configuration that the store holds."""
        self.instance._apply_configuration(self._read_rows('op'), False, False)

    def _read_rows(self, table):
        return [
            platform.StoredRow(key, value, revisions.Revision(1, version))
            for (name, key), (value, version) in self._case.store.rows.items()
            if name == table
        ]
