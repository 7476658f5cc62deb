"""Instances that share a store and serve each other, in virtual time."""

import asyncio
import random
import types

from sniperudder.entry import _feed
from sniperudder.entry.tests import _fleets
from sniperudder import feeds
from sniperudder import platform
from sniperudder import revisions
from sniperudder.testing import VirtualTimeLoop

TABLE = 'op'
KEY = 'config'

# The users' shortest bounds: a version is in force, and a machine or the store
# counts as undisturbed again, after these times. Seconds.
CONFIG_S = 2.0
CONTACT_S = 3.0

_STORE_LATENCY_S = 0.004
_PEER_LATENCY_S = 0.001
_STORE_TIMEOUT_S = 1.0
_CONNECT_TIMEOUT_S = 0.5
_DIGEST_INTERVAL_S = 0.25
_CHECK_INTERVAL_S = 0.1
# Length of a turn in which a configuration is read.
_TURN_S = 0.01

# What the store does with the calls of an instance.
SERVE, REJECT, IGNORE = 'serve', 'reject', 'ignore'


class SharedStore:
    """The platform's store with one table."""

    def __init__(self):
        self.era = 1
        self.version = 10
        self.row = platform.StoredRow(KEY, b'10', self.revision)
        self.forgotten_version = 0
        self.copies = []
        self.calls = 0
        self.mode = SERVE
        self.disturbed_at = -CONTACT_S
        self.written = [(10, -CONFIG_S)]
        self.changed = asyncio.Event()

    @property
    def revision(self):
        """State of the store."""
        return revisions.Revision(self.era, self.version)

    def write(self):
        """Write a new configuration; its value is the operators' version."""
        self.copies.append((read_time(), self.version, self.row))
        self.version += 3
        number = self.written[-1][0] + 3
        self.row = platform.StoredRow(KEY, b'%d' % number, self.revision)
        self.written.append((number, read_time()))
        self.wake()

    def restore(self, age_s):
        """Return to the state of some seconds ago, in a new era.

        The operators write the last configuration again a moment later.
        """
        lost = [copy for copy in self.copies if copy[0] > read_time() - age_s]
        if lost:
            _, self.version, self.row = lost[0]
        self.copies.clear()
        self.era += 1
        self.forgotten_version = self.version
        self.disturbed_at = read_time()
        self.wake()

    def write_again(self):
        """Write the last configuration again, which may have been lost."""
        self.version += 1
        number = self.written[-1][0]
        self.row = platform.StoredRow(KEY, b'%d' % number, self.revision)
        self.wake()

    def forget_history(self):
        """Drop the history of changes."""
        self.version += 1
        self.forgotten_version = self.version
        self.disturbed_at = read_time()
        self.wake()

    def wake(self):
        """Have waiting calls look again."""
        self.changed.set()
        self.changed = asyncio.Event()


class StoreClient:
    """The store as one instance sees it."""

    def __init__(self, store, instance):
        self._store = store
        self._instance = instance
        self.era = store.era

    async def read_table(self, table):
        """See `sniperudder.platform.Store`."""
        failure = await self._start_call(0.0)
        store = self._store
        return failure or self._read(store.row)

    async def read_changes(self, table, after, wait_s):
        """See `sniperudder.platform.Store`."""
        started_at = read_time()
        failure = await self._start_call(wait_s)
        if failure is not None:
            return failure
        store = self._store
        while True:
            if self._get_mode() == IGNORE:
                left_s = started_at + wait_s + _STORE_TIMEOUT_S - read_time()
                await asyncio.sleep(max(left_s, 0.0))
                return platform.Unavailable('timeout', False)
            if not store.forgotten_version <= after <= store.version:
                self._read()
                return platform.HistoryGone()
            if store.row.revision.version > after:
                return self._read(store.row)
            left_s = started_at + wait_s - read_time()
            if left_s <= 0:
                return self._read()
            try:
                async with asyncio.timeout(left_s):
                    await store.changed.wait()
            except TimeoutError:
                continue

    def _read(self, *rows):
        """Return rows, and report a new era as `platform.Store` does."""
        if self._store.era > self.era:
            self.era = self._store.era
            self._instance.feed.handle_restored()
        return platform.Rows(rows, self._store.revision)

    def _get_mode(self):
        if self._store.mode != SERVE:
            return self._store.mode
        return self._instance.store_mode

    async def _start_call(self, wait_s):
        self._store.calls += 1
        mode = self._get_mode()
        if mode == IGNORE:
            await asyncio.sleep(wait_s + _STORE_TIMEOUT_S)
            return platform.Unavailable('timeout', False)
        await asyncio.sleep(_STORE_LATENCY_S)
        if mode == REJECT:
            return platform.Unavailable('status 503', False)
        return None


class Instance:
    """One instance: its feed and what disturbs it."""

    def __init__(self, network, name, data_centre):
        self.network = network
        self.name = name
        self.data_centre = data_centre
        self.feed = None
        self.task = None
        self.store_mode = SERVE
        self.is_isolated = False
        self.disturbed_at = -CONTACT_S
        self.applied = []
        # Time for which each value has been read, seconds.
        self._read_s = {}

    @property
    def is_alive(self):
        """Whether its process runs."""
        return self.task is not None

    def start(self):
        """Start a process that knows nothing."""
        self.applied = []
        self._read_s = {}
        copy = feeds.TableCopy(TABLE, self._apply, _supersedes, self._prepare)
        self.feed = _feed.Feed(
            StoreClient(self.network.store, self),
            (copy,),
            self._call_peer,
            self.name,
            self.network.journal,
            {},
            {},
            {TABLE: _feed.CONFIGURATION_POLL_FRACTION * CONFIG_S},
            CONFIG_S,
        )
        names = self.network.list_names(self.data_centre)
        self.feed.set_members(
            {name: (name, 100.0) for name in names},
            len(names) < len(self.network.instances),
        )
        self.task = asyncio.create_task(self.feed.run())

    async def kill(self):
        """End the process."""
        task, self.task = self.task, None
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    def reaches(self, other):
        """Return whether messages pass between two instances."""
        return other.is_alive and not self.is_isolated | other.is_isolated

    async def _prepare(self, rows):
        for row in rows:
            self._read_s.setdefault(row.value, 0.0)
            while self._read_s[row.value] < self.network.reading_s:
                self._read_s[row.value] += _TURN_S
                await asyncio.sleep(_TURN_S)

    def _apply(self, rows, is_snapshot, is_restored):
        # As an instance does, which keeps the latest of the operators.
        for row in rows:
            if int(row.value) > max(self.applied, default=0):
                self.applied.append(int(row.value))

    async def _call_peer(self, address, target, body, timeout_s):
        peer = self.network.instances[address]
        ends_at = read_time() + timeout_s
        if not peer.is_alive and not self.is_isolated | peer.is_isolated:
            raise ConnectionRefusedError(address)
        if not self.reaches(peer):
            await asyncio.sleep(min(timeout_s, _CONNECT_TIMEOUT_S))
            raise TimeoutError(address)
        await asyncio.sleep(_PEER_LATENCY_S)
        caller = _Caller()
        request = types.SimpleNamespace(target=target.encode(), body=body)
        async with asyncio.timeout_at(ends_at):
            await peer.feed.handle_request(request, caller)
            if not self.reaches(peer):
                await asyncio.sleep(timeout_s)
        return caller.response


class _Caller:
    def __init__(self):
        self.response = None

    def send_response(self, status, headers, body):
        """See `CallerConnection`."""
        self.response = status, body


class Network:
    """Instances in several data centres, and their store.

    Parameters
    ----------
    sizes : dict of str to int
        Number of instances by data centre.
    reading_s : float
        Time in which an instance reads a configuration in turns, seconds.
    """

    def __init__(self, sizes, reading_s=0.0):
        self.store = SharedStore()
        self.reading_s = reading_s
        self.journal = _fleets.RecordingJournal()
        self.instances = {}
        for data_centre, size in sizes.items():
            for number in range(size):
                name = f'{data_centre}-{number}'
                self.instances[name] = Instance(self, name, data_centre)
        self.violations = []

    def list_names(self, data_centre):
        """Return the names of a data centre's instances."""
        return [
            name
            for name, instance in self.instances.items()
            if instance.data_centre == data_centre
        ]

    def get_reader(self, data_centre):
        """Return the instance that all members rank first."""
        ranked = feeds.rank_candidates(
            dict.fromkeys(self.list_names(data_centre), 100.0)
        )
        return self.instances[ranked[0]]

    async def run(self, case, check=True):
        """Run a case while all instances run, and check what must hold."""
        for instance in self.instances.values():
            instance.start()
            if self.reading_s:
                # It can't know the first version at once.
                instance.disturbed_at = read_time()
        tasks = [asyncio.create_task(self._exchange_versions())]
        if check:
            tasks.append(asyncio.create_task(self._check()))
        try:
            await case(self)
        finally:
            for instance in self.instances.values():
                if instance.is_alive:
                    await instance.kill()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _exchange_versions(self):
        while True:
            await asyncio.sleep(_DIGEST_INTERVAL_S)
            for sender in self.instances.values():
                for receiver in self.instances.values():
                    if (
                        sender is not receiver
                        and sender.is_alive
                        and sender.reaches(receiver)
                    ):
                        receiver.feed.record_peer_revisions(
                            sender.feed.get_revisions()
                        )

    async def _check(self):
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            for instance in self.instances.values():
                if instance.is_alive:
                    self._check_instance(instance)

    def _check_instance(self, instance):
        applied, now = instance.applied, read_time()
        if instance.task.done():
            self.violations.append((now, instance.name, 'ended', None))
        if applied != sorted(applied):
            self.violations.append((now, instance.name, 'reverted', applied))
        calm_since = now - CONTACT_S
        if max(instance.disturbed_at, self.store.disturbed_at) > calm_since:
            return
        due = max(
            version
            for version, at in self.store.written
            if at <= now - CONFIG_S
        )
        if not applied or applied[-1] < due:
            self.violations.append((now, instance.name, 'late', due))


_KINDS = ('kill', 'isolate', 'reject', 'ignore', 'store', 'forget')


def _supersedes(row, known):
    return int(row.value) >= int(known.value)


class FaultPlan:
    """Random faults, one after the other and overlapping."""

    def __init__(self, network, seed, restores=False):
        self._network = network
        self._rng = random.Random(seed)
        self._kinds = list(_KINDS)
        if restores:
            self._kinds.append('restore')

    async def run(self, duration_s):
        """Cause faults and write configurations for some time."""
        ends_at = read_time() + duration_s
        tasks = []
        while read_time() < ends_at:
            await asyncio.sleep(self._rng.expovariate(2.0))
            self._network.store.write()
            if self._rng.random() < 0.4:
                tasks.append(asyncio.create_task(self._cause_fault()))
        await asyncio.gather(*tasks)
        await asyncio.sleep(CONTACT_S + CONFIG_S)

    async def _cause_fault(self):
        kind = self._rng.choice(self._kinds)
        duration_s = self._rng.uniform(0.2, 8.0)
        if kind == 'forget':
            self._network.store.forget_history()
        elif kind == 'restore':
            await self._restore_store()
        elif kind == 'store':
            await self._disturb_store(duration_s)
        else:
            instance = self._rng.choice(list(self._network.instances.values()))
            await self._disturb_instance(instance, kind, duration_s)

    async def _disturb_store(self, duration_s):
        store = self._network.store
        store.mode = self._rng.choice((REJECT, IGNORE))
        await self._keep_disturbed(store, duration_s)
        store.mode = SERVE
        store.wake()

    async def _restore_store(self):
        store = self._network.store
        store.mode = self._rng.choice((SERVE, REJECT, IGNORE))
        await self._keep_disturbed(store, self._rng.uniform(0.0, 2.0))
        store.restore(self._rng.uniform(0.0, 10.0))
        store.mode = SERVE
        store.wake()
        await self._keep_disturbed(store, self._rng.uniform(0.0, 2.0))
        store.write_again()

    async def _disturb_instance(self, instance, kind, duration_s):
        if kind == 'kill' and instance.is_alive:
            await instance.kill()
        elif kind == 'isolate':
            instance.is_isolated = True
            instance.store_mode = IGNORE
        else:
            instance.store_mode = REJECT if kind == 'reject' else IGNORE
        self._network.store.wake()
        await self._keep_disturbed(instance, duration_s)
        instance.is_isolated = False
        instance.store_mode = SERVE
        if not instance.is_alive:
            instance.start()

    async def _keep_disturbed(self, target, duration_s):
        ends_at = read_time() + duration_s
        while read_time() < ends_at:
            target.disturbed_at = read_time()
            await asyncio.sleep(_CHECK_INTERVAL_S / 2)
        target.disturbed_at = read_time()


def run_network(sizes, case, reading_s=0.0):
    """Run a case on a network in virtual time and return the network."""

    async def run():
        network = Network(sizes, reading_s)
        await network.run(case)
        return network

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(run())


def read_time():
    """Return the loop's time, seconds."""
    return asyncio.get_running_loop().time()
