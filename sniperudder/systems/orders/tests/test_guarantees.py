"""Randomised tests of the guarantees for orders on several entries."""

import hypothesis
from hypothesis import strategies as st
import testtools

from sniperudder.testing import _orderchecks
from sniperudder.testing import _orders
from sniperudder.testing import _orderscenarios

_SEEDS = 1000
_EXAMPLES = 300
_ENTRIES = 3


def _draw_times(max_time_s):
    return st.floats(0.0, max_time_s, allow_nan=False).map(
        lambda value: round(value, 3)
    )


_PLANS = st.builds(
    _orders.OrderPlan,
    at=_draw_times(10.0),
    organisation=st.sampled_from(('north', 'south')),
    service=st.sampled_from(_orders.KINDS),
    key=st.sampled_from('ab'),
    body=st.sampled_from(('{"boxes":1}', '{"boxes":2}')),
    deadline_s=_draw_times(15.0),
    entry=st.integers(0, _ENTRIES - 1),
    twin=st.booleans(),
    repeats=st.integers(0, 2),
    patience_s=st.none() | _draw_times(5.0),
)
_FAULTS = st.builds(
    _orders.Fault,
    kind=st.sampled_from(_orders.DEFAULT_FAULTS),
    at=_draw_times(10.0),
    duration_s=_draw_times(12.0),
    entry=st.integers(0, _ENTRIES - 1),
)
_SCENARIOS = st.builds(
    _orders.Scenario,
    seed=st.integers(0, 2**32),
    plans=st.lists(_PLANS, min_size=1, max_size=6).map(tuple),
    faults=st.lists(_FAULTS, max_size=8).map(tuple),
    entries=st.just(_ENTRIES),
)


class GuaranteesTest(testtools.TestCase):
    @hypothesis.settings(
        max_examples=_EXAMPLES, derandomize=True, deadline=None
    )
    @hypothesis.given(_SCENARIOS)
    def test_scenarios_that_shrink(self, scenario):
        world = _orders.OrderSimulation(scenario).run()
        self.assertEqual([], _orderchecks.check_orders(world))

    def test_fixed_seeds(self):
        for seed in range(_SEEDS):
            scenario = _orderscenarios.draw_scenario(seed)
            world = _orders.OrderSimulation(scenario).run()
            violations = _orderchecks.check_orders(world)
            self.assertEqual([], violations, f'seed {seed}')

    def test_same_scenario_gives_the_same_run(self):
        for seed in range(20):
            scenario = _orderscenarios.draw_scenario(seed)
            first = _orders.OrderSimulation(scenario).run()
            second = _orders.OrderSimulation(scenario).run()
            self.assertEqual(first.tries, second.tries)
            self.assertEqual(first.store.rows, second.store.rows)
