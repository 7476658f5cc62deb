"""Sharing of an endpoint's rate limit among all instances.

An endpoint in need states the number of requests per second that it accepts
from all instances together. Its limit is divided among a few holders, which
all instances choose alike, so that a small limit is not split into parts that
nobody can use. Each holder's part grows with the requests that it receives,
as told in digests, and is a small token bucket.

An instance uses its part only while it hears from the others in time. One that
was suspended, or has just started, waits until they have heard of it.
"""

import bisect
import hashlib

from sniperudder import fleet

# Time after which quotas expire unless they are updated, seconds: several
# intervals between digests, and less than the time after which others take
# over the part of a silent instance.
_VALIDITY_S = 1.5

# Time that an instance waits after a start or a suspension, seconds: long
# enough for the others to hear from it several times.
_SETTLE_S = 1.0

# Number of holders beyond the limit in requests per second. Each holder may
# send one saved request at any moment.
_EXTRA_HOLDERS = 2

# Lowest limit that is applied, requests per second. Without any requests, the
# end of a limit would never be learned.
_MIN_LIMIT_PER_S = 0.25

# Demand that is added to that of each holder, requests per second, so that one
# without requests can serve its first ones.
_MIN_DEMAND_PER_S = 0.25

# Time for which a holder may save up its part beyond one request, seconds.
# Without it, a large part would be lost to the variation of arrivals.
_SAVED_S = 0.5


def choose_holders(run_id, names, rate_limit):
    """Choose the instances that share the limit of an endpoint.

    A change of the set of instances changes only the holders next to the
    instance that was added or removed.

    Parameters
    ----------
    run_id : (str, int)
        See `sniperudder.fleet.Endpoint`.
    names : list of (int, str)
        All instances, as sorted by `rank_instances`.
    rate_limit : float
        Requests per second.

    Returns
    -------
    list of str

    Examples
    --------
    >>> names = rank_instances(f'entry-{number}' for number in range(195))
    >>> len(choose_holders(('gpu-1', 5), names, 4.3))
    6
    """
    return choose_watchers(run_id, names, int(rate_limit) + _EXTRA_HOLDERS)


def choose_watchers(run_id, names, count):
    """Choose a number of instances for an endpoint, alike at all instances.

    Parameters
    ----------
    run_id, names
        See `choose_holders`.
    count : int

    Returns
    -------
    list of str
        Fewer if there are fewer instances.
    """
    count = min(len(names), count)
    start = bisect.bisect(names, (_hash(f'{run_id[0]}/{run_id[1]}'), ''))
    return [names[(start + offset) % len(names)][1] for offset in range(count)]


def rank_instances(names):
    """Return instances in the order in which holders are chosen.

    Parameters
    ----------
    names : iterable of str

    Returns
    -------
    list of (int, str)
    """
    return sorted((_hash(name), name) for name in names)


def compute_share(name, holders, demands):
    """Return the part of a limit that one holder may use.

    Parameters
    ----------
    name : str
    holders : list of str
    demands : dict of str to float
        Requests per second by instance; those of unknown demand are missing.

    Returns
    -------
    float
        From 0 to 1; 0 if the instance is no holder.

    Examples
    --------
    >>> compute_share('a', ['a', 'b'], {'a': 2.75, 'b': 0.75})
    0.75
    >>> compute_share('a', ['a', 'b', 'c', 'd'], {})
    0.25
    """
    if name not in holders:
        return 0.0
    known = [demands[holder] for holder in holders if holder in demands]
    mean = sum(known) / len(known) if known else 1.0
    weights = {
        holder: demands.get(holder, mean) + _MIN_DEMAND_PER_S
        for holder in holders
    }
    return weights[name] / sum(weights.values())


def update_quotas(T, name, peers, demands, now, rng):
    """Compute this instance's part of each limit; to be called regularly.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    name : str
        Name of this instance.
    peers : dict of str to sniperudder.digests.Peer
        The other instances that may use a part.
    demands : dict of str to float or None
        Requests per second that this instance receives, by service, as told
        to the others; None if instances do not hear the demand of each other.
    now : float
        Time of `sniperudder.clocks.read_clock`, seconds.
    rng : random.Random
    """
    table = T.quotas
    if not T.instances_known:
        return
    if now - table.updated_at > _VALIDITY_S:
        # Others may have taken over the parts of this instance.
        table.settled_at = now + _SETTLE_S
        for quota in table.quotas.values():
            quota.tokens = 0.0
    table.updated_at = now
    limits = T.notices.list_limits()
    if not limits:
        table.quotas.clear()
        return
    names = rank_instances([name, *peers])
    services = {e.id: e.service for e in T.endpoints.values()}
    by_service = {}
    quotas = {}
    for run_id, rate_limit in limits.items():
        service = services.get(run_id[0])
        if service is None:
            continue
        if service not in by_service:
            by_service[service] = _list_demands(name, peers, demands, service)
        rate_limit = max(rate_limit, _MIN_LIMIT_PER_S)
        holders = choose_holders(run_id, names, rate_limit)
        share = compute_share(name, holders, by_service[service])
        if not share:
            continue
        quota = table.quotas.get(run_id)
        if quota is None:
            # At random, so that the holders' first requests are spread.
            quota = fleet.Quota(0.0, rng.random(), now)
        _refill(quota, now)
        quota.per_s = rate_limit * share
        quotas[run_id] = quota
    table.quotas = quotas


def has_quota(T, endpoint, now):
    """Return whether a rate limit leaves room for a request now.

    Parameters
    ----------
    T : sniperudder.fleet.FleetTables
    endpoint : sniperudder.fleet.Endpoint
    now : float
        See `update_quotas`.

    Returns
    -------
    bool
    """
    run_id = endpoint.id, endpoint.born_ms
    if T.notices.get(run_id).rate_limit is None:
        return True
    table = T.quotas
    if now < table.settled_at or now - table.updated_at > _VALIDITY_S:
        return False
    quota = table.quotas.get(run_id)
    if quota is None:
        return False
    _refill(quota, now)
    return quota.tokens >= 1.0


def spend_quota(T, endpoint, now):
    """Take a request from the quota.

    Returns
    -------
    bool
        Whether the quota allowed it, or there is no limit.
    """
    if not has_quota(T, endpoint, now):
        return False
    quota = T.quotas.quotas.get((endpoint.id, endpoint.born_ms))
    if quota is not None:
        quota.tokens -= 1.0
    return True


def return_quota(T, endpoint):
    """Return a request to the quota, as it was not sent."""
    quota = T.quotas.quotas.get((endpoint.id, endpoint.born_ms))
    if quota is not None:
        quota.tokens = min(_get_max_tokens(quota), quota.tokens + 1.0)


def _list_demands(name, peers, demands, service):
    if demands is None:
        return {}
    by_name = {
        peer_name: peer.demands.get(service, 0.0)
        for peer_name, peer in peers.items()
        if peer.demands
    }
    by_name[name] = demands.get(service, 0.0)
    return by_name


def _refill(quota, now):
    quota.tokens = min(
        _get_max_tokens(quota),
        quota.tokens + quota.per_s * max(now - quota.updated_at, 0.0),
    )
    quota.updated_at = now


def _get_max_tokens(quota):
    return 1.0 + quota.per_s * _SAVED_S


def _hash(text):
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest)
