"""Tests of values that other writers and callers choose."""

import asyncio
import json
import time

import testtools

from sniperudder.entry.tests import _fleets
from standins import fleet as standins

# A number of 96 bits.
_LARGE = 2**95 + 1


def make_entry(**changes):
    """Return a foreign entry of the plain service ``desk``."""
    return {
        'service': 'desk',
        'address': '127.0.0.1:1',
        'zone': 'north',
        'slots': 6,
        'state': 'ready',
        'born': 5,
        **changes,
    }


class ForeignEntryTest(testtools.TestCase):
    """An entry of another writer, at whose address nothing listens."""

    def run_beside(self, value):
        """Send requests beside a foreign entry; return statuses and faults."""
        desk = _fleets.create_desk()

        async def run():
            async with _fleets.run_fleet(desk) as test_fleet:
                # Digests are sent only if there is a peer.
                test_fleet.instance._T.peers.add_peer(
                    'entry-2', ('127.0.0.1', 9), time.monotonic()
                )
                test_fleet.store.put('servers', 'i-foreign', value)
                await asyncio.sleep(0.4)
                statuses = []
                for _ in range(12):
                    statuses.append((await test_fleet.send('/safe/a'))[0])
                    await asyncio.sleep(0.05)
                statuses.append(await test_fleet.get_readiness())
                stopping = test_fleet.instance._stopping.is_set()
                faults = test_fleet.journal.list_events('instance:fault')
                return statuses, stopping, faults

        return asyncio.run(run())

    # Guards against: an entry whose start took more than 64 bits was named to
    # the peers after a failed send, and could not be encoded, which ended the
    # process.
    def test_start_of_more_than_64_bits_does_not_end_the_instance(self):
        entry = json.dumps(make_entry(born=_LARGE)).encode()
        statuses, stopping, faults = self.run_beside(entry)
        self.assertEqual(([200] * 13, False, []), (statuses, stopping, faults))

    # Guards against: an address that can't be connected to raised something
    # else than OSError, so the entry was never avoided.
    def test_impossible_addresses_name_no_endpoint(self):
        for address in (
            '127.0.0.1:99999',
            '127.0.0.1:0',
            '127.0.0.1:\u0661',
            'a\0b:80',
            f'{"x" * 70}.example:80',
            '\ud800:80',
        ):
            entry = json.dumps(make_entry(address=address)).encode()
            statuses, _, faults = self.run_beside(entry)
            self.assertEqual(([200] * 13, []), (statuses, faults), address)


class ForeignEngineTest(testtools.TestCase):
    # Guards against: an entry with an enormous range of layers was counted
    # through for each stream without a chain, which held the event loop.
    def test_enormous_range_of_layers_does_not_hold_the_loop(self):
        engine = _fleets.create_engine('gpu-1', layers=(0, 4))
        entry = make_entry(
            service='llm', kind='big', layers={'from': 5, 'to': 2 * 10**7}
        )

        async def run():
            profile = standins.make_engine(accelerators=_fleets.ACCELERATORS)
            async with _fleets.run_fleet(engine, engine=profile) as fleet:
                fleet.store.put_json('servers', 'i-foreign', entry)
                await asyncio.sleep(0.4)
                started_at = time.monotonic()
                status, _, _ = await fleet.send('/stream/a')
                return status, time.monotonic() - started_at

        status, elapsed_s = asyncio.run(run())
        self.assertEqual(503, status)
        self.assertTrue(elapsed_s < 1.0, elapsed_s)


class CallerValueTest(testtools.TestCase):
    # Guards against: the sum of token counts of callers did not fit in a
    # digest, which ended the process.
    def test_odd_headers_cost_at_most_their_request(self):
        engine = _fleets.create_engine('gpu-1', layers=(0, 8))
        odd = ['9' * 30, '9' * 5000, '-1', 'nan', 'inf', '1e400', '\u0661']

        async def run():
            profile = standins.make_engine(accelerators=_fleets.ACCELERATORS)
            async with _fleets.run_fleet(engine, engine=profile) as fleet:
                engine.event_s = 0.3
                for value in odd:
                    value = value.encode()
                    for headers in (
                        [('X-Sniperudder-Token-Count', value + b',' + value)],
                        [('X-Sniperudder-Length-Hint', value)],
                        [('X-Sniperudder-Request-Deadline', value)],
                        [('Last-Event-Id', value)],
                    ):
                        sending = fleet.send('/stream/a', headers=headers)
                        try:
                            async with asyncio.timeout(0.4):
                                await sending
                        except (TimeoutError, OSError):
                            pass
                status, _, _ = await fleet.send('/stream/a')
                faults = fleet.journal.list_events('instance:fault')
                return status, fleet.instance._stopping.is_set(), faults

        status, stopping, faults = asyncio.run(run())
        self.assertEqual((200, False, []), (status, stopping, faults))
