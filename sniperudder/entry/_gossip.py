"""Telling the other instances what this one has in flight."""

import asyncio
import json
import time

from sniperudder import digests
from sniperudder import platform

# Seconds between two digests in a small fleet; longer in a large one, so
# that an instance receives no more than about 100 in a second.
_PERIOD_S = 0.25
_PERIOD_PER_PEER_S = 0.01

# Times after the start at which the platform's list of instances is read,
# seconds, and the time between two reads after that. An instance that
# starts later makes itself known by its digests.
_FIRST_LOOKS_S = (0.3, 2.0, 5.0)
_LOOK_S = 20.0


class Gossip:
    """Exchanges digests with all instances that the platform lists.

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
        self._exchange = digests.DigestExchange(self._take, self._note_foreign)

    async def start(self):
        """Listen for digests."""
        await self._exchange.start(
            self._settings.host, self._settings.peer_port
        )

    def close(self):
        """Stop listening."""
        self._exchange.close()

    async def run(self):
        """Send digests until cancelled."""
        while True:
            peers = len(self._T.peers.peers)
            period_s = max(_PERIOD_S, peers * _PERIOD_PER_PEER_S)
            await asyncio.sleep(period_s)
            now = _read_clock()
            self._forwarder.pressure.update(period_s)
            for name in self._T.peers.drop_silent(now):
                self._journal.write('instance:silent', name)
            due = self._T.peers.list_due(now)
            if due:
                self._exchange.send(self._make_digest(), due)

    async def run_listing(self):
        """Enter this instance in the platform's list, and read the others."""
        await self._enter_list()
        began = _read_clock()
        for look_s in _FIRST_LOOKS_S:
            await asyncio.sleep(max(0.0, began + look_s - _read_clock()))
            await self._read_list()
        while True:
            await asyncio.sleep(_LOOK_S)
            await self._read_list()

    async def _enter_list(self):
        settings = self._settings
        value = {'host': settings.host, 'port': settings.peer_port}
        outcome = await self._store.write_row(
            platform.INSTANCES_TABLE,
            settings.name,
            json.dumps(value).encode(),
        )
        if not isinstance(outcome, platform.Written):
            # Peers that this instance finds learn of it by its digests.
            self._journal.write(
                'instance:unlisted', settings.name, reason=str(outcome)
            )

    async def _read_list(self):
        outcome = await self._store.read_table(platform.INSTANCES_TABLE)
        if not isinstance(outcome, platform.Rows):
            self._journal.write('instance:list unread', reason=str(outcome))
            return
        now = _read_clock()
        gone = await self._remove_gone(outcome.rows, now)
        for row in outcome.rows:
            if row.key == self._settings.name or row.key in gone:
                continue
            try:
                value = json.loads(row.value)
                address = str(value['host']), int(value['port'])
            except (KeyError, TypeError, ValueError) as error:
                self._note_foreign(f'row {row.key}: {error}')
                continue
            self._T.peers.add_peer(row.key, address, now)

    async def _remove_gone(self, rows, now):
        """Take peers that are gone off the list; return their names.

        The holder of the lease removes their rows; the others forget a
        peer once its row is gone.
        """
        gone = set(self._T.peers.list_gone(now))
        listed = {row.key: row.version for row in rows}
        for name in sorted(gone & listed.keys()):
            if not self._placer.lease_version:
                gone.discard(name)
                continue
            outcome = await self._store.write_row(
                platform.INSTANCES_TABLE, name, None, listed[name]
            )
            self._journal.write('instance:gone', name, outcome=str(outcome))
        for name in gone:
            self._T.peers.forget(name)
        return gone

    def _make_digest(self):
        self._sequence += 1
        events, slow_events = self._forwarder.pressure.count_events()
        loads = {}
        for (name, _), state in self._T.states.items():
            if state.requests > 0:
                loads[name] = digests.Load(state.requests, state.token_layers)
        return digests.Digest(
            sender=self._settings.name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            loads=loads,
            faults=self._forwarder.list_faults(),
            crashes=self._forwarder.crashes.list_counts(),
            lease_version=self._placer.lease_version,
            events=events,
            slow_events=slow_events,
            crossings=self._T.crossings.list_rates(
                asyncio.get_running_loop().time()
            ),
        )

    def _take(self, digest, address):
        now = _read_clock()
        if self._T.peers.record_digest(digest, address, now):
            self._forwarder.crashes.record_heard(digest.sender, digest.crashes)
            self._forwarder.take_faults(digest.sender, digest.faults)
            if digest.lease_version:
                self._placer.hear_lease(digest.lease_version)

    def _note_foreign(self, reason):
        self._journal.write('digest:foreign', reason=reason)


def _read_clock():
    return time.monotonic()
