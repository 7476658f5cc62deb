import testtools

from sniperudder import effects
from sniperudder import errors
from sniperudder import inputs
from sniperudder.outcomes import Code
from sniperudder.systems import orders
from sniperudder.systems.orders import _purposes
from sniperudder.systems.orders.tests import _harness
from sniperudder import tables
from sniperudder.tables import OrderState
from sniperudder.tables import Rank

_LOST = inputs.Delivery.LOST
_NOT_SENT = inputs.Delivery.NOT_SENT


class NormalFlowTest(testtools.TestCase):
    def test_call_follows_the_committed_claim(self):
        harness = _harness.Harness()
        harness.submit()
        self.assertEqual(0, harness.count(effects.CallService))
        harness.commit()
        self.assertEqual(1, harness.count(effects.CallService))

    def test_result_is_stored_before_the_answer(self):
        harness = _harness.Harness()
        harness.submit()
        harness.commit()
        self.assertEqual([], _harness.list_codes(harness.answer_call()))
        self.assertEqual(
            [Code.ANSWERED], _harness.list_codes(harness.commit())
        )
        self.assertEqual({}, harness.T.orders)

    def test_answer_is_sent_unstored_when_storing_is_slow(self):
        harness = _harness.Harness()
        harness.submit()
        harness.commit()
        harness.answer_call()
        self.assertEqual(
            [Code.ANSWERED], _harness.list_codes(harness.advance(1.5))
        )
        self.assertEqual(OrderState.STORING, harness.T.orders['order-1'].state)

    def test_server_error_is_a_result(self):
        harness = _harness.Harness()
        harness.submit()
        harness.commit()
        harness.answer_call('broken', status=500)
        harness.commit()
        outcome = harness.find_last(effects.SendOutcome).outcome
        self.assertEqual((500, 'broken'), (outcome.status, outcome.body))

    def test_service_key_includes_the_organisation(self):
        harness = _harness.Harness()
        harness.submit(organisation='north/1', key='a b')
        harness.commit()
        call = harness.find_last(effects.CallService)
        self.assertEqual('north%2F1/compressors/a%20b', call.key)

    def test_unknown_service_is_refused(self):
        harness = _harness.Harness()
        results = harness.submit(service='none')
        self.assertEqual([Code.UNKNOWN_SERVICE], _harness.list_codes(results))

    def test_name_in_use_breaks_an_invariant(self):
        harness = _harness.Harness()
        harness.submit()
        self.assertRaises(errors.InvariantBroken, harness.submit)


class RepeatedKeyTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.first = _harness.Harness()
        self.second = _harness.Harness(self.first.store, 'entry-2')
        self.first.submit()
        self.first.commit()

    def finish_first(self):
        self.first.answer_call()
        self.first.commit()

    def test_repeat_gets_the_stored_result(self):
        self.finish_first()
        self.second.submit('order-2')
        results = self.second.commit()
        self.assertEqual([Code.STORED_RESULT], _harness.list_codes(results))
        self.assertEqual('receipt', results[0].outcome.body)
        self.assertEqual(0, self.second.count(effects.CallService))

    def test_repeat_waits_for_the_first(self):
        self.second.submit('order-2')
        self.assertEqual([], _harness.list_codes(self.second.commit()))
        self.finish_first()
        self.second.advance(1.0)
        results = self.second.commit()
        self.assertEqual([Code.STORED_RESULT], _harness.list_codes(results))

    def test_claim_of_a_plain_service_is_never_taken_over(self):
        self.second.submit('order-2')
        self.second.commit()
        for _ in range(10):
            self.second.advance(2.0)
            if self.second.T.orders:
                self.second.commit()
        self.assertEqual(0, self.second.count(effects.CallService))
        self.assertEqual(
            [Code.ORDER_IN_PROGRESS], _harness.list_codes(self.second.effects)
        )

    def test_unchanged_claim_becomes_in_doubt(self):
        self.second.submit('order-2', deadline_s=60.0)
        self.second.commit()
        for _ in range(31):
            self.second.advance(2.0)
            if self.second.T.orders:
                self.second.commit()
        self.assertEqual(
            [Code.ORDER_IN_DOUBT], _harness.list_codes(self.second.effects)
        )
        note = self.second.find_last(effects.LogEvent)
        self.assertEqual('order/north/compressors/key-1', note.detail)

    def test_other_body_is_a_conflict(self):
        self.second.submit('order-2', body='{}')
        results = self.second.commit()
        self.assertEqual(
            [Code.IDEMPOTENCY_CONFLICT], _harness.list_codes(results)
        )

    def test_same_key_of_another_organisation_is_independent(self):
        self.second.submit('order-2', organisation='south')
        self.second.commit()
        self.assertEqual(1, self.second.count(effects.CallService))

    def test_order_in_doubt_is_reported_at_once(self):
        self.first.fail_call(_LOST)
        self.first.commit()
        self.second.submit('order-2')
        results = self.second.commit()
        self.assertEqual([Code.ORDER_IN_DOUBT], _harness.list_codes(results))

    def test_undecodable_row_is_in_doubt(self):
        call = self.first.find_last(effects.Transact)
        key = call.writes[0].key
        row = effects.Row(key, 'nonsense', 9)
        self.first.store.rows[key] = row
        self.second.submit('order-2')
        results = self.second.commit()
        self.assertEqual([Code.ORDER_IN_DOUBT], _harness.list_codes(results))


class PlatformFaultTest(testtools.TestCase):
    def test_claim_with_lost_reply_is_confirmed_by_retry(self):
        harness = _harness.Harness()
        harness.submit()
        harness.commit_without_reply()
        self.assertEqual(0, harness.count(effects.CallService))
        harness.advance(0.2)
        harness.commit()
        self.assertEqual(1, harness.count(effects.CallService))

    def test_unsent_claim_is_refused_as_not_run(self):
        harness = _harness.Harness()
        harness.submit()
        harness.return_outcome(inputs.NotSent())
        results = harness.advance(21.0)
        self.assertEqual(
            [Code.PLATFORM_UNAVAILABLE], _harness.list_codes(results)
        )
        self.assertEqual({}, harness.T.orders)

    def test_claim_of_a_refused_order_is_released(self):
        harness = _harness.Harness()
        harness.submit()
        harness.commit_without_reply()
        harness.advance(21.0)
        harness.commit()
        harness.commit()
        self.assertEqual({}, harness.T.orders)
        other = _harness.Harness(harness.store, 'entry-2')
        other.submit('order-2')
        other.commit()
        other.commit()
        self.assertEqual(1, other.count(effects.CallService))

    def test_late_claim_conflicts_with_its_release(self):
        harness = _harness.Harness()
        harness.submit()
        claim = harness.find_last(effects.Transact)
        harness.return_outcome(inputs.Unknown())
        harness.advance(21.0)
        harness.commit()
        self.assertEqual({}, harness.T.orders)
        outcome = harness.store.transact(claim)
        self.assertIsInstance(outcome, inputs.Conflicted)

    def test_result_write_with_lost_reply_is_retried(self):
        harness = _harness.Harness()
        harness.submit()
        harness.commit()
        harness.answer_call()
        harness.commit_without_reply()
        harness.advance(0.2)
        self.assertEqual(
            [Code.ANSWERED], _harness.list_codes(harness.commit())
        )

    def test_storing_is_abandoned_after_the_timeout(self):
        harness = _harness.Harness()
        harness.submit()
        harness.commit()
        harness.answer_call()
        harness.return_outcome(inputs.NotSent())
        harness.advance(3700.0)
        self.assertEqual({}, harness.T.orders)
        self.assertEqual(
            'order:give-up', harness.find_last(effects.LogEvent).event
        )


class ServiceFaultTest(testtools.TestCase):
    def test_lost_call_is_not_repeated(self):
        harness = _harness.Harness()
        harness.submit()
        harness.commit()
        results = harness.fail_call(_LOST)
        self.assertEqual([Code.ORDER_IN_DOUBT], _harness.list_codes(results))
        harness.commit()
        harness.advance(30.0)
        self.assertEqual(1, harness.count(effects.CallService))

    def test_unsent_call_is_retried_and_then_refused(self):
        harness = _harness.Harness()
        harness.submit()
        harness.commit()
        for _ in range(4):
            harness.fail_call(_NOT_SENT)
            harness.advance(1.0)
        self.assertEqual(4, harness.count(effects.CallService))
        self.assertEqual(
            [Code.SERVICE_UNREACHABLE], _harness.list_codes(harness.effects)
        )
        harness.commit()
        self.assertEqual({}, harness.T.orders)

    def test_retry_to_a_deduplicating_service_has_the_same_key(self):
        harness = _harness.Harness(deduplicates=True)
        harness.submit()
        harness.commit()
        first = harness.find_last(effects.CallService)
        harness.fail_call(_LOST)
        harness.advance(1.0)
        self.assertEqual(2, harness.count(effects.CallService))
        self.assertEqual(first.key, harness.find_last(effects.CallService).key)

    def test_repeatable_service_needs_no_claim(self):
        harness = _harness.Harness(repeatable=True)
        harness.submit()
        harness.fail_call(_LOST)
        harness.advance(1.0)
        harness.answer_call()
        self.assertEqual(0, harness.count(effects.Transact))
        self.assertEqual([Code.ANSWERED], _harness.list_codes(harness.effects))

    def test_overdue_call_that_was_not_sent_is_released(self):
        harness = _harness.Harness()
        harness.submit()
        harness.commit()
        harness.advance(22.0)
        harness.advance(1.0)
        harness.fail_call(_NOT_SENT)
        self.assertEqual(
            OrderState.RELEASING, harness.T.orders['order-1'].state
        )

    def test_invariant_forbids_a_second_call(self):
        harness = _harness.Harness()
        harness.submit()
        harness.commit()
        order = harness.T.orders['order-1']
        order.pending = 0
        order.next_action_at = harness.now
        self.assertRaises(errors.InvariantBroken, harness.advance, 0.1)

    def test_invariant_forbids_a_release_after_a_call(self):
        harness = _harness.Harness()
        harness.submit()
        harness.commit()
        order = harness.T.orders['order-1']
        order.state = OrderState.RELEASING
        order.pending = 0
        order.next_action_at = harness.now
        self.assertRaises(errors.InvariantBroken, harness.advance, 0.1)


class LookupTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.harness = _harness.Harness(lookup=True, settle_s=4.0)
        self.harness.submit()
        self.harness.commit()

    def test_found_result_is_stored_and_returned(self):
        self.harness.fail_call(_LOST)
        self.harness.answer_lookup(found=True, status=200, body='receipt')
        results = self.harness.commit()
        self.assertEqual([Code.ANSWERED], _harness.list_codes(results))

    def test_missing_key_counts_as_not_run_after_the_settle_time(self):
        self.harness.fail_call(_LOST)
        self.assertEqual([], _harness.list_codes(self.harness.answer_lookup()))
        self.harness.advance(4.5)
        results = self.harness.answer_lookup()
        self.assertEqual(
            [Code.SERVICE_UNREACHABLE], _harness.list_codes(results)
        )

    def test_running_call_does_not_count_as_not_run(self):
        self.harness.fail_call(_LOST)
        self.harness.advance(4.5)
        results = self.harness.answer_lookup(started=True)
        self.assertEqual([], _harness.list_codes(results))

    def test_repeat_looks_up_the_result_of_a_silent_holder(self):
        other = _harness.Harness(
            self.harness.store, 'entry-2', lookup=True, settle_s=4.0
        )
        other.submit('order-2')
        other.commit()
        other.advance(1.5)
        other.commit()
        self.assertEqual(1, other.count(effects.LookUpKey))
        other.answer_lookup(found=True, status=200, body='receipt')
        results = other.commit()
        self.assertEqual([Code.STORED_RESULT], _harness.list_codes(results))

    def test_expired_claim_is_renewed_before_the_call(self):
        harness = _harness.Harness(lookup=True, settle_s=4.0)
        harness.submit()
        harness.commit_without_reply()
        harness.advance(3.0)
        harness.commit()
        self.assertEqual(0, harness.count(effects.CallService))
        harness.commit()
        self.assertEqual(1, harness.count(effects.CallService))
        call = harness.find_last(effects.CallService)
        self.assertEqual(harness.now + 2.0, call.start_by)


class DisconnectTest(testtools.TestCase):
    def test_order_that_was_not_sent_is_released(self):
        harness = _harness.Harness()
        harness.submit()
        results = harness.deliver(inputs.CallerDisconnected('order-1'))
        self.assertEqual(
            [Code.LEFT_BEFORE_START], _harness.list_codes(results)
        )
        harness.commit()
        self.assertEqual({}, harness.T.orders)
        self.assertEqual(0, harness.count(effects.CallService))

    def test_order_that_was_sent_is_finished_and_stored(self):
        harness = _harness.Harness()
        harness.submit()
        harness.commit()
        self.assertEqual(
            [], harness.deliver(inputs.CallerDisconnected('order-1'))
        )
        harness.answer_call()
        self.assertEqual(
            [Code.ANSWERED], _harness.list_codes(harness.commit())
        )

    def test_disconnect_of_an_unknown_request_is_ignored(self):
        harness = _harness.Harness()
        self.assertEqual(
            [], harness.deliver(inputs.CallerDisconnected('request-1'))
        )


class AdmissionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.harness = _harness.Harness()

    def submit(self, number, **changes):
        return self.harness.submit(
            f'order-{number}', key=str(number), **changes
        )

    def fill_service(self):
        """Fill the service with running calls."""
        for number in range(orders.MAX_RUNNING_PER_SERVICE):
            self.submit(number)
            self.harness.commit()

    def finish_call(self, number):
        """Complete one call; return the names of the orders begun next."""
        results = self.harness.answer_call(order=f'order-{number}')
        claimed_orders = [
            effect.purpose.order
            for effect in results
            if isinstance(effect, effects.Transact)
            and isinstance(effect.purpose, _purposes.ClaimOrder)
        ]
        return claimed_orders

    def test_running_orders_per_service_are_limited(self):
        self.fill_service()
        self.assertEqual([], self.submit(100))
        self.assertEqual(
            orders.MAX_RUNNING_PER_SERVICE,
            self.harness.count(effects.CallService),
        )
        self.assertEqual(['order-100'], self.finish_call(0))

    def test_urgent_order_goes_first(self):
        self.fill_service()
        self.submit(100)
        self.submit(101, rank=Rank.URGENT)
        self.assertEqual(['order-101'], self.finish_call(0))

    def test_lowest_rank_keeps_its_floor(self):
        self.fill_service()
        self.harness.T.policy.ranks[Rank.URGENT].floor = 0.0
        self.submit(100, rank=Rank.URGENT)
        self.submit(101, rank=Rank.LEAST)
        self.assertEqual(['order-101'], self.finish_call(0))

    def test_organisation_with_fewer_running_orders_goes_first(self):
        self.fill_service()
        for number in range(100, 110):
            self.submit(number)
        self.submit(110, organisation='south')
        self.assertEqual(['order-110'], self.finish_call(0))

    def test_full_service_does_not_delay_another(self):
        self.fill_service()
        other = tables.Service('swatches', ['worker-2:80'])
        self.harness.T.services['swatches'] = other
        self.assertEqual(1, len(self.submit(100, service='swatches')))

    def test_queued_order_past_its_deadline_is_not_run(self):
        self.fill_service()
        self.submit(100, deadline_s=1.0)
        results = self.harness.advance(1.5)
        self.assertEqual(
            [Code.DEADLINE_BEFORE_START], _harness.list_codes(results)
        )

    def test_queued_order_whose_caller_leaves_is_not_run(self):
        self.fill_service()
        self.submit(100)
        results = self.harness.deliver(inputs.CallerDisconnected('order-100'))
        self.assertEqual(
            [Code.LEFT_BEFORE_START], _harness.list_codes(results)
        )

    def test_one_organisation_cannot_fill_the_queue(self):
        self.harness.T.policy.ranks[Rank.MIDDLE].max_queued = 10
        refused = [self.submit(number) for number in range(20)]
        codes = [code for r in refused for code in _harness.list_codes(r)]
        self.assertEqual([Code.QUEUE_FULL] * 15, codes)
        results = self.submit(100, organisation='south')
        self.assertEqual([], _harness.list_codes(results))
        results = self.submit(101, rank=Rank.URGENT)
        self.assertEqual([], _harness.list_codes(results))

    def test_background_orders_are_limited(self):
        harness = _harness.Harness()
        harness.T.policy.ranks[Rank.MIDDLE].max_queued = 2
        for number in range(8):
            harness.submit(f'order-{number}', key=f'key-{number}')
            harness.return_outcome(inputs.Unknown())
            harness.deliver(inputs.CallerDisconnected(f'order-{number}'))
        results = harness.submit('order-9', key='key-9')
        self.assertEqual([Code.QUEUE_FULL], _harness.list_codes(results))


class SendPermissionTest(testtools.TestCase):
    def test_stopping_instance_refuses_orders(self):
        harness = _harness.Harness()
        harness.T.stopping = True
        harness.T.refuse_at = harness.now
        self.assertEqual(
            [Code.STOPPING], _harness.list_codes(harness.submit())
        )

    def test_stopping_instance_finishes_its_orders(self):
        harness = _harness.Harness()
        harness.submit()
        harness.T.stopping = True
        harness.T.refuse_at = harness.now
        harness.commit()
        self.assertEqual(1, harness.count(effects.CallService))

    def test_instance_with_stale_configuration_does_not_send(self):
        harness = _harness.Harness()
        harness.submit()
        harness.T.confirmed_at = harness.now - 60.0
        harness.commit()
        for _ in range(10):
            harness.advance(2.0, fresh=False)
        self.assertEqual(0, harness.count(effects.CallService))
        self.assertEqual(
            [Code.NOT_FRESH], _harness.list_codes(harness.effects)
        )

    def test_withdrawn_worker_gets_no_call(self):
        harness = _harness.Harness()
        harness.submit()
        harness.T.config.withdrawn.add(_harness.ADDRESS)
        results = harness.commit()
        self.assertEqual(
            [Code.SERVICE_UNREACHABLE], _harness.list_codes(results)
        )

    def test_call_is_rechecked_right_before_sending(self):
        harness = _harness.Harness()
        harness.submit()
        harness.commit()
        call = harness.find_last(effects.CallService)
        self.assertTrue(orders.may_call(harness.T, call, harness.now))
        self.assertFalse(orders.may_call(harness.T, call, call.start_by))
        harness.T.config.withdrawn.add(call.address)
        self.assertFalse(orders.may_call(harness.T, call, harness.now))


class OverdueCallTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.harness = _harness.Harness()
        self.harness.submit()
        self.harness.commit()
        self.harness.advance(22.0)
        self.harness.advance(1.0)
        self.harness.commit()

    def test_order_waits_for_the_late_report(self):
        order = self.harness.T.orders['order-1']
        self.assertEqual(OrderState.LISTENING, order.state)

    def test_late_result_is_stored(self):
        self.harness.answer_call()
        self.harness.commit()
        self.harness.commit()
        other = _harness.Harness(self.harness.store, 'entry-2')
        other.submit('order-2')
        results = other.commit()
        self.assertEqual([Code.STORED_RESULT], _harness.list_codes(results))

    def test_late_report_of_an_unsent_call_releases_the_key(self):
        self.harness.fail_call(_NOT_SENT)
        self.harness.commit()
        self.harness.commit()
        other = _harness.Harness(self.harness.store, 'entry-2')
        other.submit('order-2')
        other.commit()
        other.commit()
        self.assertEqual(1, other.count(effects.CallService))

    def test_lost_call_ends_the_order(self):
        self.harness.fail_call(_LOST)
        self.assertEqual({}, self.harness.T.orders)

    def test_order_ends_without_a_report(self):
        for _ in range(70):
            self.harness.advance(1.0)
        self.assertEqual({}, self.harness.T.orders)


class StaleLookupTest(testtools.TestCase):
    def test_reply_to_an_earlier_lookup_is_ignored(self):
        harness = _harness.Harness(lookup=True, settle_s=5.0)
        harness.submit()
        harness.commit()
        harness.fail_call(_LOST)
        first = harness.find_last(effects.LookUpKey)
        harness.advance(22.0)
        harness.advance(1.0)
        harness.advance(10.0)
        self.assertEqual(2, harness.count(effects.LookUpKey))
        results = harness.deliver(
            inputs.KeyLookupReturned(
                'order-1', True, lookup_number=first.lookup_number
            )
        )
        self.assertEqual([], results)
        harness.answer_lookup()
        self.assertEqual(
            OrderState.RELEASING, harness.T.orders['order-1'].state
        )
