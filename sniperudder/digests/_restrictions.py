"""What instances tell each other of the restrictions of endpoints."""

import dataclasses

# Largest number of restrictions in a digest, so that it fits in a datagram
# beside the loads. The most recently stated ones are kept.
MAX_RESTRICTIONS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Restriction:
    """What a run of an endpoint asks of all instances.

    Attributes
    ----------
    leaving : bool
        Whether it accepts no new requests.
    rate_limit : float or None
        Requests per second that it accepts from all instances together; None
        if it states none any more.
    age_s : float
        Time since the response that stated the limit or none, seconds.
    """

    leaving: bool
    rate_limit: float | None
    age_s: float


def merge_restrictions(parts, ages_s):
    """Return what several digests tell together, limited in size.

    Parameters
    ----------
    parts : iterable of dict of (str, int) to Restriction
        By run id; see `sniperudder.fleet.Endpoint`.
    ages_s : iterable of float
        Time since each digest was received, seconds.

    Returns
    -------
    dict of (str, int) to Restriction

    Examples
    --------
    >>> old = {('gpu-1', 5): Restriction(True, 4.0, 0.1)}
    >>> new = {('gpu-1', 5): Restriction(False, 2.0, 0.2)}
    >>> merge_restrictions([old, new], [0.5, 0.0])
    {('gpu-1', 5): Restriction(leaving=True, rate_limit=2.0, age_s=0.2)}
    """
    merged = {}
    for part, age_s in zip(parts, ages_s):
        for run_id, told in part.items():
            told = dataclasses.replace(told, age_s=told.age_s + age_s)
            known = merged.get(run_id)
            if known is not None:
                newer = told if told.age_s < known.age_s else known
                told = dataclasses.replace(
                    newer, leaving=told.leaving or known.leaving
                )
            merged[run_id] = told
    newest = sorted(merged, key=lambda run_id: merged[run_id].age_s)
    return {run_id: merged[run_id] for run_id in newest[:MAX_RESTRICTIONS]}
