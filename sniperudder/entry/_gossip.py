"""Exchange of digests with peers, and the list of instances.

A digest is a datagram in which an instance tells the others its load on each
endpoint, the endpoints and requests that it found faulty, and the placement
lease that it holds.
"""

import asyncio
import dataclasses
import json
import time

from sniperudder import digests
from sniperudder import platform

# The interval between digests grows with the number of peers, so that an
# instance receives at most about 100 digests per second.
_MIN_DIGEST_INTERVAL_S = 0.25
_DIGEST_INTERVAL_PER_PEER_S = 0.01

# Interval at which rows of permanently gone instances are looked for.
_CLEANUP_INTERVAL_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Member:
    """A row of the platform's list of instances.

    Attributes
    ----------
    row_version : int
    host : str
    port : int
        Port for messages between instances.
    data_centre : str
        Empty if the instance runs a version that does not state it.
    link_mbps : float
        Bandwidth of the instance's network link, Mbit/s; 0 if unknown.
    """

    row_version: int
    host: str
    port: int
    data_centre: str
    link_mbps: float


class Gossip:
    """Exchanges digests with all instances listed by the platform.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    store : sniperudder.platform.Store
    settings : sniperudder.fleet.InstanceSettings
    journal : Journal
    forwarder : sniperudder.forwarding.Forwarder
    placer : Placer
    """

    # The feed is set after construction, since its tables include the list of
    # instances, which this object applies.
    feed = None

    def __init__(self, T, store, settings, journal, forwarder, placer):
        self._T = T
        self._store = store
        self._settings = settings
        self._journal = journal
        self._forwarder = forwarder
        self._placer = placer
        # The platform's list of instances, by name.
        self._members = {}
        self._incarnation = time.time_ns() // 1_000_000
        self._sequence = 0
        self._exchange = digests.DigestExchange(
            self._handle_digest, self._log_invalid_data
        )

    async def start(self):
        """Start listening for digests."""
        await self._exchange.start(
            self._settings.host, self._settings.peer_port
        )

    def close(self):
        """Stop listening for digests."""
        self._exchange.close()

    async def send_digests(self):
        """Send digests periodically until cancelled."""
        while True:
            peer_count = len(self._T.peers.peers)
            interval_s = max(
                _MIN_DIGEST_INTERVAL_S,
                peer_count * _DIGEST_INTERVAL_PER_PEER_S,
            )
            await asyncio.sleep(interval_s)
            now = _read_monotonic_time()
            self._forwarder.load_shedder.update(interval_s)
            for name in self._T.peers.expire_loads(now):
                self._journal.write('instance:silent', name)
            addresses = self._T.peers.list_due_addresses(now)
            if addresses:
                self._exchange.send(self._make_digest(), addresses)

    async def register(self):
        """Add this instance to the platform's list of instances."""
        settings = self._settings
        value = {
            'host': settings.host,
            'port': settings.peer_port,
            'data_centre': settings.data_centre,
            'link_mbps': settings.link_mbps,
        }
        outcome = await self._store.write_row(
            platform.INSTANCES_TABLE,
            settings.name,
            json.dumps(value).encode(),
        )
        if not isinstance(outcome, platform.Written):
            # Peers to which this instance sends digests still discover it.
            self._journal.write(
                'instance:unlisted', settings.name, reason=str(outcome)
            )

    def apply_instances(self, rows, is_snapshot):
        """Apply changes of the platform's list of instances.

        Parameters
        ----------
        rows : iterable of sniperudder.platform.StoredRow
        is_snapshot : bool
            Whether the rows are the whole list.
        """
        now = _read_monotonic_time()
        if is_snapshot:
            listed = {row.key for row in rows}
            for name in self._members.keys() - listed:
                self._remove_peer(name)
        for row in rows:
            if row.value is None:
                self._remove_peer(row.key)
                continue
            try:
                value = json.loads(row.value)
                member = _Member(
                    row.version,
                    str(value['host']),
                    int(value['port']),
                    str(value.get('data_centre', '')),
                    float(value.get('link_mbps', 0.0)),
                )
            except (AttributeError, KeyError, TypeError, ValueError) as error:
                self._log_invalid_data(f'row {row.key}: {error}')
                continue
            self._members[row.key] = member
            if row.key != self._settings.name:
                self._T.peers.add_peer(
                    row.key, (member.host, member.port), now
                )
        self._set_feed_members()

    def _remove_peer(self, name):
        self._members.pop(name, None)
        if name in self._T.peers.peers:
            self._T.peers.remove_peer(name)

    def _set_feed_members(self):
        own = self._settings.data_centre
        self.feed.set_members(
            {
                name: (f'{member.host}:{member.port}', member.link_mbps)
                for name, member in self._members.items()
                if member.data_centre == own
            },
            any(m.data_centre != own for m in self._members.values()),
        )

    async def remove_gone_peers(self):
        """Remove permanently gone peers, periodically, until cancelled."""
        while True:
            await asyncio.sleep(_CLEANUP_INTERVAL_S)
            await self._remove_gone_peers(_read_monotonic_time())

    async def _remove_gone_peers(self, now):
        """Remove peers that have been silent for very long.

        The holder of the placement lease deletes their rows; the other
        instances remove a listed peer only after its row has been deleted.
        """
        for name in sorted(self._T.peers.list_gone_peers(now)):
            member = self._members.get(name)
            if member is None:
                self._T.peers.remove_peer(name)
                continue
            if not self._placer.lease_version:
                continue
            outcome = await self._store.write_row(
                platform.INSTANCES_TABLE, name, None, member.row_version
            )
            self._journal.write('instance:gone', name, outcome=str(outcome))
            if isinstance(outcome, platform.Written):
                self._remove_peer(name)
                self._set_feed_members()

    def _make_digest(self):
        self._sequence += 1
        events, slow_events = self._forwarder.load_shedder.count_events()
        loads = {}
        for (name, _), state in self._T.states.items():
            if state.requests > 0:
                loads[name] = digests.Load(state.requests, state.token_layers)
        return digests.Digest(
            sender=self._settings.name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            loads=loads,
            faults=self._forwarder.list_fault_notices(),
            crashes=self._forwarder.crashes.list_recent_counts(),
            lease_version=self._placer.lease_version,
            events=events,
            slow_events=slow_events,
            crossings=self._T.crossings.list_rates(
                asyncio.get_running_loop().time()
            ),
        )

    def _handle_digest(self, digest, address):
        now = _read_monotonic_time()
        if self._T.peers.record_digest(digest, address, now):
            self._forwarder.crashes.record_peer_counts(
                digest.sender, digest.crashes
            )
            self._forwarder.apply_fault_notices(digest.sender, digest.faults)
            if digest.lease_version:
                self._placer.record_peer_lease(digest.lease_version)

    def _log_invalid_data(self, reason):
        self._journal.write('digest:foreign', reason=reason)


def _read_monotonic_time():
    return time.monotonic()
