"""Watching of tables in the platform's store."""

import asyncio

from sniperudder import feeds
from sniperudder import platform

# Maximum wait of one long poll. It bounds the time until a store that accepted
# the call but no longer responds is called again.
_LONG_POLL_S = 5.0

# Exponential backoff between calls to a failing store.
_MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8


class TableWatcher:
    """Keeps a local copy of a table up to date.

    Parameters
    ----------
    store : sniperudder.platform.Store
    copy : sniperudder.feeds.TableCopy
    journal : Journal
    get_batch_delay_s : callable, optional
        Returns the time to wait after a change, so that further changes are
        read in one batch, seconds.
    start_delay_s : float
        Time before the first read, seconds.

    Attributes
    ----------
    reachable : bool
        Whether the last call succeeded.
    max_backoff_s : float
        Longest time between calls to a failing store, seconds.
    on_reachable_changed : callable or None
        Called after each change of `reachable`.
    """

    def __init__(
        self,
        store,
        copy,
        journal,
        get_batch_delay_s=None,
        start_delay_s=0.0,
    ):
        self._store = store
        self._copy = copy
        self._journal = journal
        self._get_batch_delay_s = get_batch_delay_s
        self._start_delay_s = start_delay_s
        self._backoff_s = _MIN_BACKOFF_S
        self._history_gone = False
        self.reachable = True
        self.max_backoff_s = MAX_BACKOFF_S
        self.on_reachable_changed = None

    async def run(self, first_wait_s=_LONG_POLL_S):
        """Watch the table until cancelled.

        Parameters
        ----------
        first_wait_s : float
            Longest time that the first long poll waits, seconds.
        """
        await asyncio.sleep(self._start_delay_s)
        self._start_delay_s = 0.0
        wait_s = first_wait_s
        while True:
            if self._history_gone or not self._copy.is_known:
                await self._read_all()
            else:
                # After a failure, the store is polled without waiting, since
                # a long poll would delay the detection of its recovery.
                await self._poll_changes(wait_s if self.reachable else 0.0)
            wait_s = _LONG_POLL_S

    async def _read_all(self):
        outcome = await self._store.read_table(self._copy.table)
        if isinstance(outcome, platform.Unavailable):
            await self._record_failure(outcome)
            return
        self._record_success()
        known_version = self._copy.version
        if not self._update(outcome, True):
            # The store returned a stale snapshot; the local copy is newer.
            self._journal.write(
                'table:old',
                self._copy.table,
                version=outcome.version,
                known=known_version,
            )
            await asyncio.sleep(MAX_BACKOFF_S)
            return
        self._history_gone = False

    async def _poll_changes(self, wait_s):
        after = self._copy.version
        outcome = await self._store.read_changes(
            self._copy.table, after, wait_s
        )
        if isinstance(outcome, platform.HistoryGone):
            self._journal.write('table:gap', self._copy.table, known=after)
            self._history_gone = True
            return
        if isinstance(outcome, platform.Unavailable):
            await self._record_failure(outcome)
            return
        self._record_success()
        self._update(outcome, False)
        if outcome.rows and self._get_batch_delay_s is not None:
            await asyncio.sleep(self._get_batch_delay_s())

    def _update(self, outcome, is_snapshot):
        return self._copy.update(
            feeds.Changes(
                self._copy.table, outcome.version, is_snapshot, outcome.rows
            )
        )

    async def _record_failure(self, outcome):
        if self.reachable:
            self.reachable = False
            self._journal.write(
                'platform:lost',
                self._copy.table,
                reason=outcome.reason,
                version=self._copy.version,
            )
            self._notify()
        await asyncio.sleep(self._backoff_s)
        self._backoff_s = min(self._backoff_s * 2, self.max_backoff_s)

    def _record_success(self):
        self._backoff_s = _MIN_BACKOFF_S
        if not self.reachable:
            self.reachable = True
            self._journal.write(
                'platform:regained',
                self._copy.table,
                version=self._copy.version,
            )
            self._notify()

    def _notify(self):
        if self.on_reachable_changed is not None:
            self.on_reachable_changed()
