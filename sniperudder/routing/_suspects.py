"""Attribution of crashes to what the interrupted requests have in common."""

import collections
import dataclasses

# Crashes after which requests with a key are blocked: the users allow three by
# one request and five by a part. A part of requests that ran without a crash
# before is more likely to be there by coincidence.
MIN_CRASHES = 3
MIN_CRASHES_IF_SOUND_BEFORE = 5

# A key that shared fewer crashes than this explains none.
_MIN_RIVAL_CRASHES = 2

# Time within which endpoints that crash count as one crash, seconds: those of
# a rack fail together, and whatever their requests share is not the cause.
_SIMULTANEOUS_S = 0.1


@dataclasses.dataclass(slots=True)
class Crash:
    """A crash of one run of an endpoint.

    Attributes
    ----------
    at : float
        Loop time, seconds.
    victims : dict of str to int
        Number of requests that it interrupted as they began, by key; the
        largest one that any instance observed.
    """

    at: float
    victims: dict


def condemn(crashes, count_survivals, is_exclusive, blocks=()):
    """Return the keys that explain the crashes.

    The cause takes part in each crash, usually with a single request. What it
    shares its requests with takes part as often, but with more requests, or
    with others that ran on. Such a key is condemned only for crashes that no
    better suspect explains.

    Parameters
    ----------
    crashes : iterable of Crash
    count_survivals : callable
        Returns how many requests with a key did not crash an endpoint.
    is_exclusive : callable
        Tells whether a key belongs to a single request, which runs at one
        endpoint at a time, so that its crashes are never simultaneous.
    blocks : collection of frozenset of str
        Verdicts that were confirmed before; their crashes are explained.

    Returns
    -------
    list of frozenset of str
        Keys that cannot be told apart are in one set. Only a request that has
        all of them is to be blocked.

    Examples
    --------
    The route's part takes part in each crash with other requests as well.

    >>> victims = {'route': 3, 'bad': 1}
    >>> crashes = [Crash(float(n), dict(victims)) for n in range(3)]
    >>> condemn(crashes, lambda key: 0, lambda key: False)
    [frozenset({'bad'})]
    """
    by_key = collections.defaultdict(list)
    for crash in crashes:
        for key in crash.victims:
            by_key[key].append(crash)

    def count(key, crashes):
        times = sorted(crash.at for crash in crashes)
        if is_exclusive(key):
            return len(times)
        return _count_separate(times)

    counts = {
        key: count(key, found)
        for key, found in by_key.items()
        if len(found) >= _MIN_RIVAL_CRASHES
    }
    scores = {
        key: _score(key, by_key[key], count_survivals(key))
        for key in counts
        if counts[key] >= _MIN_RIVAL_CRASHES
    }
    groups = collections.defaultdict(set)
    for key, score in scores.items():
        unexplained = [
            crash
            for crash in by_key[key]
            if not any(
                scores.get(other, 0.0) > score for other in crash.victims
            )
            and not any(
                key not in keys and keys <= crash.victims.keys()
                for keys in blocks
            )
        ]
        needed = (
            MIN_CRASHES_IF_SOUND_BEFORE
            if count_survivals(key)
            else MIN_CRASHES
        )
        if count(key, unexplained) >= needed:
            same = score, tuple(crash.at for crash in unexplained)
            groups[same].add(key)
    return [frozenset(keys) for keys in groups.values()]


def _score(key, crashes, survivals):
    """Return how well a key explains crashes.

    The number of crashes counts more than that of the requests it took.
    """
    requests = sum(crash.victims[key] for crash in crashes)
    return len(crashes) ** 3 / (requests + survivals)


def _count_separate(times):
    """Count times, in ascending order, that are not simultaneous."""
    count = 0
    last = float('-inf')
    for at in times:
        if at - last > _SIMULTANEOUS_S:
            count += 1
            last = at
    return count


def drop_weakest(crashes, count):
    """Drop a number of suspects, those of the fewest crashes first.

    Among those of one crash, the ones of the crash with the most suspects are
    dropped first: requests with many parts each must not displace the others.

    Parameters
    ----------
    crashes : iterable of Crash
        Modified in place.
    count : int
    """
    crashes = list(crashes)
    shared = collections.Counter(
        key for crash in crashes for key in crash.victims
    )
    for limit in sorted(set(shared.values())):
        by_size = sorted(crashes, key=lambda crash: -len(crash.victims))
        for crash in by_size:
            for key in [k for k in crash.victims if shared[k] == limit]:
                if count <= 0:
                    return
                del crash.victims[key]
                count -= 1
