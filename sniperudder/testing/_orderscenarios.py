"""Random scenarios for the order systems."""

import random

from sniperudder.testing import _orders

_ORGANISATIONS = ('north', 'south')
_BODIES = ('{"boxes":1}', '{"boxes":2}')
_SPANS_S = (1.0, 5.0, 20.0)


def draw_scenario(seed, entries=3, services=None, kinds=None):
    """Return the random scenario that belongs to a seed.

    Parameters
    ----------
    seed : int
    entries : int
    services : sequence of str, optional
        Kinds of services; by default one or two at random.
    kinds : sequence of FaultKind, optional
        Kinds of faults; by default one to four at random.

    Examples
    --------
    >>> draw_scenario(5) == draw_scenario(5)
    True
    """
    rng = random.Random(seed)
    span_s = rng.choice(_SPANS_S)
    services = services or rng.sample(_orders.KINDS, rng.randint(1, 2))
    kinds = kinds or rng.sample(_orders.DEFAULT_FAULTS, rng.randint(1, 4))
    plans = tuple(
        _draw_plan(rng, entries, span_s, services)
        for _ in range(rng.randint(1, 8))
    )
    faults = tuple(
        _draw_fault(rng, entries, span_s, kinds)
        for _ in range(rng.randint(0, 10))
    )
    return _orders.Scenario(seed, plans, faults, entries)


def _draw_plan(rng, entries, span_s, services):
    patience_s = rng.choice((None, None, rng.uniform(0.0, 5.0)))
    return _orders.OrderPlan(
        at=rng.uniform(0.0, span_s),
        organisation=rng.choice(_ORGANISATIONS),
        service=rng.choice(services),
        key=rng.choice('aaab'),
        body=rng.choice(_BODIES + _BODIES[:1] * 3),
        deadline_s=rng.uniform(0.5, 15.0),
        entry=rng.randrange(entries),
        twin=rng.random() < 0.3,
        repeats=rng.randint(0, 3),
        patience_s=patience_s,
    )


def _draw_fault(rng, entries, span_s, kinds):
    return _orders.Fault(
        kind=rng.choice(kinds),
        at=rng.uniform(0.0, span_s),
        duration_s=rng.choice((0.3, 2.0, 12.0)) * rng.random(),
        entry=rng.randrange(entries),
    )
