"""Request contents that were in flight at a possible crash."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Suspicion:
    """Request content that may cause endpoints to crash.

    Attributes
    ----------
    fingerprint : str
        Digest of organisation and content.
    crashes : frozenset of str
        Identifiers of crashes during which it was in flight.
    updated_at : float
        When a crash was last added, seconds.
    settled_at : float
        Time from which a load report can disprove the crashes, seconds.
        Before it, a step that timed out may still be running.
    """

    fingerprint: str
    crashes: frozenset = frozenset()
    updated_at: float = 0.0
    settled_at: float = 0.0
