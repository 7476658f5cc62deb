"""Blocked requests in the platform's store, where they outlive all instances.

They are a row of the list of instances, which all instances follow anyway. The
holder of the placement lease writes it. An operator lifts all blocks by
deleting it.
"""

import asyncio
import json

from sniperudder import platform
from sniperudder import revisions

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
        # Blocks of the row, None before it has been read; and its revision,
        # None if there is no row.
        self._stored = None
        self._row_revision = None

    def apply_row(self, row, is_restored=False):
        """Apply the row as the store holds it now.

        Parameters
        ----------
        row : sniperudder.platform.StoredRow or None
            None, or without a value, if there is none.
        is_restored : bool
            Whether the store was restored from a copy. The row then tells
            neither of new blocks nor of an operator who lifts them, but it
            may have to be written again.
        """
        if row is None or row.value is None:
            if self._stored and not is_restored:
                self._crash_monitor.lift_blocks('row deleted')
            self._stored, self._row_revision = frozenset(), None
            return
        try:
            stored = frozenset(
                frozenset(str(key) for key in keys)
                for keys in json.loads(row.value)['blocks']
            )
        except (KeyError, TypeError, ValueError) as error:
            self._journal.write('blocks:unreadable', reason=str(error))
            stored = frozenset()
        self._stored, self._row_revision = stored, row.revision
        if not is_restored:
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
            self._row_revision or revisions.Revision(self._store.era, 0),
        )
        self._journal.write(
            'blocks:written', count=len(blocks), outcome=str(outcome)
        )
        if not isinstance(outcome, platform.Written):
            return False
        self._stored = blocks
        self._row_revision = outcome.revision if blocks else None
        return True
