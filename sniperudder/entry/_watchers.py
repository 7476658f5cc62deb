"""Following tables of the platform's store."""

import asyncio

from sniperudder import platform

# Longest wait for a change in one call, seconds: a store that took the
# call and fell silent is asked again after it.
_WAIT_S = 5.0

# Pauses between calls to a store that fails, seconds.
_FIRST_PAUSE_S = 0.1
_MAX_PAUSE_S = 0.8


class TableWatcher:
    """Keeps a copy of a table up to date.

    Parameters
    ----------
    store : sniperudder.platform.Store
    table : str
    apply : callable
        Told the changed rows, and whether they are the whole table.
    journal : Journal
    get_gather_s : callable, optional
        Returns the time for which further changes are gathered after one,
        seconds.

    Attributes
    ----------
    version : int
        Version of the store that the copy has seen; never goes back.
    reached : bool
        Whether the last call succeeded.
    """

    def __init__(self, store, table, apply, journal, get_gather_s=None):
        self._store = store
        self._table = table
        self._apply = apply
        self._journal = journal
        self._get_gather_s = get_gather_s
        self._pause_s = _FIRST_PAUSE_S
        self.version = 0
        self.reached = True

    async def run(self):
        """Follow the table until cancelled."""
        known = False
        while True:
            if known:
                known = await self._follow()
            else:
                known = await self._read_all()

    async def _read_all(self):
        outcome = await self._store.read_table(self._table)
        if isinstance(outcome, platform.Unavailable):
            await self._note_failure(outcome)
            return False
        self._note_success()
        if outcome.version < self.version:
            # An old reading: what is known is newer.
            self._journal.write(
                'table:old',
                self._table,
                version=outcome.version,
                known=self.version,
            )
            await asyncio.sleep(_MAX_PAUSE_S)
            return False
        self.version = outcome.version
        self._apply(outcome.rows, True)
        return True

    async def _follow(self):
        # A store that failed is asked for what it has now: a call that
        # may wait would also wait out the end of the failure.
        wait_s = _WAIT_S if self.reached else 0.0
        outcome = await self._store.read_changes(
            self._table, self.version, wait_s
        )
        if isinstance(outcome, platform.HistoryGone):
            self._journal.write('table:gap', self._table, known=self.version)
            return False
        if isinstance(outcome, platform.Unavailable):
            await self._note_failure(outcome)
            return True
        self._note_success()
        self._apply(outcome.rows, False)
        self.version = max(self.version, outcome.version)
        if outcome.rows and self._get_gather_s is not None:
            await asyncio.sleep(self._get_gather_s())
        return True

    async def _note_failure(self, outcome):
        if self.reached:
            self.reached = False
            self._journal.write(
                'platform:lost',
                self._table,
                reason=outcome.reason,
                version=self.version,
            )
        await asyncio.sleep(self._pause_s)
        self._pause_s = min(self._pause_s * 2, _MAX_PAUSE_S)

    def _note_success(self):
        self._pause_s = _FIRST_PAUSE_S
        if not self.reached:
            self.reached = True
            self._journal.write(
                'platform:regained', self._table, version=self.version
            )
