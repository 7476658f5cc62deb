"""Copy of one of the store's tables, from which other instances are served.

The store numbers all changes of all tables. Several sources may report the
same changes to a copy, in any order: only what is newer than the copy is
applied, so a copy never reverts to an older state. After the store has been
restored from a copy of its own, its state is the newer one, although it may
lack what was known.
"""

from sniperudder.feeds import _records
from sniperudder import revisions

# Number of deleted rows that a copy remembers. An instance whose copy is older
# than the oldest of them is sent the whole table.
_MAX_TOMBSTONES = 1_000


class TableCopy:
    """Copy of a table and the order in which its rows changed.

    Parameters
    ----------
    table : str
    apply : callable
        Called with the changed rows, with whether they are a snapshot of the
        whole table, and with whether this is the first snapshot after the
        store was restored.
    supersedes : callable, optional
        Tells from two rows with the same key whether the first one replaces
        the second one. Given for a table whose rows state their own order:
        the newest of them is kept whatever the store has lost.
    prepare : callable, optional
        Coroutine function of rows that are about to be applied; does what
        would take long meanwhile, and gives way to other tasks.

    Attributes
    ----------
    table : str
    revision : sniperudder.revisions.Revision
        State of the store up to which the copy is complete; never decreases.
    changed_revision : sniperudder.revisions.Revision
        State of the store at the last change of the table itself.
    is_known : bool
        Whether the table has been read since the start.
    on_applied : callable or None
        Called after rows have been applied.

    Examples
    --------
    >>> from sniperudder import platform
    >>> from sniperudder.revisions import Revision
    >>> copy = TableCopy('servers', lambda *_: None)
    >>> row = platform.StoredRow('gpu-1', b'{}', Revision(1, 5))
    >>> copy.update(_records.Changes('servers', Revision(1, 7), True, (row,)))
    True
    >>> copy.update(_records.Changes('servers', Revision(1, 6), True, ()))
    False
    >>> copy.collect_changes(Revision(1, 7)).rows
    ()
    >>> [row.key for row in copy.collect_changes(Revision(0, 0)).rows]
    ['gpu-1']
    >>> copy.update(_records.Changes('servers', Revision(2, 6), True, ()))
    True
    """

    __slots__ = (
        '_apply',
        '_oldest_revision',
        '_prepare',
        '_rows',
        '_supersedes',
        '_tombstones',
        'changed_revision',
        'is_known',
        'on_applied',
        'revision',
        'table',
    )

    def __init__(self, table, apply, supersedes=None, prepare=None):
        self.table = table
        self.revision = revisions.UNKNOWN
        self.changed_revision = revisions.UNKNOWN
        self.is_known = False
        self.on_applied = None
        self._apply = apply
        self._supersedes = supersedes
        self._prepare = prepare
        # By key, in the order of their last change; including deleted rows.
        self._rows = {}
        self._tombstones = 0
        # Changes before this revision are not known one by one.
        self._oldest_revision = revisions.UNKNOWN

    @property
    def is_prepared(self):
        """Whether `prepare` may take long."""
        return self._prepare is not None

    async def prepare(self, rows):
        """Prepare an update with rows; without it, the update takes longer.

        The copy may change meanwhile.

        Parameters
        ----------
        rows : iterable of sniperudder.platform.StoredRow
        """
        if self._prepare is not None:
            await self._prepare(rows)

    def update(self, changes):
        """Apply changes that are newer than the copy.

        Parameters
        ----------
        changes : Changes
            Changes since a revision that is at most that of the copy, or a
            snapshot.

        Returns
        -------
        bool
            Whether the changes were current. Those older than the copy are
            not, nor are changes of a later era that are not a snapshot.
        """
        is_later_era = changes.revision.era > self.revision.era
        is_gap = is_later_era and self.is_known and not changes.is_snapshot
        if changes.revision < self.revision or is_gap:
            self.keep_newer_rows(changes.rows)
            return False
        if changes.is_snapshot:
            if self.is_known and changes.revision == self.revision:
                return True
            is_restored = is_later_era and self.is_known
            self._replace_rows(changes, is_restored)
            rows = changes.rows
        else:
            is_restored = False
            rows = tuple(
                row for row in changes.rows if row.revision > self.revision
            )
            for row in rows:
                self._store_row(row)
        self.revision = changes.revision
        if changes.is_snapshot or rows:
            self._notify(rows, changes.is_snapshot, is_restored)
        return True

    def collect_changes(self, after):
        """Return what changed after a revision, or a snapshot.

        Parameters
        ----------
        after : sniperudder.revisions.Revision

        Returns
        -------
        Changes
            Without rows if the revision is later than that of the copy.
        """
        if after > self.revision:
            return _records.Changes(self.table, self.revision, False, ())
        if self._must_send_all(after):
            return _records.Changes(
                self.table, self.revision, True, tuple(self.list_rows())
            )
        rows = []
        for row in reversed(self._rows.values()):
            if row.revision <= after:
                break
            rows.append(row)
        rows.reverse()
        return _records.Changes(self.table, self.revision, False, tuple(rows))

    def has_changes(self, after):
        """Return whether the table is known to have changed after a revision.

        Parameters
        ----------
        after : sniperudder.revisions.Revision
            `revisions.UNKNOWN` if the asking instance does not know the table.
        """
        return (
            self.is_known
            and after <= self.revision
            and (self._must_send_all(after) or after < self.changed_revision)
        )

    def list_rows(self):
        """Return the rows of the table."""
        return [row for row in self._rows.values() if row.value is not None]

    def _must_send_all(self, after):
        return after.era != self.revision.era or after < self._oldest_revision

    def _notify(self, rows, is_snapshot, is_restored=False):
        self._apply(rows, is_snapshot, is_restored)
        if self.on_applied is not None:
            self.on_applied()

    def _replace_rows(self, changes, is_restored):
        known_rows = self._rows
        ordered = sorted(changes.rows, key=lambda row: row.revision)
        deleted = known_rows.keys() - {row.key for row in ordered}
        self._rows = {row.key: row for row in ordered}
        self._tombstones = 0
        self._oldest_revision = changes.revision
        self.is_known = True
        newest = revisions.Revision(
            changes.revision.era,
            ordered[-1].revision.version if ordered else 0,
        )
        # The revision of a deletion that the snapshot reveals is not known.
        # What a restored store lacks was not deleted.
        is_deletion = deleted and not is_restored
        self.changed_revision = max(
            self.changed_revision, changes.revision if is_deletion else newest
        )
        if self._supersedes is not None:
            for key, known in known_rows.items():
                row = self._rows.get(key)
                if row is None or not self._supersedes(row, known):
                    self._rows[key] = known

    def _store_row(self, row):
        known = self._rows.get(row.key)
        self.changed_revision = max(self.changed_revision, row.revision)
        if (
            known is not None
            and self._supersedes is not None
            and not self._supersedes(row, known)
        ):
            return
        if known is not None:
            del self._rows[row.key]
            if known.value is None:
                self._tombstones -= 1
        self._rows[row.key] = row
        if row.value is None:
            self._tombstones += 1
            if self._tombstones > _MAX_TOMBSTONES:
                self._drop_oldest_tombstone()

    def keep_newer_rows(self, rows):
        """Keep rows that are newer by their own order than those known.

        Their revisions don't matter. Does nothing for a table whose rows state
        no order.

        Parameters
        ----------
        rows : iterable of sniperudder.platform.StoredRow
        """
        if self._supersedes is None:
            return
        newer = {
            row.key: row
            for row in rows
            if row.value is not None
            and (
                row.key not in self._rows
                or not self._supersedes(self._rows[row.key], row)
            )
        }
        if newer:
            # The rows are in the order of their revisions.
            others = {k: r for k, r in self._rows.items() if k not in newer}
            self._rows = {**newer, **others}
            self._notify(tuple(newer.values()), False)

    def _drop_oldest_tombstone(self):
        for key, row in self._rows.items():
            if row.value is None:
                del self._rows[key]
                self._tombstones -= 1
                self._oldest_revision = max(
                    self._oldest_revision, row.revision
                )
                return
