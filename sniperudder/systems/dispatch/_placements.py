"""Policies for placing streams on endpoints.

A placement determines which instance allocates the slots of a model and
which endpoints it prefers. The simple ones serve as baselines.
"""

import abc
import functools
import hashlib
import math

from sniperudder import tables

DEFAULT_STEP_S = 0.02
_SPEED_CLASSES_PER_DOUBLING = 2
# 390 instances by 16 models, plus room for the names of instances that have
# been replaced.
_MAX_CACHED_WEIGHTS = 8192


class Placement(abc.ABC):
    """Policy for sharing endpoints among instances."""

    @abc.abstractmethod
    def find_home(self, T, model, now):
        """Return the instance that grants the slots of a model."""

    @abc.abstractmethod
    def count_limit(self, T, ep):
        """Return how many concurrent streams this instance may place."""

    @abc.abstractmethod
    def pick_endpoint(self, T, eps):
        """Return the preferred one of several free endpoints."""

    def list_selections(self, T, groups, free):
        """Return selections of one endpoint per layer range.

        Parameters
        ----------
        T : Tables
        groups : dict of (int, int) to list of Endpoint
            By layer range.
        free : set of str
            Names of the endpoints with a free slot.

        Returns
        -------
        list of list of dict
            Each dict maps layer ranges to endpoints; layer ranges
            without a free endpoint are absent. Lists are in order of
            preference.
        """
        selection = {}
        for key, eps in groups.items():
            usable = [ep for ep in eps if ep.name in free]
            if usable:
                selection[key] = self.pick_endpoint(T, usable)
        return [[selection]]


class HomePlacement(Placement):
    """One live instance per model, its home, grants all slots of the model.

    The home keeps the queues and the exact stream counts of the model.
    It is the instance with the highest rendezvous weight for the model,
    so the failure of an instance moves only the models it was home of.

    References
    ----------
    .. [1] D. Thaler, C. Ravishankar, "Using name-based mappings to
       increase hit rates", IEEE/ACM ToN 6(1), 1998.
    """

    def find_home(self, T, model, now):
        """See base class; O(n) for n instances."""
        names = [
            name
            for name in list_live_instances(T)
            if T.avoided.get(name, now) <= now or name == T.me
        ]
        return max(
            names, key=lambda name: compute_rendezvous_weight(name, model)
        )

    def count_limit(self, T, ep):
        """See base class."""
        return ep.max_streams

    def pick_endpoint(self, T, eps):
        """See base class; stream counts are exact, so the best is known."""
        return min(eps, key=estimate_step_time)

    def list_selections(self, T, groups, free):
        """See base class.

        Replicas come first, see `list_replicas`. Streams that share
        all their endpoints advance together, which gives large batches
        per iteration, and a fast endpoint does not wait for a slow one.
        A chain across replicas would persist, since the next stream
        takes the slots that the last one freed; so only endpoints that
        belong to no replica are mixed freely.
        """
        replicas = list_replicas(groups)
        grouped = {ep.name for replica in replicas for ep in replica.values()}
        ungrouped = {
            key: [ep for ep in eps if ep.name not in grouped]
            for key, eps in groups.items()
        }
        free_replicas = [
            {key: ep for key, ep in replica.items() if ep.name in free}
            for replica in replicas
        ]
        return [free_replicas, *super().list_selections(T, ungrouped, free)]


class IndependentPlacement(Placement):
    """Each instance allocates its own share of every endpoint."""

    def find_home(self, T, model, now):
        """See base class."""
        return T.me

    def count_limit(self, T, ep):
        """See base class.

        The limit is split evenly among the live instances; the remainder
        goes to those with the highest rendezvous weight for the endpoint.
        """
        live = list_live_instances(T)
        base, remainder = divmod(ep.max_streams, len(live))
        if not remainder:
            return base
        live.sort(
            key=lambda name: compute_rendezvous_weight(name, ep.name),
            reverse=True,
        )
        return base + (T.me in live[:remainder])

    def pick_endpoint(self, T, eps):
        """See base class.

        Takes the better of two random endpoints, so that instances
        with stale load reports do not all choose the same one.

        References
        ----------
        .. [1] M. Mitzenmacher, "The power of two choices in
           randomized load balancing", IEEE TPDS 12(10), 2001.
        """
        if len(eps) > 2:
            eps = T.rng.sample(eps, 2)
        return min(eps, key=estimate_step_time)


class RoundRobinPlacement(IndependentPlacement):
    """Each instance uses its endpoints in turn, regardless of their load."""

    def pick_endpoint(self, T, eps):
        """See base class."""
        return min(eps, key=lambda ep: (ep.last_sent_at, ep.name))


_PLACEMENTS = {
    'home': HomePlacement(),
    'independent': IndependentPlacement(),
    'round_robin': RoundRobinPlacement(),
}


def get_placement(T):
    """Return the placement named in the policy.

    Raises
    ------
    KeyError
        If no placement has that name.
    """
    return _PLACEMENTS[T.policy.placement]


def list_live_instances(T):
    """Return the live instances that may be homes.

    This instance is included, unless it is stopping and there are
    others.
    """
    live = tables.InstanceState.LIVE
    names = [
        inst.name
        for inst in T.instances.values()
        if inst.state is live and inst.name != T.me
    ]
    if not T.stopping or not names:
        names.append(T.me)
    return names


@functools.lru_cache(_MAX_CACHED_WEIGHTS)
def compute_rendezvous_weight(instance, subject):
    """Return the rendezvous weight of an instance for a model or endpoint."""
    text = f'{instance}\0{subject}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def list_replicas(groups):
    """Return replicas: endpoints of similar speed, one per layer range.

    The n-th replica holds the n-th fastest endpoint of each layer range.
    Replicas whose endpoints differ in `max_streams` are left out, and so
    are those with an endpoint that is not up: one that is being probed
    takes a single stream only, so the others of its replica are better
    combined with other endpoints.

    Parameters
    ----------
    groups : dict of (int, int) to list of Endpoint
        By layer range.

    Returns
    -------
    list of dict of (int, int) to Endpoint
    """
    ranked = [sorted(eps, key=make_speed_key) for eps in groups.values()]
    up = tables.EndpointState.UP
    return [
        dict(zip(groups, replica))
        for replica in zip(*ranked)
        if len({ep.max_streams for ep in replica}) == 1
        and all(ep.state is up for ep in replica)
    ]


def make_speed_key(ep):
    """Return the key that orders endpoints by speed, fastest first.

    Step times within a factor of about 1.4 count as equal, since step
    times fluctuate.

    Examples
    --------
    >>> from sniperudder.tables import Endpoint
    >>> ep = Endpoint('a', 'h:1', 'dc', 'kind', 'm', '1', 0, 4, 8)
    >>> ep.step_s = 0.25
    >>> make_speed_key(ep)
    (-4, 'a')
    """
    step_s = ep.step_s or DEFAULT_STEP_S
    return round(_SPEED_CLASSES_PER_DOUBLING * math.log2(step_s)), ep.name


def estimate_step_time(ep):
    """Return the expected step time with one more stream, seconds."""
    step_s = ep.step_s or DEFAULT_STEP_S
    streams = max(ep.streams, ep.reported_streams)
    return step_s * (1 + streams / ep.max_streams)
