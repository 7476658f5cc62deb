"""Small fleets for testing queries."""

from sniperudder.outcomes import Code
from sniperudder import tables

NOW = 1000.0


def create_endpoint(name, first_layer, end_layer, **fields):
    """Return an endpoint of the model ``weave`` that holds 8 streams."""
    return tables.Endpoint(
        name=name,
        address='127.0.0.1:1',
        data_centre='milan',
        accelerator='a',
        model='weave',
        version='1',
        first_layer=first_layer,
        end_layer=end_layer,
        max_streams=8,
        **fields,
    )


def create_request(T, name, **fields):
    """Add an urgent request that arrived 10 s before `NOW`."""
    values = {
        'organisation': 'studio-rossi',
        'rank': tables.Rank.URGENT,
        'model': 'weave',
        'prompt': 'p',
        'max_tokens': 8,
        'arrived_at': NOW - 10,
        'deadline': NOW + 50,
    }
    req = tables.Request(name=name, **(values | fields))
    T.requests[name] = req
    return req


def create_fleet(me='entry-1'):
    """Return tables with a two-stage model and a redundant first stage."""
    T = tables.create_tables(me, 'milan')
    T.models['weave'] = tables.Model('weave', 4)
    for ep in (
        create_endpoint('milan-1', 0, 2, reported_streams=6, streams=2),
        create_endpoint('milan-2', 0, 2, reported_streams=5),
        create_endpoint('milan-3', 2, 4, reported_streams=7),
    ):
        T.endpoints[ep.name] = ep
    T.instances[me] = tables.Instance(me, '127.0.0.1:2', 'milan')
    T.services['swatches'] = tables.Service('swatches', ['127.0.0.1:3'])
    T.organisations['studio-rossi'] = tables.Organisation('studio-rossi')
    chain = (tables.Stage('milan-1', 0, 2), tables.Stage('milan-3', 2, 4))
    create_request(T, 'r1', chain=chain, attempt_started_at=NOW - 9)
    create_request(T, 'r2', rank=tables.Rank.LEAST)
    T.orders['o1'] = tables.Order(
        'o1',
        'studio-rossi',
        tables.Rank.MIDDLE,
        'swatches',
        'k',
        '',
        '',
        '',
        NOW - 1,
        NOW + 9,
    )
    T.refusals.append(
        tables.Refusal(
            'r2',
            'studio-rossi',
            tables.Rank.LEAST,
            'weave',
            int(Code.QUEUE_FULL),
            'full',
            NOW - 60,
        )
    )
    T.changes.append(tables.Change(1, 'c1', 'ada', 'WithdrawEndpoint', '{}'))
    T.config.version = 1
    T.config.shed_ranks[tables.Rank.LEAST] = 0.5
    T.config.allowed_ranks['milan-9'] = frozenset({tables.Rank.URGENT})
    return T
