"""Tests of the placement lease with instances that pause and a store that
is restored.

The pattern: whatever happens to the store, the row of the lease and to the
instances, two instances never give orders at the same time.
"""

import asyncio
import json
import random

import testtools

from sniperudder.entry import _placer
from sniperudder.entry.tests import _fleets
from sniperudder import fleet
from sniperudder import platform
from sniperudder.testing import VirtualTimeLoop

_SIZES = (8, 60, 195)
_SEEDS = range(12)
_DURATION_S = 60.0

# Number of instances that read the store, and so compete for the lease.
_READERS = 6

_LATENCY_S = 0.004
_DIGEST_INTERVAL_S = 0.25
_CHECK_INTERVAL_S = 0.05


class SharedRow:
    """The store's row of the lease."""

    def __init__(self):
        self.era = 1
        self.version = 10
        self.row_version = 0
        self.history = []
        self.is_available = True
        self.calls = 0

    def write(self, expected_version):
        """Write the row if it has a version; return whether it had."""
        if self.row_version != expected_version:
            return False
        self.history.append((read_time(), self.version, self.row_version))
        self.version += 1
        self.row_version = self.version
        return True

    def restore(self, age_s):
        """Return to the state of some seconds ago, in a new era."""
        lost = [h for h in self.history if h[0] > read_time() - age_s]
        if lost:
            _, self.version, self.row_version = lost[0]
        self.history.clear()
        self.era += 1


class Connection:
    """Calls of one instance to the store."""

    def __init__(self, row, member):
        self._row = row
        self._member = member

    async def call(self, address, method, target, body, timeout_s, handle):
        """Carry out a call; see `sniperudder.platform.Store`."""
        self._row.calls += 1
        deadline = read_time() + timeout_s
        is_write = method == 'POST'
        delay_s = self._member.write_delay_s if is_write else 0.0
        await asyncio.sleep(_LATENCY_S + delay_s)
        if not self._row.is_available:
            status, value = 503, {}
        elif is_write:
            (condition,) = json.loads(body)['expected_rev']
            is_written = self._row.write(condition['row_version'])
            status = 200 if is_written else 412
            value = {} if is_written else {'rows': self._list_rows()}
        else:
            status, value = 200, {'rows': self._list_rows()}
        value = {'row_version': self._row.version, **value}
        era = self._row.era
        await asyncio.sleep(_LATENCY_S)
        while self._member.is_paused:
            await asyncio.sleep(self._member.resumes_at - read_time())
        if read_time() > deadline:
            raise TimeoutError(target)
        handle([(b'store-era', b'%d' % era)])
        return status, json.dumps(value).encode()

    def _list_rows(self):
        if not self._row.row_version:
            return []
        version = self._row.row_version
        return [{'key': 'placement', 'value': '', 'row_version': version}]


class Member:
    """An instance that may pause."""

    def __init__(self, row, name, competes):
        self.resumes_at = 0.0
        self.write_delay_s = 0.0
        self.competes = competes
        store = platform.Store(
            'h:1', Connection(row, self).call, None, self._handle_restored
        )
        self.placer = _placer.Placer(
            fleet.FleetTables(),
            store,
            None,
            name,
            _fleets.RecordingJournal(),
            lambda: self.competes,
            True,
        )

    @property
    def is_paused(self):
        """Whether it does nothing now."""
        return read_time() < self.resumes_at

    def _handle_restored(self, before, era):
        if before:
            self.placer.handle_restored(era)

    def may_order(self):
        """Return whether it would give orders."""
        return not self.is_paused and self.placer.lease_revision is not None


async def exchange_digests(members):
    """Tell all instances of the leases that others hold."""
    while True:
        await asyncio.sleep(_DIGEST_INTERVAL_S)
        held = [m.placer.lease_revision for m in members if m.may_order()]
        for member in members:
            for revision in held:
                if not member.is_paused:
                    member.placer.record_peer_lease(revision)


async def disturb(row, members, rng):
    """Restore the store, and pause and delay instances that compete."""
    while True:
        await asyncio.sleep(rng.expovariate(0.3))
        kind = rng.choice(('restore', 'pause', 'delay', 'compete'))
        holders = [m for m in members if m.may_order()]
        member = rng.choice(holders or members[:_READERS])
        if kind == 'restore':
            row.is_available = rng.random() < 0.5
            await asyncio.sleep(rng.uniform(0.0, 2.0))
            row.restore(rng.uniform(0.0, 12.0))
            row.is_available = True
        elif kind == 'pause':
            member.resumes_at = read_time() + rng.uniform(0.5, 9.0)
        elif kind == 'delay':
            member.write_delay_s = rng.choice((0.0, rng.uniform(0.5, 6.0)))
        else:
            member = rng.choice(members[:_READERS])
            member.competes = not member.competes


def read_time():
    """Return the loop's time, seconds."""
    return asyncio.get_running_loop().time()


class SingleHolderTest(testtools.TestCase):
    def run_fleet(self, size, seed):
        """Return when several instances would order, and how often one."""
        overlaps, held = [], []

        async def run():
            self.patch(_placer, '_read_boot_time', read_time)
            row = SharedRow()
            members = [
                Member(row, f'entry-{n}', n < _READERS) for n in range(size)
            ]
            tasks = [
                asyncio.create_task(coroutine)
                for coroutine in (
                    exchange_digests(members),
                    disturb(row, members, random.Random(seed)),
                    *(m.placer.maintain_lease() for m in members[:_READERS]),
                )
            ]
            while read_time() < _DURATION_S:
                await asyncio.sleep(_CHECK_INTERVAL_S)
                count = sum(member.may_order() for member in members)
                held.append(count)
                if count > 1:
                    overlaps.append((round(read_time(), 2), count))
                for task in tasks:
                    if task.done():
                        task.result()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
            runner.run(run())
        return overlaps, held.count(1) / len(held)

    # Guards against: a version of the lease that had been given out again let
    # a paused holder renew it, so that two instances gave orders.
    def test_at_most_one_instance_orders(self):
        for size in _SIZES:
            shares = []
            for seed in _SEEDS:
                overlaps, share = self.run_fleet(size, seed)
                self.assertEqual([], overlaps[:3], f'{size}, seed {seed}')
                shares.append(share)
            self.assertGreater(max(shares), 0.5)
            self.assertGreater(min(shares), 0.0)


class OutageTest(testtools.TestCase):
    """The store is away, and all instances compete for the lease."""

    _OUTAGE_S = 8.0

    def count_calls(self, size):
        """Return the calls in an outage, and whether one holds it later."""

        async def run():
            self.patch(_placer, '_read_boot_time', read_time)
            row = SharedRow()
            members = [Member(row, f'entry-{n}', True) for n in range(size)]
            tasks = [
                asyncio.create_task(member.placer.maintain_lease())
                for member in members
            ]
            await asyncio.sleep(6.0)
            row.is_available, before = False, row.calls
            await asyncio.sleep(self._OUTAGE_S)
            row.is_available, calls = True, row.calls - before
            await asyncio.sleep(10.0)
            held = sum(member.may_order() for member in members)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            return calls, held

        with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
            return runner.run(run())

    # Guards against: each instance called the store four times a second for a
    # lease that nobody could renew.
    def test_instances_call_less_and_less_often(self):
        for size in (9, 83, 390):
            calls, held = self.count_calls(size)
            self.assertLess(calls, size * self._OUTAGE_S)
            self.assertEqual(1, held)


class LostLeaseTest(testtools.TestCase):
    """The store was restored to a state without a holder of the lease."""

    def run_case(self, case):
        """Run a case with two instances, one of which holds the lease."""

        async def run():
            self.patch(_placer, '_read_boot_time', read_time)
            row = SharedRow()
            members = [Member(row, f'entry-{n}', True) for n in range(2)]
            tasks = [
                asyncio.create_task(member.placer.maintain_lease())
                for member in members
            ]
            await asyncio.sleep(3.0)
            holder, other = sorted(members, key=lambda m: not m.may_order())
            await case(row, holder, other)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
            runner.run(run())

    # Guards against: an instance took a lease that nobody seemed to hold while
    # its holder still gave orders.
    def test_lost_lease_is_not_taken_at_once(self):
        async def case(row, holder, other):
            held_until = read_time() + 3.0
            holder.competes = False
            row.restore(100.0)
            self.assertEqual(0, row.row_version)
            while read_time() < held_until:
                await asyncio.sleep(_CHECK_INTERVAL_S)
                self.assertFalse(other.may_order())
            await asyncio.sleep(5.0)
            self.assertTrue(other.may_order())

        self.run_case(case)

    def test_holder_that_learns_of_the_restoration_gives_no_more_orders(self):
        async def case(row, holder, other):
            self.assertTrue(holder.may_order())
            holder.placer.handle_restored(2)
            self.assertFalse(holder.may_order())

        self.run_case(case)
