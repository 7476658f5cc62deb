"""Hypothesis strategies for plans of random runs, so that they shrink."""

from hypothesis import strategies

from sniperudder import tables
from sniperudder import testing

_times = strategies.floats(0.0, 20.0)

callers = strategies.builds(
    testing.Caller,
    time=_times,
    entry=strategies.sampled_from(['entry-0', 'entry-1', 'entry-2']),
    rank=strategies.sampled_from(tables.RANKS),
    organisation=strategies.sampled_from(['big', 'small']),
    max_tokens=strategies.integers(1, 30),
    leaves=strategies.booleans(),
    poison=strategies.booleans(),
)

# The last entry gets no faults, so that one entry always remains available.
faults = strategies.builds(
    testing.Fault,
    time=_times,
    kind=strategies.sampled_from(list(testing.FaultKind)),
    endpoint=strategies.sampled_from(testing.list_endpoints()),
    entry=strategies.sampled_from(['entry-0', 'entry-1']),
    duration_s=strategies.floats(0.1, 6.0),
)

plans = strategies.builds(
    testing.StreamPlan,
    seed=strategies.integers(0, 1000),
    callers=strategies.lists(callers, min_size=1, max_size=40).map(tuple),
    faults=strategies.lists(faults, max_size=8).map(tuple),
)
