"""Watching of tables in the platform's store."""

import asyncio
import math

from sniperudder import feeds
from sniperudder import platform

# Default of the maximum wait of one long poll, seconds.
LONG_POLL_S = 5.0

# Exponential backoff between calls to a failing store.
_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 0.8


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
    long_poll_s : float
        Maximum wait of one long poll, seconds. It bounds the time until a
        store that accepted the call but no longer responds is called again.

    Attributes
    ----------
    reachable : bool
        Whether the last call succeeded.
    succeeded_at : float
        Loop time of the last successful call, seconds.
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
        long_poll_s=LONG_POLL_S,
    ):
        self._store = store
        self._copy = copy
        self._journal = journal
        self._get_batch_delay_s = get_batch_delay_s
        self._start_delay_s = start_delay_s
        self._long_poll_s = long_poll_s
        self._backoff_s = _MIN_BACKOFF_S
        self._history_gone = False
        self.reachable = True
        self.succeeded_at = -math.inf
        self.on_reachable_changed = None

    async def run(self, poll_at_once=False):
        """Watch the table until cancelled.

        Parameters
        ----------
        poll_at_once : bool
            Whether the first poll returns without waiting for a change.
        """
        await asyncio.sleep(self._start_delay_s)
        self._start_delay_s = 0.0
        wait_s = 0.0 if poll_at_once else self._long_poll_s
        while True:
            # After a failure, the store is polled without waiting, since a
            # long poll would delay the detection of its recovery.
            await asyncio.sleep(
                await self.poll(wait_s if self.reachable else 0.0)
            )
            wait_s = self._long_poll_s

    async def poll(self, wait_s):
        """Call the store once.

        Parameters
        ----------
        wait_s : float
            Maximum time to wait for a change, seconds.

        Returns
        -------
        float
            Time to wait before the next call, seconds.
        """
        if self._history_gone or not self._copy.is_known:
            return await self._read_all()
        return await self._poll_changes(wait_s)

    async def _read_all(self):
        outcome = await self._store.read_table(self._copy.table)
        if isinstance(outcome, platform.Unavailable):
            return self._record_failure(outcome)
        self._record_success()
        await self._copy.prepare(outcome.rows)
        known = self._copy.revision
        if not self._update(outcome, True):
            # The store returned a stale snapshot; the local copy is newer.
            self._journal.write(
                'table:old',
                self._copy.table,
                revision=str(outcome.revision),
                known=str(known),
            )
            return _MAX_BACKOFF_S
        self._history_gone = False
        return 0.0

    async def _poll_changes(self, wait_s):
        after = self._copy.revision
        outcome = await self._store.read_changes(
            self._copy.table, after.version, wait_s
        )
        if isinstance(outcome, platform.Unavailable):
            return self._record_failure(outcome)
        if (
            isinstance(outcome, platform.HistoryGone)
            # Changes after the same version of another era.
            or outcome.revision.era != after.era
        ):
            self._journal.write(
                'table:gap',
                self._copy.table,
                known=str(after),
                era=self._store.era,
            )
            self._history_gone = True
            return await self._read_all()
        self._record_success()
        await self._copy.prepare(outcome.rows)
        self._log_skipped(outcome, after)
        self._update(outcome, False)
        if outcome.rows and self._get_batch_delay_s is not None:
            return self._get_batch_delay_s()
        return 0.0

    def _log_skipped(self, outcome, known):
        """Log that the store gave rows that the copy takes for known."""
        skipped = [row for row in outcome.rows if row.revision <= known]
        if skipped or outcome.revision < known:
            self._journal.write(
                'table:skipped',
                self._copy.table,
                keys=[row.key for row in skipped],
                revision=str(outcome.revision),
                known=str(known),
            )

    def _update(self, outcome, is_snapshot):
        return self._copy.update(
            feeds.Changes(
                self._copy.table, outcome.revision, is_snapshot, outcome.rows
            )
        )

    def _record_failure(self, outcome):
        if self.reachable:
            self.reachable = False
            self._journal.write(
                'platform:lost',
                self._copy.table,
                reason=outcome.reason,
                revision=str(self._copy.revision),
            )
            self._notify()
        backoff_s = self._backoff_s
        self._backoff_s = min(self._backoff_s * 2, _MAX_BACKOFF_S)
        return backoff_s

    def _record_success(self):
        self.succeeded_at = asyncio.get_running_loop().time()
        self._backoff_s = _MIN_BACKOFF_S
        if not self.reachable:
            self.reachable = True
            self._journal.write(
                'platform:regained',
                self._copy.table,
                revision=str(self._copy.revision),
            )
            self._notify()

    def _notify(self):
        if self.on_reachable_changed is not None:
            self.on_reachable_changed()
