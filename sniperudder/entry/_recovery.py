"""Recovery of a configuration that the store has lost.

After the store was restored from a copy, it may hold an older configuration
until the operators write theirs again. Instances that run keep the one in
force. One that starts meanwhile reads the older one, and gets the other from a
peer, which tells the version that it has in force.
"""

import asyncio

from sniperudder.entry import _feed
from sniperudder import feeds
from sniperudder import platform
from sniperudder import revisions

# Time for which a peer may have a later configuration before it is asked for
# it; usually the feed brings it sooner. An instance that has just started asks
# at once, since nothing shows that what it read is current. Seconds.
_RECOVERY_DELAY_S = 1.0
_START_S = 5.0

_RETRY_INTERVAL_S = 0.25
_TIMEOUT_S = 0.4
_OK = 200


class ConfigurationRecovery:
    """Gets a later configuration from a peer that has it in force.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    copy : sniperudder.feeds.TableCopy
        Copy of the configurations' table.
    call_peer : callable
        See `Feed`.
    journal : Journal
    """

    def __init__(self, T, copy, call_peer, journal):
        self._T = T
        self._copy = copy
        self._call_peer = call_peer
        self._journal = journal
        # Versions in force at peers by address, as far as they are later.
        self._versions = {}
        self._is_behind = asyncio.Event()

    def record_peer(self, address, version):
        """Note the version of the configuration that a peer has in force.

        Parameters
        ----------
        address : str
            Address at which the peer serves its feed (``host:port``).
        version : int
            0 if it has none.
        """
        if version > self._get_own_version():
            self._versions[address] = version
            self._is_behind.set()

    async def run(self):
        """Ask peers for later configurations until cancelled."""
        start_ends_at = asyncio.get_running_loop().time() + _START_S
        while True:
            await self._is_behind.wait()
            is_starting = asyncio.get_running_loop().time() < start_ends_at
            if not is_starting or self._T.configuration is None:
                await asyncio.sleep(_RECOVERY_DELAY_S)
            address = self._choose_peer()
            if address is None:
                self._is_behind.clear()
                continue
            await self._ask(address)
            await asyncio.sleep(_RETRY_INTERVAL_S)

    def _get_own_version(self):
        configuration = self._T.configuration
        return configuration.version if configuration else 0

    def _choose_peer(self):
        """Return the address of the peer with the latest version, or None."""
        own = self._get_own_version()
        self._versions = {
            address: version
            for address, version in self._versions.items()
            if version > own
        }
        return max(self._versions, key=self._versions.get, default=None)

    async def _ask(self, address):
        version = self._versions.pop(address)
        request = feeds.FeedRequest(
            {platform.CONFIGURATION_TABLE: revisions.UNKNOWN}, 0.0
        )
        try:
            status, body = await self._call_peer(
                address,
                _feed.FEED_TARGET,
                feeds.encode_request(request),
                _TIMEOUT_S,
            )
            if status != _OK:
                raise feeds.FeedError(f'status {status}')
            reply = feeds.decode_reply(body)
        except (OSError, feeds.FeedError) as error:
            outcome = f'{type(error).__name__}: {error}'
        else:
            outcome = 'received'
            for changes in reply.changes:
                if changes.table == platform.CONFIGURATION_TABLE:
                    await self._copy.prepare(changes.rows)
                    self._copy.keep_newer_rows(changes.rows)
        self._journal.write(
            'configuration:asked for',
            str(version),
            peer=address,
            outcome=outcome,
            in_force=self._get_own_version(),
        )
