import testtools

from sniperudder import effects
from sniperudder import errors
from sniperudder import inputs
from sniperudder.outcomes import Code
from sniperudder.systems import orders
from sniperudder.systems.orders import _purposes
from sniperudder.systems.orders.tests import _bench
from sniperudder import tables
from sniperudder.tables import OrderState
from sniperudder.tables import Rank

_LOST = inputs.Delivery.LOST
_NOT_SENT = inputs.Delivery.NOT_SENT


class PlainPathTest(testtools.TestCase):
    def test_claim_goes_before_the_call(self):
        bench = _bench.Bench()
        bench.send()
        self.assertEqual(0, bench.count(effects.CallService))
        bench.commit()
        self.assertEqual(1, bench.count(effects.CallService))

    def test_result_is_stored_before_the_answer(self):
        bench = _bench.Bench()
        bench.send()
        bench.commit()
        self.assertEqual([], _bench.list_codes(bench.answer_call()))
        self.assertEqual([Code.ANSWERED], _bench.list_codes(bench.commit()))
        self.assertEqual({}, bench.T.orders)

    def test_answer_does_not_wait_long_for_the_store(self):
        bench = _bench.Bench()
        bench.send()
        bench.commit()
        bench.answer_call()
        self.assertEqual(
            [Code.ANSWERED], _bench.list_codes(bench.pass_time(1.5))
        )
        self.assertEqual(OrderState.STORING, bench.T.orders['order-1'].state)

    def test_server_error_is_a_result(self):
        bench = _bench.Bench()
        bench.send()
        bench.commit()
        bench.answer_call('broken', status=500)
        bench.commit()
        outcome = bench.find(effects.Finish).outcome
        self.assertEqual((500, 'broken'), (outcome.status, outcome.body))

    def test_service_key_holds_the_organisation(self):
        bench = _bench.Bench()
        bench.send(organisation='north/1', key='a b')
        bench.commit()
        call = bench.find(effects.CallService)
        self.assertEqual('north%2F1/compressors/a%20b', call.key)

    def test_unknown_service_is_refused(self):
        bench = _bench.Bench()
        results = bench.send(service='none')
        self.assertEqual([Code.UNKNOWN_SERVICE], _bench.list_codes(results))

    def test_name_that_is_in_use_is_a_fault(self):
        bench = _bench.Bench()
        bench.send()
        self.assertRaises(errors.InvariantBroken, bench.send)


class RepeatTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.first = _bench.Bench()
        self.second = _bench.Bench(self.first.store, 'entry-2')
        self.first.send()
        self.first.commit()

    def finish_first(self):
        self.first.answer_call()
        self.first.commit()

    def test_repeat_gets_the_stored_result(self):
        self.finish_first()
        self.second.send('order-2')
        results = self.second.commit()
        self.assertEqual([Code.STORED_RESULT], _bench.list_codes(results))
        self.assertEqual('receipt', results[0].outcome.body)
        self.assertEqual(0, self.second.count(effects.CallService))

    def test_repeat_waits_for_the_first(self):
        self.second.send('order-2')
        self.assertEqual([], _bench.list_codes(self.second.commit()))
        self.finish_first()
        self.second.pass_time(1.0)
        results = self.second.commit()
        self.assertEqual([Code.STORED_RESULT], _bench.list_codes(results))

    def test_repeat_never_takes_over_a_plain_claim(self):
        self.second.send('order-2')
        self.second.commit()
        for _ in range(10):
            self.second.pass_time(2.0)
            if self.second.T.orders:
                self.second.commit()
        self.assertEqual(0, self.second.count(effects.CallService))
        self.assertEqual(
            [Code.ORDER_IN_PROGRESS], _bench.list_codes(self.second.effects)
        )

    def test_claim_that_does_not_change_is_in_doubt(self):
        self.second.send('order-2', deadline_s=60.0)
        self.second.commit()
        for _ in range(31):
            self.second.pass_time(2.0)
            if self.second.T.orders:
                self.second.commit()
        self.assertEqual(
            [Code.ORDER_IN_DOUBT], _bench.list_codes(self.second.effects)
        )
        note = self.second.find(effects.Note)
        self.assertEqual('order/north/compressors/key-1', note.detail)

    def test_other_body_is_a_conflict(self):
        self.second.send('order-2', body='{}')
        results = self.second.commit()
        self.assertEqual(
            [Code.IDEMPOTENCY_CONFLICT], _bench.list_codes(results)
        )

    def test_other_organisation_is_another_order(self):
        self.second.send('order-2', organisation='south')
        self.second.commit()
        self.assertEqual(1, self.second.count(effects.CallService))

    def test_order_in_doubt_is_told_at_once(self):
        self.first.fail_call(_LOST)
        self.first.commit()
        self.second.send('order-2')
        results = self.second.commit()
        self.assertEqual([Code.ORDER_IN_DOUBT], _bench.list_codes(results))

    def test_row_that_cannot_be_read_is_in_doubt(self):
        call = self.first.find(effects.Transact)
        key = call.writes[0].key
        row = effects.Row(key, 'nonsense', 9)
        self.first.store.rows[key] = row
        self.second.send('order-2')
        results = self.second.commit()
        self.assertEqual([Code.ORDER_IN_DOUBT], _bench.list_codes(results))


class PlatformFaultTest(testtools.TestCase):
    def test_lost_answer_is_read_back(self):
        bench = _bench.Bench()
        bench.send()
        bench.commit_unheard()
        self.assertEqual(0, bench.count(effects.CallService))
        bench.pass_time(0.2)
        bench.commit()
        self.assertEqual(1, bench.count(effects.CallService))

    def test_no_claim_means_not_run(self):
        bench = _bench.Bench()
        bench.send()
        bench.give_outcome(inputs.NotSent())
        results = bench.pass_time(21.0)
        self.assertEqual(
            [Code.PLATFORM_UNAVAILABLE], _bench.list_codes(results)
        )
        self.assertEqual({}, bench.T.orders)

    def test_claim_of_a_refused_order_is_released(self):
        bench = _bench.Bench()
        bench.send()
        bench.commit_unheard()
        bench.pass_time(21.0)
        bench.commit()
        bench.commit()
        self.assertEqual({}, bench.T.orders)
        other = _bench.Bench(bench.store, 'entry-2')
        other.send('order-2')
        other.commit()
        other.commit()
        self.assertEqual(1, other.count(effects.CallService))

    def test_late_claim_cannot_follow_its_release(self):
        bench = _bench.Bench()
        bench.send()
        claim = bench.find(effects.Transact)
        bench.give_outcome(inputs.Unknown())
        bench.pass_time(21.0)
        bench.commit()
        self.assertEqual({}, bench.T.orders)
        outcome = bench.store.transact(claim)
        self.assertIsInstance(outcome, inputs.Conflicted)

    def test_lost_answer_to_the_result_is_settled(self):
        bench = _bench.Bench()
        bench.send()
        bench.commit()
        bench.answer_call()
        bench.commit_unheard()
        bench.pass_time(0.2)
        self.assertEqual([Code.ANSWERED], _bench.list_codes(bench.commit()))

    def test_storing_is_given_up_at_last(self):
        bench = _bench.Bench()
        bench.send()
        bench.commit()
        bench.answer_call()
        bench.give_outcome(inputs.NotSent())
        bench.pass_time(3700.0)
        self.assertEqual({}, bench.T.orders)
        self.assertEqual('order:give-up', bench.find(effects.Note).event)


class ServiceFaultTest(testtools.TestCase):
    def test_lost_call_is_not_repeated(self):
        bench = _bench.Bench()
        bench.send()
        bench.commit()
        results = bench.fail_call(_LOST)
        self.assertEqual([Code.ORDER_IN_DOUBT], _bench.list_codes(results))
        bench.commit()
        bench.pass_time(30.0)
        self.assertEqual(1, bench.count(effects.CallService))

    def test_unsent_call_is_tried_again_and_then_refused(self):
        bench = _bench.Bench()
        bench.send()
        bench.commit()
        for _ in range(4):
            bench.fail_call(_NOT_SENT)
            bench.pass_time(1.0)
        self.assertEqual(4, bench.count(effects.CallService))
        self.assertEqual(
            [Code.SERVICE_UNREACHABLE], _bench.list_codes(bench.effects)
        )
        bench.commit()
        self.assertEqual({}, bench.T.orders)

    def test_deduplicating_service_gets_the_same_key_again(self):
        bench = _bench.Bench(deduplicates=True)
        bench.send()
        bench.commit()
        first = bench.find(effects.CallService)
        bench.fail_call(_LOST)
        bench.pass_time(1.0)
        self.assertEqual(2, bench.count(effects.CallService))
        self.assertEqual(first.key, bench.find(effects.CallService).key)

    def test_repeatable_service_needs_no_claim(self):
        bench = _bench.Bench(repeatable=True)
        bench.send()
        bench.fail_call(_LOST)
        bench.pass_time(1.0)
        bench.answer_call()
        self.assertEqual(0, bench.count(effects.Transact))
        self.assertEqual([Code.ANSWERED], _bench.list_codes(bench.effects))

    def test_overdue_call_that_was_not_sent_is_released(self):
        bench = _bench.Bench()
        bench.send()
        bench.commit()
        bench.pass_time(22.0)
        bench.pass_time(1.0)
        bench.fail_call(_NOT_SENT)
        self.assertEqual(OrderState.RELEASING, bench.T.orders['order-1'].state)

    def test_invariant_forbids_a_second_call(self):
        bench = _bench.Bench()
        bench.send()
        bench.commit()
        order = bench.T.orders['order-1']
        order.pending = 0
        order.next_at = bench.now
        self.assertRaises(errors.InvariantBroken, bench.pass_time, 0.1)

    def test_invariant_forbids_a_release_after_a_call(self):
        bench = _bench.Bench()
        bench.send()
        bench.commit()
        order = bench.T.orders['order-1']
        order.state = OrderState.RELEASING
        order.pending = 0
        order.next_at = bench.now
        self.assertRaises(errors.InvariantBroken, bench.pass_time, 0.1)


class LookupTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.bench = _bench.Bench(lookup=True, settle_s=4.0)
        self.bench.send()
        self.bench.commit()

    def test_found_result_is_stored_and_given(self):
        self.bench.fail_call(_LOST)
        self.bench.tell(found=True, status=200, body='receipt')
        results = self.bench.commit()
        self.assertEqual([Code.ANSWERED], _bench.list_codes(results))

    def test_key_that_is_not_found_is_believed_after_settling(self):
        self.bench.fail_call(_LOST)
        self.assertEqual([], _bench.list_codes(self.bench.tell()))
        self.bench.pass_time(4.5)
        results = self.bench.tell()
        self.assertEqual(
            [Code.SERVICE_UNREACHABLE], _bench.list_codes(results)
        )

    def test_call_that_still_runs_is_not_unrun(self):
        self.bench.fail_call(_LOST)
        self.bench.pass_time(4.5)
        results = self.bench.tell(started=True)
        self.assertEqual([], _bench.list_codes(results))

    def test_repeat_asks_in_place_of_a_dead_holder(self):
        other = _bench.Bench(
            self.bench.store, 'entry-2', lookup=True, settle_s=4.0
        )
        other.send('order-2')
        other.commit()
        other.pass_time(1.5)
        other.commit()
        self.assertEqual(1, other.count(effects.AskService))
        other.tell(found=True, status=200, body='receipt')
        results = other.commit()
        self.assertEqual([Code.STORED_RESULT], _bench.list_codes(results))

    def test_old_claim_is_renewed_before_the_call(self):
        bench = _bench.Bench(lookup=True, settle_s=4.0)
        bench.send()
        bench.commit_unheard()
        bench.pass_time(3.0)
        bench.commit()
        self.assertEqual(0, bench.count(effects.CallService))
        bench.commit()
        self.assertEqual(1, bench.count(effects.CallService))
        call = bench.find(effects.CallService)
        self.assertEqual(bench.now + 2.0, call.start_by)


class CallerLeftTest(testtools.TestCase):
    def test_order_that_was_not_sent_is_released(self):
        bench = _bench.Bench()
        bench.send()
        results = bench.give(inputs.CallerLeft('order-1'))
        self.assertEqual([Code.LEFT_BEFORE_START], _bench.list_codes(results))
        bench.commit()
        self.assertEqual({}, bench.T.orders)
        self.assertEqual(0, bench.count(effects.CallService))

    def test_order_that_was_sent_is_finished_and_stored(self):
        bench = _bench.Bench()
        bench.send()
        bench.commit()
        self.assertEqual([], bench.give(inputs.CallerLeft('order-1')))
        bench.answer_call()
        self.assertEqual([Code.ANSWERED], _bench.list_codes(bench.commit()))

    def test_request_that_is_no_order_is_ignored(self):
        bench = _bench.Bench()
        self.assertEqual([], bench.give(inputs.CallerLeft('request-1')))


class AdmissionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.bench = _bench.Bench()

    def send(self, number, **changes):
        return self.bench.send(f'order-{number}', key=str(number), **changes)

    def fill(self):
        """Occupy the service with calls."""
        for number in range(orders.RUNNING_PER_SERVICE):
            self.send(number)
            self.bench.commit()

    def finish(self, number):
        """Free one place; return the name of the order that gets it."""
        results = self.bench.answer_call(order=f'order-{number}')
        claims = [
            effect.purpose.order
            for effect in results
            if isinstance(effect, effects.Transact)
            and isinstance(effect.purpose, _purposes.ClaimOrder)
        ]
        return claims

    def test_service_gets_a_limited_number_of_calls(self):
        self.fill()
        self.assertEqual([], self.send(100))
        self.assertEqual(
            orders.RUNNING_PER_SERVICE,
            self.bench.count(effects.CallService),
        )
        self.assertEqual(['order-100'], self.finish(0))

    def test_urgent_order_goes_first(self):
        self.fill()
        self.send(100)
        self.send(101, rank=Rank.URGENT)
        self.assertEqual(['order-101'], self.finish(0))

    def test_least_rank_keeps_its_floor(self):
        self.fill()
        self.bench.T.policy.ranks[Rank.URGENT].floor = 0.0
        self.send(100, rank=Rank.URGENT)
        self.send(101, rank=Rank.LEAST)
        self.assertEqual(['order-101'], self.finish(0))

    def test_small_organisation_goes_before_a_large_one(self):
        self.fill()
        for number in range(100, 110):
            self.send(number)
        self.send(110, organisation='south')
        self.assertEqual(['order-110'], self.finish(0))

    def test_other_service_is_not_held_up(self):
        self.fill()
        other = tables.Service('swatches', ['worker-2:80'])
        self.bench.T.services['swatches'] = other
        self.assertEqual(1, len(self.send(100, service='swatches')))

    def test_queued_order_past_its_deadline_is_not_run(self):
        self.fill()
        self.send(100, deadline_s=1.0)
        results = self.bench.pass_time(1.5)
        self.assertEqual(
            [Code.DEADLINE_BEFORE_START], _bench.list_codes(results)
        )

    def test_queued_order_whose_caller_leaves_is_not_run(self):
        self.fill()
        self.send(100)
        results = self.bench.give(inputs.CallerLeft('order-100'))
        self.assertEqual([Code.LEFT_BEFORE_START], _bench.list_codes(results))

    def test_organisation_leaves_room_for_others(self):
        self.bench.T.policy.ranks[Rank.MIDDLE].max_queued = 10
        refused = [self.send(number) for number in range(20)]
        codes = [code for r in refused for code in _bench.list_codes(r)]
        self.assertEqual([Code.QUEUE_FULL] * 15, codes)
        results = self.send(100, organisation='south')
        self.assertEqual([], _bench.list_codes(results))
        results = self.send(101, rank=Rank.URGENT)
        self.assertEqual([], _bench.list_codes(results))

    def test_background_has_a_limit(self):
        bench = _bench.Bench()
        bench.T.policy.ranks[Rank.MIDDLE].max_queued = 2
        for number in range(8):
            bench.send(f'order-{number}', key=f'key-{number}')
            bench.give_outcome(inputs.Unknown())
            bench.give(inputs.CallerLeft(f'order-{number}'))
        results = bench.send('order-9', key='key-9')
        self.assertEqual([Code.QUEUE_FULL], _bench.list_codes(results))


class SendingTest(testtools.TestCase):
    def test_stopping_instance_takes_no_order(self):
        bench = _bench.Bench()
        bench.T.stopping = True
        bench.T.refuse_at = bench.now
        self.assertEqual([Code.STOPPING], _bench.list_codes(bench.send()))

    def test_stopping_instance_finishes_its_orders(self):
        bench = _bench.Bench()
        bench.send()
        bench.T.stopping = True
        bench.T.refuse_at = bench.now
        bench.commit()
        self.assertEqual(1, bench.count(effects.CallService))

    def test_stale_instance_does_not_send(self):
        bench = _bench.Bench()
        bench.send()
        bench.T.confirmed_at = bench.now - 60.0
        bench.commit()
        for _ in range(10):
            bench.pass_time(2.0, fresh=False)
        self.assertEqual(0, bench.count(effects.CallService))
        self.assertEqual([Code.NOT_FRESH], _bench.list_codes(bench.effects))

    def test_withdrawn_worker_gets_no_call(self):
        bench = _bench.Bench()
        bench.send()
        bench.T.config.withdrawn.add(_bench.ADDRESS)
        results = bench.commit()
        self.assertEqual(
            [Code.SERVICE_UNREACHABLE], _bench.list_codes(results)
        )

    def test_frozen_call_is_checked_again(self):
        bench = _bench.Bench()
        bench.send()
        bench.commit()
        call = bench.find(effects.CallService)
        self.assertTrue(orders.may_call(bench.T, call, bench.now))
        self.assertFalse(orders.may_call(bench.T, call, call.start_by))
        bench.T.config.withdrawn.add(call.address)
        self.assertFalse(orders.may_call(bench.T, call, bench.now))


class OverdueTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.bench = _bench.Bench()
        self.bench.send()
        self.bench.commit()
        self.bench.pass_time(22.0)
        self.bench.pass_time(1.0)
        self.bench.commit()

    def test_order_waits_for_the_report(self):
        order = self.bench.T.orders['order-1']
        self.assertEqual(OrderState.LISTENING, order.state)

    def test_late_result_is_stored(self):
        self.bench.answer_call()
        self.bench.commit()
        self.bench.commit()
        other = _bench.Bench(self.bench.store, 'entry-2')
        other.send('order-2')
        results = other.commit()
        self.assertEqual([Code.STORED_RESULT], _bench.list_codes(results))

    def test_late_news_of_an_unsent_call_releases_the_key(self):
        self.bench.fail_call(_NOT_SENT)
        self.bench.commit()
        self.bench.commit()
        other = _bench.Bench(self.bench.store, 'entry-2')
        other.send('order-2')
        other.commit()
        other.commit()
        self.assertEqual(1, other.count(effects.CallService))

    def test_lost_call_ends_the_order(self):
        self.bench.fail_call(_LOST)
        self.assertEqual({}, self.bench.T.orders)

    def test_silence_ends_the_order(self):
        for _ in range(70):
            self.bench.pass_time(1.0)
        self.assertEqual({}, self.bench.T.orders)


class StaleAnswerTest(testtools.TestCase):
    def test_answer_to_an_earlier_question_is_not_believed(self):
        bench = _bench.Bench(lookup=True, settle_s=5.0)
        bench.send()
        bench.commit()
        bench.fail_call(_LOST)
        first = bench.find(effects.AskService)
        bench.pass_time(22.0)
        bench.pass_time(1.0)
        bench.pass_time(10.0)
        self.assertEqual(2, bench.count(effects.AskService))
        results = bench.give(
            inputs.ServiceTold('order-1', True, question=first.question)
        )
        self.assertEqual([], results)
        bench.tell()
        self.assertEqual(OrderState.RELEASING, bench.T.orders['order-1'].state)
