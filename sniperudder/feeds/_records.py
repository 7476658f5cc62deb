"""Records that instances exchange about the store's tables."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes of a table.

    Attributes
    ----------
    table : str
    version : int
        Store version up to which the changes are complete.
    is_snapshot : bool
        Whether the rows are the whole table and not only changes.
    rows : tuple of sniperudder.platform.StoredRow
    """

    table: str
    version: int
    is_snapshot: bool
    rows: tuple


@dataclasses.dataclass(frozen=True, slots=True)
class FeedRequest:
    """Request for the changes of tables.

    Attributes
    ----------
    versions : dict of str to int
        Store version up to which the sender knows each table.
    wait_s : float
        Longest time to wait for a change, seconds.
    """

    versions: dict
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
