"""Simulated fleet on which the policies are measured."""

import dataclasses

from sniperudder import tables
from sniperudder import testing

LAYERS = 8
STAGES = 2

# Factors by accelerator on all durations of `_BASE_TIMES`.
_DURATION_FACTORS = {'fast': 1.0, 'medium': 2.0, 'slow': 4.0}
_BASE_TIMES = testing.IterationTimes(
    base_s=0.03, step_s=0.001, prefill_s=0.00002
)


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Size of a simulated fleet.

    Attributes
    ----------
    entries : int
        Number of entry instances.
    copies : int
        Number of endpoints of each accelerator and stage.
    streams : int
        Maximum number of streams batched by an endpoint.
    organisations : int
        Number of organisations.
    lag_s : float
        Age of load reports, seconds.
    """

    entries: int = 9
    copies: int = 2
    streams: int = 8
    organisations: int = 10
    lag_s: float = 1.0


def create_fleet(size, seed, configure=None):
    """Return a fleet of entry instances and endpoints of unequal speed.

    Parameters
    ----------
    size : Size
    seed : int
    configure : callable, optional
        Called with the tables of each entry instance to set its policy.

    Returns
    -------
    StreamFleet
    """
    clock = testing.VirtualTime()
    engines = {}
    for ep, times in _list_endpoints(size):
        engines[ep.name] = testing.FakeEngine(clock, ep, times)
    cores = {}
    for number in range(size.entries):
        T = _create_core(f'entry-{number}', seed * 1000 + number, size)
        cores[T.me] = T
    for T in cores.values():
        for name in cores:
            T.instances[name] = tables.Instance(
                name, 'h:1', 'dc', state=tables.InstanceState.LIVE
            )
        if configure is not None:
            configure(T)
    return testing.StreamFleet(clock, cores, engines, size.lag_s)


def compute_bound(size):
    """Return the upper bound of the fleet's throughput, tokens per second.

    A stream occupies one of its stages at a time. With all slots in use,
    each endpoint therefore batches its share ``n`` of the streams and
    completes ``n`` steps in each iteration.
    """
    total = 0.0
    share = size.streams / STAGES
    for ep, times in _list_endpoints(size):
        if ep.first_layer == 0:
            total += share / (times.base_s + share * times.step_s)
    return total


def _list_endpoints(size):
    pairs = []
    width = LAYERS // STAGES
    for accelerator, factor in _DURATION_FACTORS.items():
        times = testing.IterationTimes(
            _BASE_TIMES.base_s * factor,
            _BASE_TIMES.step_s * factor,
            _BASE_TIMES.prefill_s * factor,
        )
        for first in range(0, LAYERS, width):
            for number in range(size.copies):
                name = f'{accelerator}-{first}-{number}'
                ep = _create_endpoint(
                    name, accelerator, first, first + width, size
                )
                pairs.append((ep, times))
    return pairs


def _create_endpoint(name, accelerator, first, end, size):
    return tables.Endpoint(
        name, 'h:1', 'dc', accelerator, 'm', '1', first, end, size.streams
    )


def _create_core(name, seed, size):
    T = tables.create_tables(name, 'dc', seed)
    T.confirmed_at = 0.0
    T.models['m'] = tables.Model('m', LAYERS)
    for ep, _ in _list_endpoints(size):
        T.endpoints[ep.name] = ep
    return T
