"""Exchange of digests with peers, and the list of instances.

A digest is a datagram in which an instance tells the others its load on each
endpoint, the endpoints and requests that it found faulty, and the placement
lease that it holds.
"""

import asyncio
import collections
import dataclasses
import json
import time

from sniperudder import clocks
from sniperudder import digests
from sniperudder import feeds
from sniperudder import forwarding
from sniperudder import platform
from sniperudder import revisions
from sniperudder import routing

# Interval between digests, and largest number of peers to which an instance
# sends its digest itself, so that it receives at most 100 per second. With
# more, one instance in each data centre adds the digests up for the others;
# there, the interval grows with the number of members for the same reason.
_MIN_DIGEST_INTERVAL_S = 0.25
_MAX_DIRECT_PEERS = 25
_DIGEST_INTERVAL_PER_MEMBER_S = 0.01

# Time without a sum after which the instance that sends it is taken to have
# failed, as a number of intervals, but at least a time; and the time for which
# it is then passed over, unless it is heard again. Digests are lost
# occasionally. Seconds.
_SILENT_INTERVALS = 3
_MIN_SILENCE_S = 1.0
_SILENT_EXCLUSION_S = 10.0

# Number of members that receive the others' digests, so that one is ready to
# take over.
_SUMMING_MEMBERS = 2

# Number of own digests that are kept to take them out of a sum.
_SENT_DIGESTS = 8

# Longest delay, drawn at random, after which an instance that is not listed
# writes its row again, so that the instances of a large fleet do not all call
# the store at once, seconds.
_MAX_LISTING_DELAY_S = 2.0

# Time after a failed attempt to write the own row, seconds.
_LISTING_RETRY_S = 3.0

# Interval at which rows of permanently gone instances are looked for.
_CLEANUP_INTERVAL_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Member:
    """A row of the platform's list of instances.

    Attributes
    ----------
    revision : sniperudder.revisions.Revision or None
        Revision of the row; None if the store has lost it.
    host : str
    port : int
        Port for messages between instances.
    data_centre : str
        Empty if the instance runs a version that does not state it.
    link_mbps : float
        Bandwidth of the instance's network link, Mbit/s; 0 if unknown.
    """

    revision: revisions.Revision | None
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
    recovery : ConfigurationRecovery
    """

    # The feed is set after construction, since its tables include the list of
    # instances, which this object applies.
    feed = None

    def __init__(
        self, T, store, settings, journal, forwarder, placer, recovery
    ):
        self._T = T
        self._store = store
        self._settings = settings
        self._journal = journal
        self._forwarder = forwarder
        self._placer = placer
        self._recovery = recovery
        # Set while the own row is not in the list.
        self._unlisted = asyncio.Event()
        # The platform's list of instances, by name.
        self._members = {}
        self._summing = feeds.SourceChoice(settings.name)
        self._summing_member = None
        # Time since which the member is expected to send sums, and since which
        # this instance has received the digests of all members.
        self._sum_heard_at = 0.0
        self._summing_since = None
        self._sent_digests = collections.deque(maxlen=_SENT_DIGESTS)
        self._incarnation = time.time_ns() // 1_000_000
        self._sequence = 0
        self._demands = {}
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
        self._forwarder.rerouter.watcher.close()

    async def send_digests(self):
        """Send digests periodically until cancelled."""
        watcher = self._forwarder.rerouter.watcher
        watcher.notify_peers = self._send_notice
        while True:
            interval_s = self._get_interval_s()
            await asyncio.sleep(interval_s)
            now = _read_monotonic_time()
            self._forwarder.load_shedder.update(interval_s)
            self._forwarder.crash_monitor.update()
            self._update_quotas(now)
            self._update_speeds(now)
            watcher.update(self._forwarder.has_early_checks)
            for name in self._T.peers.expire_loads(now):
                self._journal.write('instance:silent', name)
            if self._uses_sums():
                self._send_in_data_centre(now, interval_s)
                continue
            self._summing_member = self._summing_since = None
            addresses = self._T.peers.list_due_addresses(now)
            if addresses:
                self._exchange.send(self._make_digest(), addresses)

    def _send_notice(self, endpoint):
        """Tell all peers at once that an engine has died."""
        notice = digests.Digest(
            sender=self._settings.name,
            incarnation=self._incarnation,
            sequence=0,
            loads={},
            faults=(
                digests.Fault(
                    endpoint.id, endpoint.born_ms, forwarding.DEAD_AVOID_S
                ),
            ),
            scope=digests.Scope.NOTICE,
            data_centre=self._settings.data_centre,
        )
        peers = self._T.peers.peers.values()
        self._exchange.send(notice, [peer.address for peer in peers])

    def _update_quotas(self, now):
        # As told in the digest that is sent next.
        self._demands = self._forwarder.list_demands()
        routing.update_quotas(
            self._T,
            self._settings.name,
            self._T.peers.list_sharing_peers(now),
            # Sums hold no demands of single instances.
            None if self._uses_sums() else self._demands,
            clocks.read_clock(),
            self._forwarder.rng,
        )

    def _update_speeds(self, now):
        """Add what peers tell of the speed of endpoints to the own table."""
        told = {}
        if self._forwarder.has_early_checks:
            told = self._T.peers.merge_speeds(now)
        self._T.speeds.set_told(told, self._forwarder.now())

    def _uses_sums(self):
        return (
            len(self._T.peers.peers) > _MAX_DIRECT_PEERS
            and self._settings.name in self._members
        )

    def _get_interval_s(self):
        if not self._uses_sums():
            return _MIN_DIGEST_INTERVAL_S
        members = len(self._list_local_members())
        return max(
            _MIN_DIGEST_INTERVAL_S, members * _DIGEST_INTERVAL_PER_MEMBER_S
        )

    def _send_in_data_centre(self, now, interval_s):
        """Send the own digest to be added up, or the sum to the others."""
        self._choose_summing_member(now, interval_s)
        digest = self._make_digest()
        self._sent_digests.append(digest)
        if self._summing_member == self._settings.name:
            self._send_sums(digest, now)
            return
        self._summing_since = None
        addresses = [
            self._T.peers.peers[name].address
            for name in self._summing.list_first(_SUMMING_MEMBERS, now)
            if name in self._T.peers.peers
        ]
        self._exchange.send(digest, addresses)

    def _choose_summing_member(self, now, interval_s):
        silence_s = max(_MIN_SILENCE_S, _SILENT_INTERVALS * interval_s)
        name = self._summing_member
        if (
            name not in (None, self._settings.name)
            and now - self._sum_heard_at > silence_s
        ):
            self._summing.record_failure(name, now, _SILENT_EXCLUSION_S)
        chosen = self._summing.choose(now) or self._settings.name
        if chosen == name:
            return
        self._journal.write('digest:summed by', chosen, before=name)
        self._summing_member = chosen
        self._sum_heard_at = now
        if chosen == self._settings.name:
            self._summing_since = now
            self._T.peers.drop_summary()

    def _send_sums(self, own_digest, now):
        own = self._settings.data_centre
        local, remote = self._T.peers.list_digests(now, own)
        local_sum = _add_up(
            dataclasses.replace(own_digest, scope=digests.Scope.DATA_CENTRE),
            [(own_digest, 0.0), *local],
        )
        total = _add_up(
            dataclasses.replace(own_digest, scope=digests.Scope.FLEET),
            [(local_sum, 0.0), *remote],
        )
        addresses = self._T.peers.list_due_addresses(now, own)
        if addresses:
            self._exchange.send(total, addresses)
        self._exchange.send(local_sum, self._list_remote_addresses(now))

    def _list_remote_addresses(self, now):
        """Return to whom the sum of this data centre is sent in the others."""
        by_data_centre = collections.defaultdict(dict)
        for name, member in self._members.items():
            if member.data_centre != self._settings.data_centre:
                by_data_centre[member.data_centre][name] = member.link_mbps
        known = self._T.peers.list_summing_peers()
        addresses = []
        for data_centre, link_mbps in by_data_centre.items():
            peer = known.get(data_centre)
            if peer is not None:
                addresses.append(peer.address)
                continue
            ranked = feeds.rank_candidates(link_mbps)
            for name in ranked[:_SUMMING_MEMBERS]:
                addresses.append(self._T.peers.peers[name].address)
        return addresses

    def _list_local_members(self):
        own = self._settings.data_centre
        return {
            name: member
            for name, member in self._members.items()
            if member.data_centre == own
        }

    async def maintain_registration(self):
        """Keep this instance in the platform's list until cancelled."""
        await self._register()
        while True:
            await self._unlisted.wait()
            delay_s = self._forwarder.rng.uniform(0.0, _MAX_LISTING_DELAY_S)
            await asyncio.sleep(delay_s)
            if self._unlisted.is_set() and not await self._register():
                await asyncio.sleep(_LISTING_RETRY_S)

    async def _register(self):
        """Write the own row; return whether the store confirmed it."""
        self._unlisted.clear()
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
            self._unlisted.set()
            return False
        return True

    def apply_instances(self, rows, is_snapshot, is_restored=False):
        """Apply changes of the platform's list of instances.

        Parameters
        ----------
        rows : iterable of sniperudder.platform.StoredRow
        is_snapshot : bool
            Whether the rows are the whole list.
        is_restored : bool
            Whether the store was restored from a copy. Instances that are
            missing are then kept, since they write their rows again.
        """
        now = _read_monotonic_time()
        if is_snapshot:
            listed = {row.key for row in rows}
            for name in self._members.keys() - listed:
                if is_restored:
                    self._members[name] = dataclasses.replace(
                        self._members[name], revision=None
                    )
                else:
                    self._remove_peer(name)
        for row in rows:
            if row.value is None:
                self._remove_peer(row.key)
                continue
            try:
                value = platform.parse_object(row.value)
                member = _Member(
                    row.revision,
                    platform.decode_host(value),
                    platform.decode_port(value),
                    platform.get_field(value, 'data_centre', str, ''),
                    platform.get_field(value, 'link_mbps', float, 0.0),
                )
            except platform.DocumentError as error:
                self._log_invalid_data(f'row {row.key}: {error}')
                if row.key == self._settings.name:
                    # To be written again.
                    self._members.pop(row.key, None)
                continue
            self._members[row.key] = member
            if row.key != self._settings.name:
                self._T.peers.add_peer(
                    row.key,
                    (member.host, member.port),
                    now,
                    member.data_centre,
                )
        self._set_members()
        self._check_own_row()

    def _check_own_row(self):
        """Have the own row written again if it is missing or an old one."""
        own = self._members.get(self._settings.name)
        if (
            own is None
            or own.revision is None
            or own.host != self._settings.host
            or own.port != self._settings.peer_port
        ):
            self._unlisted.set()
        else:
            self._unlisted.clear()

    def _remove_peer(self, name):
        self._members.pop(name, None)
        if name in self._T.peers.peers:
            self._T.peers.remove_peer(name)

    def _set_members(self):
        local = self._list_local_members()
        self._summing.set_candidates(
            {name: member.link_mbps for name, member in local.items()}
        )
        self.feed.set_members(
            {
                name: (f'{member.host}:{member.port}', member.link_mbps)
                for name, member in local.items()
            },
            len(local) < len(self._members),
        )

    async def remove_gone_peers(self):
        """Remove permanently gone peers, periodically, until cancelled."""
        while True:
            await asyncio.sleep(_CLEANUP_INTERVAL_S)
            await self._remove_gone_peers(_read_monotonic_time())

    async def _remove_gone_peers(self, now):
        """Remove peers that have been silent for very long.

        The holder of the placement lease deletes their rows or, if digests
        are added up, the instance that does so in their data centre, once it
        would have heard them. The other instances remove a listed peer only
        after its row has been deleted.
        """
        for name in sorted(self._T.peers.list_gone_peers(now)):
            member = self._members.get(name)
            if member is None or member.revision is None:
                self._remove_peer(name)
                self._set_members()
                continue
            if not self._may_delete(member, now):
                continue
            outcome = await self._store.write_row(
                platform.INSTANCES_TABLE, name, None, member.revision
            )
            self._journal.write('instance:gone', name, outcome=str(outcome))
            if isinstance(outcome, platform.Written):
                self._remove_peer(name)
                self._set_members()

    def _may_delete(self, member, now):
        if not self._uses_sums():
            return self._placer.lease_revision is not None
        return (
            member.data_centre == self._settings.data_centre
            and self._summing_since is not None
            and now - self._summing_since > digests.REMOVE_AFTER_S
        )

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
            lease=self._placer.lease_revision or revisions.UNKNOWN,
            events=events,
            slow_events=slow_events,
            crossings=self._T.crossings.list_rates(
                asyncio.get_running_loop().time()
            ),
            data_centre=self._settings.data_centre,
            table_revisions=self.feed.get_revisions(),
            crash_report=self._forwarder.crash_monitor.make_report(),
            restrictions=self._forwarder.list_restrictions(),
            demands=self._demands,
            configuration_version=(
                self._T.configuration.version if self._T.configuration else 0
            ),
            speeds=(
                self._T.speeds.list_speeds(self._forwarder.now())
                if self._forwarder.has_early_checks
                else {}
            ),
        )

    def _handle_digest(self, digest, address):
        now = _read_monotonic_time()
        if digest.sender == self._settings.name:
            return
        if digest.scope is digests.Scope.NOTICE:
            self._apply_notice(digest)
            return
        if digest.scope is digests.Scope.FLEET:
            if not self._record_summary(digest, now):
                return
        elif not self._T.peers.record_digest(digest, address, now):
            return
        self._forwarder.crash_monitor.apply_report(
            digest.sender, digest.crash_report
        )
        self._forwarder.apply_fault_notices(digest.sender, digest.faults)
        self._forwarder.apply_restrictions(digest.sender, digest.restrictions)
        if digest.lease.version:
            self._placer.record_peer_lease(digest.lease)
        self.feed.record_peer_revisions(digest.table_revisions)
        self._recovery.record_peer(
            f'{address[0]}:{address[1]}', digest.configuration_version
        )

    def _apply_notice(self, notice):
        self._forwarder.apply_fault_notices(notice.sender, notice.faults)
        if self._forwarder.has_early_checks:
            watcher = self._forwarder.rerouter.watcher
            for fault in notice.faults:
                watcher.handle_notice((fault.endpoint, fault.born_ms))

    def _record_summary(self, total, now):
        """Store a sum of all digests; return whether it was accepted."""
        member = self._members.get(total.sender)
        if member is None or member.data_centre != self._settings.data_centre:
            self._log_invalid_data(f'sum of {total.sender}')
            return False
        # Also if it was passed over: it has returned.
        self._summing.record_success(total.sender)
        if self._summing.choose(now) != total.sender:
            return False
        self._sum_heard_at = now
        own = next(
            (
                digest
                for digest in reversed(self._sent_digests)
                if (digest.sender, digest.incarnation, digest.sequence)
                in total.included
            ),
            None,
        )
        if own is not None:
            total = digests.subtract_digest(total, own)
        self._T.peers.record_summary(total, now)
        return True

    def _log_invalid_data(self, reason):
        self._journal.write('digest:foreign', reason=reason)


def _read_monotonic_time():
    return time.monotonic()


def _add_up(header, entries):
    return digests.add_digests(
        header,
        [digest for digest, _ in entries],
        [age_s for _, age_s in entries],
    )
