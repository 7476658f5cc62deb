"""Copy of one of the store's tables, from which other instances are served.

The store numbers all changes of all tables. Several sources may report the
same changes to a copy, in any order: only what is newer than the copy is
applied, so a copy never reverts to an older state.
"""

from sniperudder.feeds import _records

# Number of deleted rows that a copy remembers. An instance whose copy is older
# than the oldest of them is sent the whole table.
_MAX_TOMBSTONES = 1_000


class TableCopy:
    """Copy of a table and the order in which its rows changed.

    Parameters
    ----------
    table : str
    apply : callable
        Called with the changed rows and with whether they are a snapshot of
        the whole table.

    Attributes
    ----------
    table : str
    version : int
        Store version up to which the copy is complete; never decreases.
    changed_version : int
        Store version of the last change of the table itself.
    is_known : bool
        Whether the table has been read since the start.
    on_applied : callable or None
        Called after rows have been applied.

    Examples
    --------
    >>> from sniperudder import platform
    >>> copy = TableCopy('servers', lambda rows, is_snapshot: None)
    >>> row = platform.StoredRow('gpu-1', b'{}', 5)
    >>> copy.update(_records.Changes('servers', 7, True, (row,)))
    True
    >>> copy.update(_records.Changes('servers', 6, True, ()))
    False
    >>> copy.collect_changes(7).rows
    ()
    >>> [row.key for row in copy.collect_changes(0).rows]
    ['gpu-1']
    """

    __slots__ = (
        '_apply',
        '_oldest_version',
        '_rows',
        '_tombstones',
        'changed_version',
        'is_known',
        'on_applied',
        'table',
        'version',
    )

    def __init__(self, table, apply):
        self.table = table
        self.version = 0
        self.changed_version = 0
        self.is_known = False
        self.on_applied = None
        self._apply = apply
        # By key, in the order of their last change; including deleted rows.
        self._rows = {}
        self._tombstones = 0
        # Changes before this version are not known one by one.
        self._oldest_version = 0

    def update(self, changes):
        """Apply changes that are newer than the copy.

        Parameters
        ----------
        changes : Changes
            Changes since a version that is at most that of the copy, or a
            snapshot.

        Returns
        -------
        bool
            Whether the changes were current; a snapshot that is older than
            the copy is ignored.
        """
        if changes.version < self.version:
            return False
        if changes.is_snapshot:
            if self.is_known and changes.version == self.version:
                return True
            self._replace_rows(changes)
            rows = changes.rows
        else:
            rows = tuple(
                row for row in changes.rows if row.version > self.version
            )
            for row in rows:
                self._store_row(row)
        self.version = changes.version
        if changes.is_snapshot or rows:
            self._apply(rows, changes.is_snapshot)
            if self.on_applied is not None:
                self.on_applied()
        return True

    def collect_changes(self, after):
        """Return what changed after a version, or a snapshot.

        Parameters
        ----------
        after : int
            Store version.

        Returns
        -------
        Changes
        """
        if after < self._oldest_version:
            rows = tuple(
                row for row in self._rows.values() if row.value is not None
            )
            return _records.Changes(self.table, self.version, True, rows)
        rows = []
        for row in reversed(self._rows.values()):
            if row.version <= after:
                break
            rows.append(row)
        rows.reverse()
        return _records.Changes(self.table, self.version, False, tuple(rows))

    def has_changes(self, after):
        """Return whether the table is known to have changed after a version.

        Parameters
        ----------
        after : int
            Store version; 0 if the asking instance does not know the table.
        """
        return self.is_known and (
            after < self._oldest_version or after < self.changed_version
        )

    def list_rows(self):
        """Return the rows of the table."""
        return [row for row in self._rows.values() if row.value is not None]

    def _replace_rows(self, changes):
        ordered = sorted(changes.rows, key=lambda row: row.version)
        deleted = self._rows.keys() - {row.key for row in ordered}
        self._rows = {row.key: row for row in ordered}
        self._tombstones = 0
        self._oldest_version = changes.version
        self.is_known = True
        newest = ordered[-1].version if ordered else 0
        # The version of a deletion that the snapshot reveals is not known.
        self.changed_version = max(
            self.changed_version, changes.version if deleted else newest
        )

    def _store_row(self, row):
        known = self._rows.pop(row.key, None)
        if known is not None and known.value is None:
            self._tombstones -= 1
        self._rows[row.key] = row
        self.changed_version = max(self.changed_version, row.version)
        if row.value is None:
            self._tombstones += 1
            if self._tombstones > _MAX_TOMBSTONES:
                self._drop_oldest_tombstone()

    def _drop_oldest_tombstone(self):
        for key, row in self._rows.items():
            if row.value is None:
                del self._rows[key]
                self._tombstones -= 1
                self._oldest_version = max(self._oldest_version, row.version)
                return
