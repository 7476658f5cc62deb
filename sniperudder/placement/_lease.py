"""Which instance orders layers.

Pattern: the instance that gives orders dies, freezes or loses the store.
One row names the holder; each renewal gives the row a new version, and
an instance that has seen the same version for longer than the lease
takes it over, on the condition that the version still holds. Clocks of
instances are never compared. Two holders may overlap for a moment; each
order is therefore also conditional on the endpoint's count of orders.
"""

import dataclasses

# Seconds between renewals; each is one call to the store.
RENEW_S = 1.5

# Seconds without a renewal after which another instance takes over: two
# renewals may fail.
LEASE_S = 4.0

# Seconds after its last renewal during which a holder gives orders;
# shorter than the lease, for a holder that was paused.
ORDER_S = 3.0

# Seconds between two looks of an instance that does not hold the lease.
LOOK_S = 2.0


@dataclasses.dataclass(slots=True)
class LeaseView:
    """What an instance knows of the lease.

    Attributes
    ----------
    version : int
        Version of the row; 0 where there is none.
    seen_at : float
        When this version was seen first, seconds.
    held_at : float or None
        When this instance asked for its last renewal that succeeded;
        None where it does not hold the lease.
    """

    version: int = 0
    seen_at: float = 0.0
    held_at: float | None = None


def observe_lease(view, version, now):
    """Keep the version of the row as it was read."""
    if version != view.version:
        view.version = version
        view.seen_at = now
        view.held_at = None


def record_renewal(view, version, asked_at):
    """Keep that this instance wrote the row."""
    view.version = version
    view.seen_at = asked_at
    view.held_at = asked_at


def may_take(view, now):
    """Tell whether the lease is free, or its holder fell silent."""
    return view.version == 0 or now - view.seen_at > LEASE_S


def may_order(view, now):
    """Tell whether this instance may give orders now."""
    return view.held_at is not None and now - view.held_at < ORDER_S
