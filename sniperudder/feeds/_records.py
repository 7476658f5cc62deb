"""Records that instances exchange about the store's tables."""

import dataclasses

from sniperudder import revisions


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes of a table.

    Attributes
    ----------
    table : str
    revision : sniperudder.revisions.Revision
        State of the store up to which the changes are complete.
    is_snapshot : bool
        Whether the rows are the whole table and not only changes.
    rows : tuple of sniperudder.platform.StoredRow
    """

    table: str
    revision: revisions.Revision
    is_snapshot: bool
    rows: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class FeedRequest:
    """Request for the changes of tables.

    Attributes
    ----------
    revisions : dict of str to sniperudder.revisions.Revision
        State of the store up to which the sender knows each table.
    wait_s : float
        Longest time to wait for a change, seconds.
    """

    revisions: dict
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class FeedReply:
    """Response to a `FeedRequest`.

    Attributes
    ----------
    depth : int
        Number of instances between the store and the receiver of the reply;
        0 if the sender has no current connection to the store, not even
        through other instances.
    changes : tuple of Changes
    age_s : float
        Time since the store last answered, seconds.
    """

    depth: int
    changes: tuple
    age_s: float
