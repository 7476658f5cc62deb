"""Watching of tables in the platform's store."""

import asyncio

from sniperudder import platform

# Maximum wait of one long poll. It bounds the time until a store that accepted
# the call but no longer responds is called again.
_LONG_POLL_S = 5.0

# Exponential backoff between calls to a failing store.
_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 0.8


class TableWatcher:
    """Keeps a local copy of a table up to date.

    Parameters
    ----------
    store : sniperudder.platform.Store
    table : str
    apply : callable
        Called with the changed rows and with whether they are a snapshot of
        the whole table.
    journal : Journal
    get_batch_delay_s : callable, optional
        Returns the time to wait after a change, so that further changes are
        read in one batch, seconds.

    Attributes
    ----------
    version : int
        Store version of the copy; never decreases.
    reachable : bool
        Whether the last call succeeded.
    """

    def __init__(self, store, table, apply, journal, get_batch_delay_s=None):
        self._store = store
        self._table = table
        self._apply = apply
        self._journal = journal
        self._get_batch_delay_s = get_batch_delay_s
        self._backoff_s = _MIN_BACKOFF_S
        self.version = 0
        self.reachable = True

    async def run(self):
        """Watch the table until cancelled."""
        is_current = False
        while True:
            if is_current:
                is_current = await self._poll_changes()
            else:
                is_current = await self._read_all()

    async def _read_all(self):
        outcome = await self._store.read_table(self._table)
        if isinstance(outcome, platform.Unavailable):
            await self._record_failure(outcome)
            return False
        self._record_success()
        if outcome.version < self.version:
            # The store returned a stale snapshot; the local copy is newer.
            self._journal.write(
                'table:old',
                self._table,
                version=outcome.version,
                known=self.version,
            )
            await asyncio.sleep(_MAX_BACKOFF_S)
            return False
        self.version = outcome.version
        self._apply(outcome.rows, True)
        return True

    async def _poll_changes(self):
        # After a failure, the store is polled without waiting, since a long
        # poll would delay the detection of its recovery.
        wait_s = _LONG_POLL_S if self.reachable else 0.0
        outcome = await self._store.read_changes(
            self._table, self.version, wait_s
        )
        if isinstance(outcome, platform.HistoryGone):
            self._journal.write('table:gap', self._table, known=self.version)
            return False
        if isinstance(outcome, platform.Unavailable):
            await self._record_failure(outcome)
            return True
        self._record_success()
        self._apply(outcome.rows, False)
        self.version = max(self.version, outcome.version)
        if outcome.rows and self._get_batch_delay_s is not None:
            await asyncio.sleep(self._get_batch_delay_s())
        return True

    async def _record_failure(self, outcome):
        if self.reachable:
            self.reachable = False
            self._journal.write(
                'platform:lost',
                self._table,
                reason=outcome.reason,
                version=self.version,
            )
        await asyncio.sleep(self._backoff_s)
        self._backoff_s = min(self._backoff_s * 2, _MAX_BACKOFF_S)

    def _record_success(self):
        self._backoff_s = _MIN_BACKOFF_S
        if not self.reachable:
            self.reachable = True
            self._journal.write(
                'platform:regained', self._table, version=self.version
            )
