"""Tests of requests on simulated engines."""

import testtools

from sniperudder import inputs
from sniperudder import messages
from sniperudder import outcomes
from sniperudder.systems.requests.tests import _fleets
from sniperudder import tables


def _break_all_connections(fleet, time):
    # Repeated for the length of an iteration, so that calls are in flight.
    for part in range(10):
        fleet.clock.run_until(time + part * 0.002)
        for engine in fleet.engines.values():
            engine.break_calls()


class TestAnswers(testtools.TestCase):
    def test_chain_gives_complete_answer(self):
        fleet = _fleets.create_fleet()
        fleet.send_request('entry-0', _fleets.make_arrival(1))
        fleet.clock.run_until(5.0)
        received = fleet.received['req-1']
        self.assertIsInstance(received.outcome, outcomes.Answered)
        self.assertEqual(5, len(received.tokens))
        self.assertEqual([], _fleets.find_violations(fleet))

    def test_slots_are_released(self):
        fleet = _fleets.create_fleet()
        for number in range(30):
            fleet.send_request('entry-0', _fleets.make_arrival(number))
        fleet.clock.run_until(20.0)
        T = fleet.entries['entry-0']
        self.assertEqual({}, T.requests)
        self.assertEqual(0, sum(T.running.values()))
        self.assertEqual(
            [0], sorted({e.streams for e in T.endpoints.values()})
        )
        held = [engine.count_streams() for engine in fleet.engines.values()]
        self.assertEqual([0, 0, 0, 0], held)

    def test_request_resumes_after_crash_of_a_stage(self):
        fleet = _fleets.create_fleet()
        arrival = _fleets.make_arrival(1, max_tokens=40)
        fleet.send_request('entry-0', arrival)
        T = fleet.entries['entry-0']
        fleet.clock.run_until(0.2)
        stage = T.requests['req-1'].chain[1]
        fleet.engines[stage.endpoint].crash(3.0)
        fleet.clock.run_until(20.0)
        received = fleet.received['req-1']
        self.assertIsInstance(received.outcome, outcomes.Answered)
        self.assertEqual([], _fleets.find_violations(fleet))
        attempts = {r.attempt for e in fleet.engines.values() for r in e.log}
        self.assertEqual({1, 2}, attempts)

    def test_late_result_of_an_old_attempt_is_dropped(self):
        fleet = _fleets.create_fleet()
        fleet.step_timeout_s = 0.3
        arrival = _fleets.make_arrival(1, max_tokens=20)
        fleet.send_request('entry-0', arrival)
        fleet.clock.run_until(0.1)
        for engine in fleet.engines.values():
            engine.slow = 50.0
        fleet.clock.run_until(1.0)
        for engine in fleet.engines.values():
            engine.slow = 1.0
        fleet.clock.run_until(30.0)
        self.assertEqual([], _fleets.find_violations(fleet))
        T = fleet.entries['entry-0']
        self.assertGreater(T.counters['late_steps'], 0)

    def test_caller_that_leaves_frees_engines(self):
        fleet = _fleets.create_fleet()
        arrival = _fleets.make_arrival(1, max_tokens=1000)
        fleet.send_request('entry-0', arrival)
        fleet.clock.run_until(0.5)
        fleet.submit('entry-0', inputs.CallerDisconnected('req-1'))
        fleet.clock.run_until(1.0)
        held = [engine.count_streams() for engine in fleet.engines.values()]
        self.assertEqual([0, 0, 0, 0], held)
        self.assertEqual(
            outcomes.Code.CALLER_LEFT, fleet.received['req-1'].outcome.code
        )


class TestRefusals(testtools.TestCase):
    def _refuse(self, fleet, **fields):
        fleet.send_request('entry-0', _fleets.make_arrival(1, **fields))
        fleet.clock.run_until(fleet.clock.now + 1.0)
        outcome = fleet.received['req-1'].outcome
        self.assertIsInstance(outcome, outcomes.Refused)
        self.assertEqual([], _fleets.find_violations(fleet))
        return outcome.code

    def test_model_without_chain(self):
        fleet = _fleets.create_fleet(copies=1)
        T = fleet.entries['entry-0']
        T.config.withdrawn.add('ep-4-0')
        self.assertEqual(outcomes.Code.NO_ENDPOINT, self._refuse(fleet))

    def test_stopping_instance(self):
        fleet = _fleets.create_fleet()
        fleet.submit('entry-0', inputs.StopRequested())
        lag_s = fleet.entries['entry-0'].policy.balancer_lag_s
        fleet.clock.run_until(lag_s)
        self.assertEqual(outcomes.Code.STOPPING, self._refuse(fleet))

    def test_stopping_instance_serves_while_the_balancer_lags(self):
        fleet = _fleets.create_fleet(entries=2)
        fleet.submit('entry-0', inputs.StopRequested())
        fleet.clock.run_until(1.0)
        fleet.send_request('entry-0', _fleets.make_arrival(1))
        fleet.clock.run_until(3.0)
        outcome = fleet.received['req-1'].outcome
        self.assertIsInstance(outcome, outcomes.Answered)

    def test_shed_rank(self):
        fleet = _fleets.create_fleet()
        T = fleet.entries['entry-0']
        T.config.shed_ranks[tables.Rank.LEAST] = 1.0
        code = self._refuse(fleet, rank=tables.Rank.LEAST)
        self.assertEqual(outcomes.Code.SHED, code)

    def test_instance_with_stale_configuration(self):
        fleet = _fleets.create_fleet()
        fleet.confirm = False
        fleet.entries['entry-0'].confirmed_at = -100.0
        self.assertEqual(outcomes.Code.NOT_FRESH, self._refuse(fleet))

    def test_request_that_would_exceed_its_maximum_wait(self):
        fleet = _fleets.create_fleet(copies=1, streams=1)
        long = _fleets.make_arrival(0, max_tokens=1000)
        fleet.send_request('entry-0', long)
        fleet.send_request('entry-0', _fleets.make_arrival(1))
        fleet.clock.run_until(5.0)
        outcome = fleet.received['req-1'].outcome
        self.assertEqual(outcomes.Code.TARGET_UNREACHABLE, outcome.code)
        self.assertEqual([], _fleets.find_violations(fleet))


class TestCondemnedContent(testtools.TestCase):
    def test_content_is_condemned_after_second_crash(self):
        fleet = _fleets.create_fleet(copies=4)
        poison = {'prompt': 'say \0poison now'}
        fleet.send_request('entry-0', _fleets.make_arrival(1, **poison))
        for number in range(2, 8):
            arrival = _fleets.make_arrival(number, max_tokens=20)
            fleet.send_request('entry-0', arrival)
        fleet.clock.run_until(30.0)
        fleet.send_request('entry-0', _fleets.make_arrival(9, **poison))
        fleet.clock.run_until(60.0)
        crashes = sum(len(e.crashes) for e in fleet.engines.values())
        self.assertEqual(2, crashes)
        code = fleet.received['req-1'].outcome.code
        self.assertEqual(outcomes.Code.CRASHED_ENDPOINTS, code)
        code = fleet.received['req-9'].outcome.code
        self.assertEqual(outcomes.Code.CONTENT_CONDEMNED, code)
        for number in range(2, 8):
            outcome = fleet.received[f'req-{number}'].outcome
            self.assertIsInstance(outcome, outcomes.Answered)

    # Guards against: prompts that share what crashes engines, no two alike,
    # are sent to engine after engine, as only whole prompts are identified.
    def test_prompts_that_share_what_crashes_engines_are_stopped(self):
        fleet = _fleets.create_fleet(copies=4)
        for number in range(12):
            arrival = _fleets.make_arrival(
                number, prompt=f'say \0poison {number}'
            )
            fleet.send_request('entry-0', arrival)
            fleet.clock.run_until(5.0 * number)
        crashes = sum(len(e.crashes) for e in fleet.engines.values())
        # Five, and three more while they become known.
        self.assertLessEqual(crashes, 8)

    def test_missing_reports_confirm_crashes(self):
        fleet = _fleets.create_fleet(copies=4)
        for engine in fleet.engines.values():
            engine.restart_s = 1e9
        fleet.clock.run_until(2.0)
        poison = {'prompt': 'say \0poison now'}
        fleet.send_request('entry-0', _fleets.make_arrival(1, **poison))
        fleet.clock.run_until(10.0)
        fleet.send_request('entry-0', _fleets.make_arrival(2, **poison))
        fleet.clock.run_until(11.0)
        crashes = sum(len(e.crashes) for e in fleet.engines.values())
        self.assertEqual(2, crashes)
        code = fleet.received['req-1'].outcome.code
        self.assertEqual(outcomes.Code.CRASHED_ENDPOINTS, code)
        code = fleet.received['req-2'].outcome.code
        self.assertEqual(outcomes.Code.CONTENT_CONDEMNED, code)

    def test_suspects_do_not_block_others_of_their_organisation(self):
        fleet = _fleets.create_fleet(copies=2, streams=8)
        for number in range(8):
            arrival = _fleets.make_arrival(number, max_tokens=100)
            fleet.send_request('entry-0', arrival)
        fleet.clock.run_until(0.5)
        for name in ('ep-0-0', 'ep-0-1'):
            fleet.engines[name].crash(0.1)
        fleet.clock.run_until(3.0)
        fleet.send_request('entry-0', _fleets.make_arrival(9))
        fleet.clock.run_until(3.5)
        outcome = fleet.received['req-9'].outcome
        self.assertIsInstance(outcome, outcomes.Answered)


class TestBrokenConnections(testtools.TestCase):
    def test_engine_that_did_not_crash_is_used_again(self):
        fleet = _fleets.create_fleet(copies=1)
        for number in range(2):
            arrival = _fleets.make_arrival(number, max_tokens=40)
            fleet.send_request('entry-0', arrival)
        _break_all_connections(fleet, 0.3)
        fleet.clock.run_until(30.0)
        fleet.send_request('entry-0', _fleets.make_arrival(8))
        fleet.clock.run_until(60.0)
        for received in fleet.received.values():
            self.assertIsInstance(received.outcome, outcomes.Answered)

    def test_broken_connections_do_not_condemn_content(self):
        fleet = _fleets.create_fleet(copies=3)
        arrival = _fleets.make_arrival(1, max_tokens=200)
        fleet.send_request('entry-0', arrival)
        for time in (0.3, 2.0, 4.0):
            _break_all_connections(fleet, time)
        fleet.clock.run_until(40.0)
        outcome = fleet.received['req-1'].outcome
        self.assertIsInstance(outcome, outcomes.Answered)


class TestPreemption(testtools.TestCase):
    def test_first_step_in_flight_at_preemption_counts_as_run(self):
        # Guards against reporting a request as not run although a step that
        # was in flight when its stream was preempted did run; seed 102997
        # of draw_plan gives such a run.
        fleet = _fleets.create_fleet(copies=1, streams=1)
        least = _fleets.make_arrival(1, rank=tables.Rank.LEAST)
        fleet.send_request('entry-0', least)
        fleet.clock.run_until(0.002)
        revoke = messages.RevokeSlot('req-1', 1)
        message = inputs.SlotMessageArrived('entry-0', revoke)
        fleet.entries['entry-0'].config.withdrawn.add('ep-0-0')
        fleet.submit('entry-0', message)
        fleet.submit('entry-0', inputs.CallerDisconnected('req-1'))
        fleet.clock.run_until(5.0)
        self.assertEqual([], _fleets.find_violations(fleet))

    def test_preempted_least_rank_stream_resumes(self):
        fleet = _fleets.create_fleet(copies=1, streams=2)
        for number in range(2):
            arrival = _fleets.make_arrival(
                number, rank=tables.Rank.LEAST, max_tokens=50
            )
            fleet.send_request('entry-0', arrival)
        fleet.clock.run_until(0.5)
        fleet.send_request('entry-0', _fleets.make_arrival(7))
        fleet.clock.run_until(30.0)
        T = fleet.entries['entry-0']
        self.assertEqual(1, T.counters['yields'])
        ended = [h.outcome for h in fleet.received.values()]
        self.assertEqual([outcomes.Answered()] * 3, ended)
        self.assertEqual([], _fleets.find_violations(fleet))
