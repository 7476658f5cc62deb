"""Small fleets for the tests of requests."""

from sniperudder import inputs
from sniperudder import tables
from sniperudder import testing

LAYERS = 8


def create_fleet(entries=1, copies=2, streams=4, seed=1, lag_s=0.5):
    """Return a fleet with ``copies`` engines of each of two stages."""
    clock = testing.VirtualTime()
    eps = {}
    for first in (0, 4):
        for number in range(copies):
            name = f'ep-{first}-{number}'
            eps[name] = create_endpoint(name, first, first + 4, streams)
    cores = {}
    for number in range(entries):
        T = create_core(f'entry-{number}', seed + number, eps)
        cores[T.me] = T
    for T in cores.values():
        for name in cores:
            T.instances[name] = tables.Instance(
                name, 'h:1', 'dc', state=tables.InstanceState.LIVE
            )
    engines = {
        name: testing.FakeEngine(clock, ep, testing.Speed())
        for name, ep in eps.items()
    }
    return testing.StreamFleet(clock, cores, engines, lag_s)


def create_endpoint(name, first, end, streams):
    """Return an endpoint of the one model."""
    return tables.Endpoint(
        name, 'h:1', 'dc', 'kind', 'm', '1', first, end, streams
    )


def create_core(name, seed, eps):
    """Return the tables of an entry that knows some endpoints."""
    T = tables.create_tables(name, 'dc', seed)
    T.confirmed_at = 0.0
    T.models['m'] = tables.Model('m', LAYERS)
    for ep in eps.values():
        T.endpoints[ep.name] = create_endpoint(
            ep.name, ep.first_layer, ep.end_layer, ep.max_streams
        )
    return T


def make_arrival(number, rank=tables.Rank.URGENT, org='studio', **fields):
    """Return an arrival with a prompt of its own."""
    values = {'prompt': f'prompt {number}', 'max_tokens': 5, **fields}
    return inputs.RequestArrived(
        request=f'req-{number}',
        organisation=org,
        rank=rank,
        model='m',
        **values,
    )


def check_promises(fleet):
    """Return the violations that callers and engines saw."""
    return testing.list_violations(fleet, LAYERS, testing.predict_tokens)
