"""Tests of the assignment of layers and of the placement lease."""

import dataclasses
import random

import testtools

from sniperudder import fleet
from sniperudder import placement
from sniperudder import revisions
from sniperudder.routing.tests import _fleets

_DATA_CENTRES = ('milano', 'como', 'bergamo')
_ACCELERATORS = {
    'a100': fleet.Accelerator('a100', 72_000.0, 2.4, 3.2),
    'l40s': fleet.Accelerator('l40s', 43_200.0, 5.6, 2.7),
    'l4': fleet.Accelerator('l4', 21_600.0, 16.0, 8.2),
}
_ENGINE = dataclasses.replace(
    _fleets.ENGINE, accelerators=_ACCELERATORS, layer_mb=1_750.0
)
_MIXED_FLEET_COUNTS = {'a100': (1, 2, 1), 'l40s': (6, 2, 3), 'l4': (5, 5, 8)}


def create_empty_endpoints(counts):
    """Return endpoints without layers.

    Parameters
    ----------
    counts : dict of str to sequence of int
        By kind of accelerator: number of endpoints in each data centre.
    """
    endpoints = []
    for accelerator, accelerator_counts in counts.items():
        for data_centre, number in zip(_DATA_CENTRES, accelerator_counts):
            for _ in range(number):
                name = f'e{len(endpoints):02}'
                template = _fleets.create_endpoint(
                    name, 0, 1, data_centre, accelerator
                )
                endpoints.append(dataclasses.replace(template, layers=None))
    return endpoints


def count_min_copies(endpoints, plan, data_centre=None):
    """Return the smallest number of copies that any layer has."""
    counts = [0] * _ENGINE.layer_count
    for endpoint in endpoints:
        layers = plan.get(endpoint.id)
        if layers and data_centre in (None, endpoint.data_centre):
            for layer in range(layers.start, layers.end):
                counts[layer] += 1
    return min(counts)


class LayoutTest(testtools.TestCase):
    def test_each_data_centre_holds_the_whole_model(self):
        # All requests share the links between data centres, which become
        # full if a data centre lacks layers.
        endpoints = create_empty_endpoints(_MIXED_FLEET_COUNTS)
        plan = placement.plan_layers(_ENGINE, endpoints, {})
        for data_centre in _DATA_CENTRES:
            copies = count_min_copies(endpoints, plan, data_centre)
            self.assertTrue(copies >= 1, (data_centre, copies))

    def test_random_fleets_fit_their_memory(self):
        rng = random.Random(2)
        for _ in range(100):
            counts = {
                accelerator: [rng.randrange(0, 8) for _ in _DATA_CENTRES]
                for accelerator in _ACCELERATORS
            }
            endpoints = create_empty_endpoints(counts)
            plan = placement.plan_layers(_ENGINE, endpoints, {})
            for endpoint in endpoints:
                if endpoint.id in plan:
                    layers = plan[endpoint.id]
                    fits = placement.fits_memory(
                        _ENGINE, endpoint.accelerator, layers
                    )
                    self.assertTrue(fits, layers)

    def test_new_endpoint_replaces_layers_of_lost_one(self):
        # An endpoint leaves for good, and an empty one joins.
        endpoints = create_empty_endpoints(_MIXED_FLEET_COUNTS)
        plan = placement.plan_layers(_ENGINE, endpoints, {})
        removed = next(e for e in endpoints if e.accelerator == 'l40s')
        remaining = [e for e in endpoints if e is not removed]
        assigned = {e.id: plan[e.id] for e in remaining}
        joined = dataclasses.replace(removed, id='joined', address='j:1')
        new_plan = placement.plan_layers(
            _ENGINE, [*remaining, joined], assigned
        )
        self.assertEqual({'joined': plan[removed.id]}, new_plan)

    def test_odd_number_of_layers_is_covered(self):
        engine = dataclasses.replace(_ENGINE, layer_count=61)
        endpoints = create_empty_endpoints(_MIXED_FLEET_COUNTS)
        plan = placement.plan_layers(engine, endpoints, {})
        held = set()
        for layers in plan.values():
            held.update(range(layers.start, layers.end))
        self.assertEqual(set(range(61)), held)

    def test_unknown_accelerators_get_no_layers(self):
        endpoints = [
            dataclasses.replace(e, accelerator='h200')
            for e in create_empty_endpoints({'l4': (2, 0, 0)})
        ]
        self.assertEqual({}, placement.plan_layers(_ENGINE, endpoints, {}))


class MoveTest(testtools.TestCase):
    def plan_after_loss(self, lost_layer):
        """Plan a move after a data centre lost all copies of a layer."""
        endpoints = create_empty_endpoints(_MIXED_FLEET_COUNTS)
        plan = placement.plan_layers(_ENGINE, endpoints, {})
        remaining = [
            e
            for e in endpoints
            if e.data_centre != 'milano'
            or not plan[e.id].start <= lost_layer < plan[e.id].end
        ]
        assigned = {e.id: plan[e.id] for e in remaining}
        move = placement.plan_move(_ENGINE, remaining, assigned, 'milano')
        return remaining, assigned, move

    def test_missing_layers_are_covered_by_a_move(self):
        # Endpoints leave, and no empty one joins.
        remaining, assigned, (endpoint, layers) = self.plan_after_loss(
            lost_layer=70
        )
        self.assertEqual('milano', endpoint.data_centre)
        self.assertTrue(layers.start <= 70 < layers.end)
        before = count_min_copies(remaining, assigned, 'milano')
        assigned[endpoint.id] = layers
        self.assertEqual(0, before)
        self.assertEqual(1, count_min_copies(remaining, assigned, 'milano'))

    def test_complete_data_centre_is_not_changed(self):
        endpoints = create_empty_endpoints(_MIXED_FLEET_COUNTS)
        plan = placement.plan_layers(_ENGINE, endpoints, {})
        for data_centre in _DATA_CENTRES:
            move = placement.plan_move(_ENGINE, endpoints, plan, data_centre)
            self.assertEqual((None, None), move)

    def test_move_without_net_gain_is_not_made(self):
        endpoints = create_empty_endpoints({'l4': (9, 0, 0)})
        plan = placement.plan_layers(_ENGINE, endpoints, {})
        move = placement.plan_move(_ENGINE, endpoints, plan, 'milano')
        self.assertEqual((None, None), move)


def at(version, era=1):
    """Return a revision of the lease's row."""
    return revisions.Revision(era, version)


class LeaseTest(testtools.TestCase):
    def test_expired_lease_may_be_taken(self):
        view = placement.LeaseView()
        placement.observe_lease(view, at(5), 10.0)
        self.assertFalse(placement.may_acquire(view, 13.9))
        self.assertTrue(placement.may_acquire(view, 14.1))

    def test_renewed_lease_may_not_be_taken(self):
        view = placement.LeaseView()
        for version, now in ((5, 10.0), (6, 12.0), (7, 14.0)):
            placement.observe_lease(view, at(version), now)
        self.assertFalse(placement.may_acquire(view, 15.0))

    def test_holder_without_recent_renewal_may_not_order(self):
        view = placement.LeaseView()
        placement.record_renewal(view, at(5), 10.0)
        self.assertTrue(placement.may_order(view, 12.0))
        self.assertFalse(placement.may_order(view, 13.1))

    def test_holder_that_sees_another_version_may_not_order(self):
        view = placement.LeaseView()
        placement.record_renewal(view, at(5), 10.0)
        placement.observe_lease(view, at(6), 10.5)
        self.assertFalse(placement.may_order(view, 10.6))

    # Guards against: two holders gave orders after the store had been restored
    # to a state in which nobody held the lease.
    def test_lease_that_the_store_has_lost_may_not_be_taken_at_once(self):
        view = placement.LeaseView()
        placement.observe_lease(view, at(5), 10.0)
        placement.observe_lease(view, at(0, era=2), 11.0)
        self.assertFalse(placement.may_acquire(view, 11.1))
        self.assertTrue(placement.may_acquire(view, 15.1))

    def test_lease_that_was_never_held_may_be_taken_at_once(self):
        view = placement.LeaseView()
        self.assertFalse(placement.may_acquire(view, 10.0, True))
        placement.observe_lease(view, at(0), 10.0)
        self.assertTrue(placement.may_acquire(view, 10.1, True))
        placement.observe_lease(view, at(3), 10.2)
        self.assertFalse(placement.may_acquire(view, 10.3, True))

    def test_revision_of_an_earlier_era_is_ignored(self):
        view = placement.LeaseView()
        placement.record_renewal(view, at(5, era=2), 10.0)
        placement.observe_lease(view, at(99), 10.5)
        self.assertTrue(placement.may_order(view, 10.6))
        placement.observe_lease(view, at(5, era=3), 10.7)
        self.assertFalse(placement.may_order(view, 10.8))
