"""HTTP server for callers, the load balancer and metrics scrapers."""

import asyncio
import collections

from sniperudder.forwarding import _caller_capacity
from sniperudder.forwarding import _caller_connections
from sniperudder.forwarding import _caller_memory
from sniperudder.forwarding import _closures
from sniperudder.forwarding import _retention
from sniperudder.forwarding import _sockets
from sniperudder.forwarding import _turn_scheduler

# Connections that may wait to be accepted, and that are accepted in a turn of
# the loop.
_BACKLOG = 1024
_ACCEPTED_AT_ONCE = 16

# Receive buffer of a connection: what arrives while reading is paused.
_RECEIVE_BUFFER_BYTES = 16_384

# Number of turns of the loop until an accepted connection is known.
_ACCEPT_TURNS = 3

# Interval at which connections are looked at that hold memory for which others
# wait, and the time for which these have waited then, seconds.
_WAIT_CHECK_S = 0.25
_MIN_WAIT_S = 0.5

# Interval at which callers are looked at that are not read during a response,
# seconds.
_UNREAD_CHECK_S = 0.2

# Number of connections that are given up at once for memory, and the share of
# the limit that the others may hold then. Without a margin, the next caller
# would be given up, as the one that waits shortest.
_GIVE_UP_COUNT = 16
_RELEASE_SHARE = 0.875

# Number of connections that are found at once to make way for new ones, the
# interval at which they are sought if none can be given up, seconds, and the
# number of those whose callers may still read why they were closed.
_DISPENSABLE_COUNT = 64
_SEARCH_INTERVAL_S = 0.1
_MAX_LINGERING = 16

# Multiple of the largest number of connections that includes those which this
# side has closed and whose responses are being sent.
_CLOSED_FACTOR = 1.5

# Interval at which closed connections are looked at, seconds.
_CLOSED_POLL_S = 0.005


class CallerServer:
    """Accepts connections and passes their requests to a handler.

    Parameters
    ----------
    handle : callable
        Coroutine function of a `CallerRequest` and its `CallerConnection`.
        It is cancelled when the caller disconnects.
    report_error : callable
        Called with an exception raised by the handler.
    report_rejection : callable
        Called with the HTTP status of a request that was rejected before
        it was read completely.
    report_cut : callable, optional
        Called with a `CallerRequest` that was read and gets no complete
        response, and the `Cut`.
    report_closure : callable, optional
        Called with the `Closure` of a connection that this side closed and on
        which no response was owed.
    report_queued : callable, optional
        Called with the number of connections that were open when the server
        stopped listening and that it had not accepted.
    count_event : callable, optional
        Called with the name of an event to count.

    Attributes
    ----------
    limits : CallerLimits
        Limits for new connections and for the next request on open ones.
    announce_close : bool
        Whether responses carry ``Connection: close``, so that callers send
        further requests on other connections. A connection is kept after a
        response that began earlier.
    connections : set of CallerConnection
        Open connections.
    capacity : CallerCapacity
    memory : MemoryBudget
        Memory that is held for all of them.
    turns : TurnScheduler
        Time in which what they send is parsed.
    """

    def __init__(
        self,
        handle,
        report_error,
        report_rejection,
        report_cut=None,
        report_closure=None,
        report_queued=None,
        count_event=None,
    ):
        self.handle = handle
        self.report_error = report_error
        self.report_rejection = report_rejection
        self.report_cut = report_cut or _ignore_cut
        self.report_closure = report_closure or _ignore
        self._report_queued = report_queued or _ignore
        self.limits = _caller_connections.CallerLimits()
        self.announce_close = False
        self.connections = set()
        self.count_event = count_event or _ignore
        self.capacity = _caller_capacity.create_capacity()
        self.memory = _caller_memory.MemoryBudget(self.capacity.memory_bytes)
        self.turns = _turn_scheduler.TurnScheduler()
        self._frees_memory = False
        self._checks_waiting = False
        # Connections that this side has not closed, and those that it has.
        self._open = set()
        self._lingering = collections.deque()
        # Connections to give up next.
        self._dispensable = []
        # Loop times from which on connections are sought again to make way for
        # new ones, and to release memory.
        self._next_search_at = 0.0
        self._next_release_at = 0.0
        # Connections that are not read during a response.
        self._unread = set()
        self._server = None

    async def start(self, address):
        """Listen at an address.

        Parameters
        ----------
        address : str
            ``host:port``.

        Raises
        ------
        OSError
            If the address cannot be used.
        """
        host, _, port = address.rpartition(':')
        sock = _sockets.create_listener(
            host, int(port), _RECEIVE_BUFFER_BYTES, _BACKLOG
        )
        self._server = await asyncio.get_running_loop().create_server(
            self._create_connection, sock=sock, backlog=_ACCEPTED_AT_ONCE
        )
        # The loop has set the number that it accepts at once.
        sock.listen(_BACKLOG)

    async def stop_listening(self):
        """Accept the connections that callers have opened, and no others.

        Resetting them would lose the requests that were sent on them.
        """
        if not self._server.is_serving():
            return
        accepted = [
            connection
            for sock in self._server.sockets
            for connection in _sockets.accept_queued(sock)
        ]
        self._close_listener()
        loop = asyncio.get_running_loop()
        # Callers may have left already.
        await asyncio.gather(
            *(
                loop.connect_accepted_socket(self._create_connection, sock)
                for sock in accepted
            ),
            return_exceptions=True,
        )
        # The loop may have accepted others in this turn, and connects them in
        # the next ones.
        for _ in range(_ACCEPT_TURNS):
            await asyncio.sleep(0)

    async def handle_arrived(self, timeout_s):
        """Handle the requests that have arrived and were not read.

        Parameters
        ----------
        timeout_s : float
            Longest time to take, seconds.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        arrived = set()
        while loop.time() < deadline:
            unread = {c for c in self.connections if c.has_unread_request}
            arrived |= unread
            if not unread and not any(c.responding for c in arrived):
                return
            await asyncio.sleep(0)

    async def await_closed(self, timeout_s):
        """Wait until callers have closed their sides of closed connections.

        Parameters
        ----------
        timeout_s : float
            Longest time to wait, seconds.
        """
        deadline = asyncio.get_running_loop().time() + timeout_s
        while (
            any(connection.closing for connection in self.connections)
            and asyncio.get_running_loop().time() < deadline
        ):
            await asyncio.sleep(_CLOSED_POLL_S)

    def apply_capacity(self, capacity):
        """Apply limits for all callers together.

        Parameters
        ----------
        capacity : sniperudder.forwarding.CallerCapacity
        """
        self.capacity = capacity
        self.memory.limit_bytes = capacity.memory_bytes
        self.check_memory()

    def add_connection(self, connection):
        """Keep a connection that was accepted.

        If there are too many, others make way for it, or it is refused.

        Returns
        -------
        bool
            Whether it is kept.
        """
        max_connections = self.capacity.max_connections
        if (
            len(self._open) >= max_connections and not self._make_way()
        ) or len(self.connections) > max_connections * _CLOSED_FACTOR:
            self.count_event('refused:connection')
            return False
        self.connections.add(connection)
        self._open.add(connection)
        return True

    def _make_way(self):
        """Give up a connection; return whether there is one to give up."""
        now = asyncio.get_running_loop().time()
        if not self._dispensable and now >= self._next_search_at:
            self._dispensable = _retention.list_dispensable(
                self._open,
                _retention.DESCRIPTOR_ORDER,
                now,
                _DISPENSABLE_COUNT,
            )
            if not self._dispensable:
                self._next_search_at = now + _SEARCH_INTERVAL_S
        while self._dispensable:
            connection = self._dispensable.pop()
            if connection in self._open and connection.give_up():
                return True
        return False

    def note_closing(self, connection):
        """Count a connection no longer that this side has closed.

        If there are many connections, few of those that are closed linger.
        """
        if connection not in self._open:
            return
        self._open.discard(connection)
        self._lingering.append(connection)
        is_full = len(self.connections) > self.capacity.max_connections
        while is_full and len(self._lingering) > _MAX_LINGERING:
            oldest = self._lingering.popleft()
            if oldest in self.connections:
                oldest.give_up()

    def remove_connection(self, connection):
        """Forget a connection that has ended."""
        self.connections.discard(connection)
        self._open.discard(connection)
        while self._lingering and self._lingering[0] not in self.connections:
            self._lingering.popleft()

    def check_memory(self):
        """Give up connections if more is held for callers than allowed."""
        if not self.memory.is_exceeded or self._frees_memory:
            return
        self._frees_memory = True
        loop = asyncio.get_running_loop()
        # Not within the work on a connection that may be given up.
        loop.call_at(
            max(loop.time(), self._next_release_at), self._free_memory
        )

    def _free_memory(self):
        self._frees_memory = False
        now = asyncio.get_running_loop().time()
        dispensable = _retention.list_dispensable(
            self.connections, _retention.MEMORY_ORDER, now, _GIVE_UP_COUNT
        )
        # Searching takes time linear in the number of connections, and what
        # is given up is returned in a later turn of the loop.
        self._next_release_at = now + _SEARCH_INTERVAL_S
        surplus_bytes = (
            self.memory.used_bytes - self.memory.limit_bytes * _RELEASE_SHARE
        )
        while dispensable and surplus_bytes > 0:
            connection = dispensable.pop()
            surplus_bytes -= connection.held_bytes
            connection.give_up()
        # Others may stall meanwhile.
        self.check_memory()

    def check_waiting(self):
        """Look after the reservations that wait, as long as there are any."""
        if not self._checks_waiting:
            self._checks_waiting = True
            asyncio.get_running_loop().call_later(
                _WAIT_CHECK_S, self._free_reservations
            )

    def _free_reservations(self):
        """Give up connections that hold what others wait for, and stall."""
        self._checks_waiting = False
        now = asyncio.get_running_loop().time()
        for lane in _caller_memory.Lane:
            if self.memory.get_longest_wait_s(lane, now) < _MIN_WAIT_S:
                continue
            holders = [c for c in self.connections if c.holds(lane)]
            for connection in _retention.list_dispensable(
                holders,
                _retention.STALLED,
                now,
                self.memory.count_waiting(lane),
            ):
                connection.give_up()
        if self.memory.waiting:
            self.check_waiting()

    def watch_unread(self, connection):
        """Look after a connection that is not read during a response."""
        if not self._unread:
            asyncio.get_running_loop().call_later(
                _UNREAD_CHECK_S, self._check_unread
            )
        self._unread.add(connection)

    def _check_unread(self):
        unread, self._unread = self._unread, set()
        for connection in unread:
            if connection.check_unread():
                self.watch_unread(connection)

    def close(self):
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._close_listener()
        for connection in list(self.connections):
            connection.abort(_caller_connections.Cut.STOPPED)

    @property
    def can_accept(self):
        """Whether it listens and has a descriptor for a new connection."""
        return self._server.is_serving() and all(
            _sockets.has_free_descriptor(sock) for sock in self._server.sockets
        )

    @property
    def is_responding(self):
        """Whether a response is in progress on any connection."""
        return any(connection.responding for connection in self.connections)

    def close_idle(self, min_idle_s=0.0):
        """Close the connections that are not used.

        Parameters
        ----------
        min_idle_s : float
            Time since the last response on a connection, seconds.
        """
        for connection in list(self.connections):
            if connection.is_idle(min_idle_s):
                connection.close(_closures.ClosureReason.STOPPING)

    def _create_connection(self):
        return _caller_connections.CallerConnection(self)

    def _close_listener(self):
        if not self._server.is_serving():
            return
        queued = sum(
            _sockets.count_queued_connections(sock)
            for sock in self._server.sockets
        )
        self._server.close()
        if queued:
            self._report_queued(queued)


def _ignore_cut(request, cut):
    """Report nothing: those who read these responses ask again."""


def _ignore(_):
    """Report nothing."""
