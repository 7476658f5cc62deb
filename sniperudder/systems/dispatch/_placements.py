"""Who decides about a model's endpoints, and how it chooses.

Each way is one class, so that the plain ones stay runnable as
baselines of the measurements.
"""

import abc
import functools
import hashlib
import math

from sniperudder import tables

DEFAULT_STEP_S = 0.02
_SPEEDS_PER_DOUBLING = 2
# 390 instances by 16 models, and room for names of replaced ones.
_WEIGHTS_KEPT = 8192


class Placement(abc.ABC):
    """A way to share endpoints among entries."""

    @abc.abstractmethod
    def find_home(self, T, model, now):
        """Return the instance that grants slots of a model."""

    @abc.abstractmethod
    def count_limit(self, T, ep):
        """Return how many streams this instance may place at once."""

    @abc.abstractmethod
    def pick_endpoint(self, T, eps):
        """Return the one of some free endpoints to use."""

    def list_ways(self, T, groups, free):
        """Return ways to pick an endpoint of each layer range.

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
            Picks by layer range; an earlier list goes first.
        """
        picks = {}
        for key, eps in groups.items():
            usable = [ep for ep in eps if ep.name in free]
            if usable:
                picks[key] = self.pick_endpoint(T, usable)
        return [[picks]]


class HomePlacement(Placement):
    """One home among the live entries for each model.

    It keeps the queues and the exact number of streams. The home has
    the highest rendezvous weight for the model, so that the death of
    an entry moves only the models it was the home of.

    References
    ----------
    .. [1] D. Thaler, C. Ravishankar, "Using name-based mappings to
       increase hit rates", IEEE/ACM ToN 6(1), 1998.
    """

    def find_home(self, T, model, now):
        """See base class; O(n) for n instances."""
        names = [
            name
            for name in list_live(T)
            if T.avoided.get(name, now) <= now or name == T.me
        ]
        return max(names, key=lambda name: score_home(name, model))

    def count_limit(self, T, ep):
        """See base class."""
        return ep.max_streams

    def pick_endpoint(self, T, eps):
        """See base class; with exact counts the best is known."""
        return min(eps, key=expect_step)

    def list_ways(self, T, groups, free):
        """See base class.

        Endpoints of like speed form lanes, each the n-th fastest of its
        layer range. The streams of an endpoint that share all their
        endpoints stay together, so that its iterations run large
        batches; and a fast endpoint does not wait for a slow one. A
        chain across lanes would stay, since the next stream takes the
        slots of the last; so only endpoints without a lane are mixed.
        """
        lanes = list_lanes(groups)
        paired = {ep.name for lane in lanes for ep in lane.values()}
        rest = {
            key: [ep for ep in eps if ep.name not in paired]
            for key, eps in groups.items()
        }
        open_lanes = [
            {key: ep for key, ep in lane.items() if ep.name in free}
            for lane in lanes
        ]
        return [open_lanes, *super().list_ways(T, rest, free)]


class IndependentPlacement(Placement):
    """Every entry decides alone, with its share of each endpoint."""

    def find_home(self, T, model, now):
        """See base class."""
        return T.me

    def count_limit(self, T, ep):
        """See base class.

        The limit is split evenly; the remainder goes to the instances
        with the highest rendezvous weight for the endpoint.
        """
        live = list_live(T)
        base, rest = divmod(ep.max_streams, len(live))
        if not rest:
            return base
        live.sort(key=lambda name: score_home(name, ep.name), reverse=True)
        return base + (T.me in live[:rest])

    def pick_endpoint(self, T, eps):
        """See base class.

        The better of two random choices keeps instances with stale
        load reports from all choosing the same endpoint.

        References
        ----------
        .. [1] M. Mitzenmacher, "The power of two choices in
           randomized load balancing", IEEE TPDS 12(10), 2001.
        """
        if len(eps) > 2:
            eps = T.rng.sample(eps, 2)
        return min(eps, key=expect_step)


class RoundRobinPlacement(IndependentPlacement):
    """Every entry takes its endpoints in turn, whatever their load."""

    def pick_endpoint(self, T, eps):
        """See base class."""
        return min(eps, key=lambda ep: (ep.last_sent_at, ep.name))


_PLACEMENTS = {
    'home': HomePlacement(),
    'independent': IndependentPlacement(),
    'round_robin': RoundRobinPlacement(),
}


def get_placement(T):
    """Return the placement that the policy names.

    Raises
    ------
    KeyError
        If there is none of that name.
    """
    return _PLACEMENTS[T.policy.placement]


def list_live(T):
    """Return the instances that may be homes, this one included."""
    live = tables.InstanceState.LIVE
    names = [
        inst.name
        for inst in T.instances.values()
        if inst.state is live and inst.name != T.me
    ]
    if not T.stopping or not names:
        names.append(T.me)
    return names


@functools.lru_cache(_WEIGHTS_KEPT)
def score_home(instance, subject):
    """Return the rendezvous weight of an instance for a subject."""
    text = f'{instance}\0{subject}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def list_lanes(groups):
    """Return the lanes of endpoints that batch as many streams.

    An endpoint that is being probed takes one stream, so its lane is
    left open to others.

    Parameters
    ----------
    groups : dict of (int, int) to list of Endpoint
        By layer range.

    Returns
    -------
    list of dict of (int, int) to Endpoint
    """
    ranked = [sorted(eps, key=rank_speed) for eps in groups.values()]
    up = tables.EndpointState.UP
    return [
        dict(zip(groups, lane))
        for lane in zip(*ranked)
        if len({ep.max_streams for ep in lane}) == 1
        and all(ep.state is up for ep in lane)
    ]


def rank_speed(ep):
    """Return the key that orders endpoints by speed, fastest first.

    Times within a factor of about 1.4 count as alike, since a measured
    time wavers.

    Examples
    --------
    >>> from sniperudder.tables import Endpoint
    >>> ep = Endpoint('a', 'h:1', 'dc', 'kind', 'm', '1', 0, 4, 8)
    >>> ep.step_s = 0.25
    >>> rank_speed(ep)
    (-4, 'a')
    """
    step_s = ep.step_s or DEFAULT_STEP_S
    return round(_SPEEDS_PER_DOUBLING * math.log2(step_s)), ep.name


def expect_step(ep):
    """Return the expected time of a step with one more stream."""
    step_s = ep.step_s or DEFAULT_STEP_S
    streams = max(ep.streams, ep.reported_streams)
    return step_s * (1 + streams / ep.max_streams)
