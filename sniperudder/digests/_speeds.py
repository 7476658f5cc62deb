"""What instances tell each other of the speed of endpoints.

Each instance of a large fleet passes on few streams, too few to tell which of
the stages of a slow one is slow. All of them together pass several streams
through each stage.
"""

import dataclasses

# Largest number of endpoints in a digest, so that it fits in a datagram beside
# the loads. Those that were sampled last are kept.
MAX_SPEEDS = 250

# Difference between the ages of two entries above which only the newer one
# counts, seconds. A fast sample from before an engine became slow hides for as
# long that it is slow.
_WINDOW_S = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Speed:
    """Speed of a run of an endpoint, as seen by one instance or several.

    Attributes
    ----------
    samples : int
        Number of samples of streams.
    slowness : float
        Time per step divided by the expected time, in the fastest sample.
    age_s : float
        Time since the last sample, seconds.
    """

    samples: int
    slowness: float
    age_s: float


def merge_speeds(parts, ages_s):
    """Return what several digests tell together, limited in size.

    Parameters
    ----------
    parts : iterable of dict of (str, int) to Speed
        By run id; see `sniperudder.fleet.Endpoint`.
    ages_s : iterable of float
        Time since each digest was received, seconds.

    Returns
    -------
    dict of (str, int) to Speed

    Examples
    --------
    >>> slow = {('gpu-1', 5): Speed(1, 4.0, 0.1)}
    >>> fast = {('gpu-1', 5): Speed(2, 1.0, 0.3)}
    >>> merge_speeds([slow, fast], [0.0, 0.0])
    {('gpu-1', 5): Speed(samples=3, slowness=1.0, age_s=0.1)}
    >>> merge_speeds([slow, fast], [0.0, 5.0])
    {('gpu-1', 5): Speed(samples=1, slowness=4.0, age_s=0.1)}
    """
    merged = {}
    for part, age_s in zip(parts, ages_s):
        for run_id, told in part.items():
            told = dataclasses.replace(told, age_s=told.age_s + age_s)
            known = merged.get(run_id)
            merged[run_id] = told if known is None else _merge(known, told)
    newest = sorted(merged, key=lambda run_id: merged[run_id].age_s)
    return {run_id: merged[run_id] for run_id in newest[:MAX_SPEEDS]}


def _merge(one, other):
    newer, older = (one, other) if one.age_s <= other.age_s else (other, one)
    if older.age_s - newer.age_s > _WINDOW_S:
        return newer
    return Speed(
        newer.samples + older.samples,
        min(newer.slowness, older.slowness),
        newer.age_s,
    )
