"""Blocked requests in the platform's store, where they outlive all instances.

They are a row of the list of instances, which all instances follow anyway. The
holder of the placement lease writes it. An operator lifts all blocks by
deleting it.
"""

import asyncio
import json

from sniperudder import platform

_CHECK_INTERVAL_S = 1.0

# Time after a failed write before the next attempt, seconds.
_RETRY_S = 3.0

# Largest number of blocks in the row, which holds up to 64 KB.
_MAX_STORED = 100


class BlockStore:
    """Keeps the blocked requests of all instances in the store.

    Parameters
    ----------
    store : sniperudder.platform.Store
    crash_monitor : sniperudder.forwarding.CrashMonitor
    holds_lease : callable
        Tells whether this instance writes the row.
    journal : Journal
    """

    def __init__(self, store, crash_monitor, holds_lease, journal):
        self._store = store
        self._crash_monitor = crash_monitor
        self._holds_lease = holds_lease
        self._journal = journal
        # Blocks of the row and its version; None before it has been read.
        self._stored = None
        self._row_version = 0

    def apply_row(self, row):
        """Apply the row as the store holds it now.

        Parameters
        ----------
        row : sniperudder.platform.StoredRow or None
            None, or without a value, if there is none.
        """
        if row is None or row.value is None:
            if self._stored:
                self._crash_monitor.lift_blocks('row deleted')
            self._stored, self._row_version = frozenset(), 0
            return
        try:
            stored = frozenset(
                frozenset(str(key) for key in keys)
                for keys in json.loads(row.value)['blocks']
            )
        except (KeyError, TypeError, ValueError) as error:
            self._journal.write('blocks:unreadable', reason=str(error))
            stored = frozenset()
        self._stored, self._row_version = stored, row.version
        self._crash_monitor.add_blocks(stored)

    async def maintain(self):
        """Write the row when the blocks have changed, until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            if not await self._write_changes():
                await asyncio.sleep(_RETRY_S)

    async def _write_changes(self):
        """Return whether the row was written or needs no change."""
        blocks = frozenset(self._crash_monitor.list_blocks()[-_MAX_STORED:])
        if self._stored in (None, blocks) or not self._holds_lease():
            return True
        value = {'blocks': sorted(sorted(keys) for keys in blocks)}
        outcome = await self._store.write_row(
            platform.INSTANCES_TABLE,
            platform.BLOCKS_KEY,
            json.dumps(value).encode() if blocks else None,
            self._row_version,
        )
        self._journal.write(
            'blocks:written', count=len(blocks), outcome=str(outcome)
        )
        if not isinstance(outcome, platform.Written):
            return False
        self._stored = blocks
        self._row_version = outcome.version if blocks else 0
        return True
