"""Who decides about a model's endpoints, and how it chooses.

Each way is one class, so that the plain ones stay runnable as
baselines of the measurements.
"""

import abc
import functools
import hashlib

from sniperudder import tables

_DEFAULT_STEP_S = 0.02
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
        """See base class.

        With exact counts the best is known. Taking the fastest first
        at every stage also joins endpoints of like speed into chains.
        """
        return min(eps, key=expect_step)


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


def expect_step(ep):
    """Return the expected time of a step with one more stream."""
    step_s = ep.step_s or _DEFAULT_STEP_S
    streams = max(ep.streams, ep.reported_streams)
    return step_s * (1 + streams / ep.max_streams)
