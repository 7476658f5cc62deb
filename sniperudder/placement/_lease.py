"""Lease that decides which instance orders endpoints to load layers.

The instance that gives orders may die, freeze or lose its connection to the
store. One row of the store names the holder of the lease, and each renewal
gives the row a new version. An instance that has seen the same version for
longer than the lease lasts takes the lease over, by a write that succeeds
only if the row still has this version. The clocks of different instances
are never compared. Two holders may overlap briefly, so each order is also
conditional on the number of orders that the endpoint has begun.

After the store was restored from a copy, the row may be an old one or missing
while its last holder still gives orders. All start to watch it anew.
"""

import dataclasses

from sniperudder import revisions

# Interval between renewals, seconds; each is one call to the store.
LEASE_RENEWAL_INTERVAL_S = 1.5

# Time without a renewal after which another instance takes over, seconds:
# long enough for two renewals to fail.
_LEASE_TIMEOUT_S = 4.0

# Time after its last renewal during which a holder gives orders, seconds:
# shorter than the lease, in case the holder was paused.
_ORDER_WINDOW_S = 3.0

# Interval at which instances without the lease read the row, seconds.
LEASE_POLL_INTERVAL_S = 2.0


@dataclasses.dataclass(slots=True)
class LeaseView:
    """State of the lease as one instance knows it.

    Attributes
    ----------
    revision : sniperudder.revisions.Revision
        Revision of the row; with version 0 if there is none.
    seen_at : float
        Time at which this revision was first seen, seconds; 0 before the first
        read.
    renewal_requested_at : float or None
        Time at which this instance requested its last successful renewal,
        seconds; None if it does not hold the lease.
    """

    revision: revisions.Revision = revisions.UNKNOWN
    seen_at: float = 0.0
    renewal_requested_at: float | None = None


def observe_lease(view, revision, now):
    """Update a view with a revision of the row that was read.

    One of an earlier era of the store is ignored.
    """
    if revision != view.revision and revision.era >= view.revision.era:
        view.revision = revision
        view.seen_at = now
        view.renewal_requested_at = None


def record_renewal(view, revision, requested_at):
    """Update a view after this instance acquired or renewed the lease.

    Parameters
    ----------
    view : LeaseView
    revision : sniperudder.revisions.Revision
        Revision that the write gave the row.
    requested_at : float
        Time at which the write was sent, seconds.
    """
    view.revision = revision
    view.seen_at = requested_at
    view.renewal_requested_at = requested_at


def may_acquire(view, now, was_never_held=False):
    """Return whether the lease is free or has expired.

    Parameters
    ----------
    view : LeaseView
    now : float
        Seconds.
    was_never_held : bool
        Whether a row that does not exist shows that there is no holder, and
        not that the store has lost it.
    """
    if not view.seen_at:
        return False
    if was_never_held and view.revision.version == 0:
        return True
    return now - view.seen_at > _LEASE_TIMEOUT_S


def may_order(view, now):
    """Return whether this instance may give orders now."""
    return (
        view.renewal_requested_at is not None
        and now - view.renewal_requested_at < _ORDER_WINDOW_S
    )
