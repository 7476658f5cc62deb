"""Small fleets for the tests of requests."""

from sniperudder import inputs
from sniperudder import tables
from sniperudder import testing

LAYERS = 8


def create_fleet(entries=1, copies=2, streams=4, seed=1):
    """Return a fleet with ``copies`` engines of each of two stages."""
    return testing.create_stream_fleet(entries, copies, streams, seed)


def make_arrival(number, rank=tables.Rank.URGENT, org='studio', **fields):
    """Return an arrival with a unique prompt."""
    values = {'prompt': f'prompt {number}', 'max_tokens': 5, **fields}
    return inputs.RequestArrived(
        request=f'req-{number}',
        organisation=org,
        rank=rank,
        model='m',
        **values,
    )


def find_violations(fleet):
    """Return the violations seen by callers and engines."""
    return testing.list_violations(fleet, LAYERS, testing.predict_tokens)
