"""Exchange of digests with peers, and the list of instances.

A digest is a datagram in which an instance tells the others its load on each
endpoint, the endpoints and requests that it found faulty, and the placement
lease that it holds.
"""

import asyncio
import json
import time

from sniperudder import digests
from sniperudder import platform

# The interval between digests grows with the number of peers, so that an
# instance receives at most about 100 digests per second.
_MIN_DIGEST_INTERVAL_S = 0.25
_DIGEST_INTERVAL_PER_PEER_S = 0.01

# Times after the start at which the platform's list of instances is read, and
# the interval between later reads. Instances that start later are discovered
# through their digests.
_INITIAL_READ_TIMES_S = (0.3, 2.0, 5.0)
_LIST_READ_INTERVAL_S = 20.0


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

    def __init__(self, T, store, settings, journal, forwarder, placer):
        self._T = T
        self._store = store
        self._settings = settings
        self._journal = journal
        self._forwarder = forwarder
        self._placer = placer
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

    async def sync_instance_list(self):
        """Register this instance in the platform's list and poll the list."""
        await self._register_instance()
        started_at = _read_monotonic_time()
        for read_time_s in _INITIAL_READ_TIMES_S:
            await asyncio.sleep(
                max(0.0, started_at + read_time_s - _read_monotonic_time())
            )
            await self._read_instance_list()
        while True:
            await asyncio.sleep(_LIST_READ_INTERVAL_S)
            await self._read_instance_list()

    async def _register_instance(self):
        settings = self._settings
        value = {'host': settings.host, 'port': settings.peer_port}
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

    async def _read_instance_list(self):
        outcome = await self._store.read_table(platform.INSTANCES_TABLE)
        if not isinstance(outcome, platform.Rows):
            self._journal.write('instance:list unread', reason=str(outcome))
            return
        now = _read_monotonic_time()
        gone = await self._remove_gone_peers(outcome.rows, now)
        for row in outcome.rows:
            if row.key == self._settings.name or row.key in gone:
                continue
            try:
                value = json.loads(row.value)
                address = str(value['host']), int(value['port'])
            except (KeyError, TypeError, ValueError) as error:
                self._log_invalid_data(f'row {row.key}: {error}')
                continue
            self._T.peers.add_peer(row.key, address, now)

    async def _remove_gone_peers(self, rows, now):
        """Remove permanently gone peers and return their names.

        The holder of the placement lease deletes their rows; the other
        instances remove a peer only after its row has been deleted.
        """
        gone = set(self._T.peers.list_gone_peers(now))
        row_versions = {row.key: row.version for row in rows}
        for name in sorted(gone & row_versions.keys()):
            if not self._placer.lease_version:
                gone.discard(name)
                continue
            outcome = await self._store.write_row(
                platform.INSTANCES_TABLE, name, None, row_versions[name]
            )
            self._journal.write('instance:gone', name, outcome=str(outcome))
        for name in gone:
            self._T.peers.remove_peer(name)
        return gone

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
