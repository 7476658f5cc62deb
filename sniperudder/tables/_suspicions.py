"""Contents that were in flight when an endpoint crashed."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Suspicion:
    """What is known of a content that may crash endpoints.

    Attributes
    ----------
    fingerprint : str
    crashes : frozenset of str
        Identifiers of the crashes at which it was in flight.
    updated_at : float
        Seconds.
    settled_at : float
        From when on a report can disprove the crashes, since a step
        that timed out may still be running, seconds.
    """

    fingerprint: str
    crashes: frozenset = frozenset()
    updated_at: float = 0.0
    settled_at: float = 0.0
