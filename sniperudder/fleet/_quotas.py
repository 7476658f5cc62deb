"""Parts of endpoints' rate limits that this instance may use."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Quota:
    """Part of the rate limit of one run of an endpoint.

    Attributes
    ----------
    per_s : float
        Requests per second.
    tokens : float
        Number of requests that may be sent now.
    updated_at : float
        Time for which the number of tokens was computed, seconds.
    """

    per_s: float
    tokens: float
    updated_at: float


@dataclasses.dataclass(slots=True)
class QuotaTable:
    """Quotas by run of an endpoint.

    Attributes
    ----------
    quotas : dict of (str, int) to Quota
        Only for runs with a rate limit.
    updated_at : float
        Time of the last update, seconds; quotas expire if it is too old.
    settled_at : float
        Time from which this instance may use quotas, seconds.
    """

    quotas: dict = dataclasses.field(default_factory=dict)
    updated_at: float = float('-inf')
    settled_at: float = float('inf')
