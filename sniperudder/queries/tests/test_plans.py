"""Tests of dry runs of intents."""

import testtools

from sniperudder.outcomes import Code
from sniperudder import queries
from sniperudder.queries.tests import fleets
from sniperudder.tables import EndpointState
from sniperudder.tables import Rank


class PlanTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.T = fleets.create_fleet()

    def _plan(self, text):
        command = queries.parse_command(text)
        return queries.plan_intent(self.T, command.intent)

    def _list_codes(self, text):
        return [o.code for o in self._plan(text).objections]

    def test_withdrawal_shows_affected_streams_and_capacity(self):
        plan = self._plan('withdraw endpoint milan-1')
        self.assertEqual([], plan.objections)
        rows = {row[0]: row[2:] for row in plan.result.rows}
        self.assertEqual(('no', 'yes'), rows['withdrawn'])
        self.assertEqual((1, 0), rows['urgent streams here that finish first'])
        self.assertEqual((8, 8), rows['streams that the fleet can hold'])
        self.assertEqual(
            (11, 'not enough'), rows['streams in the fleet, as reported']
        )

    def test_last_endpoint_of_a_layer_is_refused_unless_forced(self):
        plan = self._plan('withdraw endpoint milan-3')
        (objection,) = plan.objections
        self.assertEqual(Code.MODEL_UNCOVERED, objection.code)
        self.assertIn('rank urgent, middle or least', objection.detail)
        self.assertEqual([], plan.list_blocking_objections(force=True))

    def test_down_and_withdrawn_endpoints_provide_no_coverage(self):
        self.T.endpoints['milan-2'].state = EndpointState.DOWN
        self.assertNotEqual([], self._list_codes('withdraw endpoint milan-1'))
        self.T.endpoints['milan-2'].state = EndpointState.UP
        self.T.config.withdrawn.add('milan-2')
        self.assertNotEqual([], self._list_codes('withdraw endpoint milan-1'))

    def test_chains_do_not_mix_versions(self):
        self.T.endpoints['milan-2'].version = '2'
        self.assertNotEqual([], self._list_codes('withdraw endpoint milan-1'))

    def test_overlapping_layer_ranges_form_no_chain(self):
        ep = fleets.create_endpoint('milan-4', 1, 4)
        self.T.endpoints[ep.name] = ep
        self.assertNotEqual([], self._list_codes('withdraw endpoint milan-3'))

    def test_allow_that_leaves_a_rank_without_chain_is_refused(self):
        codes = self._list_codes('allow endpoint milan-3 ranks urgent, middle')
        self.assertEqual([Code.MODEL_UNCOVERED], codes)
        self.T.config.allowed_ranks['milan-3'] = frozenset({Rank.URGENT})
        codes = self._list_codes('withdraw endpoint milan-3')
        self.assertEqual([Code.MODEL_UNCOVERED], codes)

    def test_unknown_names_cannot_be_forced(self):
        for text, code in (
            ('withdraw endpoint milan-9 force', Code.UNKNOWN_ENDPOINT),
            ('stop instance entry-9', Code.UNKNOWN_INSTANCE),
            ('weight organisation nobody 2', Code.UNKNOWN_ORGANISATION),
            ('shed model nothing 5%', Code.UNKNOWN_MODEL),
        ):
            (refusal,) = self._plan(text).list_blocking_objections(force=True)
            self.assertEqual(code, refusal.code)

    def test_last_worker_of_a_service_is_refused(self):
        text = 'withdraw endpoint 127.0.0.1:3'
        self.assertEqual([Code.MODEL_UNCOVERED], self._list_codes(text))
        self.T.services['swatches'].addresses.append('127.0.0.1:4')
        self.assertEqual([], self._list_codes(text))

    def test_every_kind_of_intent_has_a_plan(self):
        for text in (
            'return endpoint milan-1',
            'stop instance entry-1',
            'shed rank least 50%',
            'shed organisation studio-rossi 100%',
            'shed model weave 20%',
            'allow endpoint milan-1 ranks urgent',
            'floor rank middle 20%',
            'weight organisation studio-rossi 2',
        ):
            plan = self._plan(text)
            self.assertNotEqual([], plan.result.rows)
            queries.render_table(plan.result)
