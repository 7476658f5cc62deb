"""Randomised runs of requests under faults.

The checker sees only what callers heard and what the engines' own
logs hold.
"""

import hypothesis
from hypothesis import strategies
import testtools

from sniperudder import inputs
from sniperudder.systems.requests.tests import _fleets
from sniperudder import tables

_RUN_S = 40.0

_times = strategies.floats(0.0, 20.0)
_engines = strategies.sampled_from(['ep-0-0', 'ep-0-1', 'ep-4-0', 'ep-4-1'])
_faults = strategies.tuples(
    _times,
    strategies.sampled_from(['crash', 'slow', 'lose', 'withdraw']),
    _engines,
    strategies.floats(0.1, 6.0),
)
_arrivals = strategies.tuples(
    _times,
    strategies.integers(0, 1),
    strategies.sampled_from(tables.RANKS),
    strategies.sampled_from(['big', 'small']),
    strategies.integers(1, 30),
    strategies.sampled_from(['stay', 'stay', 'stay', 'leave', 'poison']),
)


def _inject(fleet, kind, name, duration_s):
    engine = fleet.engines[name]
    clock = fleet.clock
    if kind == 'crash':
        engine.crash(duration_s)
    elif kind == 'slow':
        engine.slow = 30.0
        clock.call_in(duration_s, setattr, engine, 'slow', 1.0)
    elif kind == 'lose':
        fleet.lose.add(name)
        clock.call_in(duration_s, fleet.lose.discard, name)
    else:
        for T in fleet.entries.values():
            T.config.withdrawn.add(name)
            clock.call_in(duration_s, T.config.withdrawn.discard, name)


def _arrive(fleet, number, arrival):
    _, entry, rank, org, count, kind = arrival
    prompt = f'prompt {number}'
    if kind == 'poison':
        prompt = f'{prompt} \0poison'
    fleet.send_request(
        f'entry-{entry}',
        _fleets.make_arrival(
            number, rank, org, prompt=prompt, max_tokens=count
        ),
    )
    if kind == 'leave':
        left = inputs.CallerLeft(f'req-{number}')
        fleet.clock.call_in(0.3, fleet.submit, f'entry-{entry}', left)


def run_faults(seed, arrivals, faults):
    """Run a load under faults; return the fleet."""
    fleet = _fleets.create_fleet(entries=2, seed=seed)
    fleet.step_timeout_s = 1.0
    for number, arrival in enumerate(arrivals):
        fleet.clock.call_at(arrival[0], _arrive, fleet, number, arrival)
    for time, kind, name, duration_s in faults:
        fleet.clock.call_at(time, _inject, fleet, kind, name, duration_s)
    fleet.clock.run_until(_RUN_S)
    for T in fleet.entries.values():
        for name in list(T.requests):
            fleet.submit(T.me, inputs.CallerLeft(name))
    fleet.clock.run_until(_RUN_S + 5.0)
    return fleet


class TestRandomFaults(testtools.TestCase):
    @hypothesis.settings(
        derandomize=True, deadline=None, max_examples=60, database=None
    )
    @hypothesis.given(
        strategies.integers(0, 1000),
        strategies.lists(_arrivals, min_size=1, max_size=40),
        strategies.lists(_faults, max_size=8),
    )
    def test_promises_hold(self, seed, arrivals, faults):
        fleet = run_faults(seed, arrivals, faults)
        assert not _fleets.check_promises(fleet)
        for heard in fleet.heard.values():
            assert heard.outcome is not None
        for T in fleet.entries.values():
            assert not T.requests
            assert {ep.streams for ep in T.endpoints.values()} == {0}
