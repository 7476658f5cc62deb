"""Several real instances over loopback sockets, for tests."""

import asyncio
import contextlib

from scenarios import _processes
from sniperudder import entry
from sniperudder.entry.tests import _fleets
from standins import fleet as standins

START_S = 8.0
_POLL_S = 0.02


class Member:
    """A real instance on loopback addresses of its own."""

    def __init__(self, name, store_address, is_first_start=True):
        callers, ready, peers = _processes.find_addresses(3)
        self.journal = _fleets.RecordingJournal()
        self.settings = _fleets.make_settings(
            name=name,
            callers_address=callers,
            ready_address=ready,
            peer_port=int(peers.rpartition(':')[2]),
            platform_address=store_address,
            is_first_start=is_first_start,
        )
        self.instance = entry.Entry(
            self.settings, lambda: self.settings, self.journal
        )

    @property
    def name(self):
        """Name of the instance."""
        return self.settings.name

    @property
    def source(self):
        """Instance from which it takes the tables."""
        return self.instance._feed.source

    @property
    def alive_count(self):
        """Number of instances that it knows to live."""
        return self.instance._T.peers.count_alive()

    @property
    def version(self):
        """Version of the configuration in force."""
        configuration = self.instance._T.configuration
        return configuration and configuration.version


@contextlib.asynccontextmanager
async def run_members(count, engine=None):
    """Run instances of one data centre that share a store."""
    store = standins.StoreStandin()
    await store.start()
    configuration = standins.make_configuration(engine=engine)
    store.put_json('op', 'config', configuration)
    # Another data centre, so that one instance here reads the store.
    store.put_json(
        'instances',
        'entry-far',
        {'host': '127.0.0.1', 'port': 9, 'data_centre': 'south'},
    )
    members = [Member(f'entry-{n}', store.address) for n in range(count)]
    try:
        for member in members:
            await member.instance.start()
        await wait_until(
            lambda: len({member.source for member in members}) == 1, START_S
        )
        yield store, members
    finally:
        for member in members:
            await member.instance.close()
        await store.stop()


async def wait_until(condition, timeout_s):
    """Wait until a condition holds.

    Raises
    ------
    TimeoutError
        If it does not in time.
    """
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(_POLL_S)
