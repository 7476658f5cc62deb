"""Guarantees for orders, checked from callers' and services' records."""

from sniperudder import outcomes
from sniperudder.testing import _orders

# Maximum time for which a key stays in doubt once all faults have ended
# and its caller has sent it again.
RESOLUTION_S = _orders.SETTLE_S + 4.0

# These can leave an order in doubt for good at a service without lookup
# or deduplication.
_IN_DOUBT_FAULTS = _orders.SERVICE_FAULTS | {
    _orders.FaultKind.KILL,
    _orders.FaultKind.KILL_MIDWAY,
}


def check_orders(simulation):
    """Return the guarantees that a finished run violated.

    Parameters
    ----------
    simulation : OrderSimulation

    Returns
    -------
    list of str
    """
    found = []
    runs = _list_runs(simulation)
    found += _check_single_runs(runs)
    found += _check_not_run(simulation, runs)
    found += _check_results(simulation, runs)
    found += _check_conflicts(simulation)
    found += _check_finished(simulation)
    found += _check_resolved(simulation)
    return found


def _list_runs(simulation):
    by_name = {attempt.name: attempt for attempt in simulation.tries}
    return [
        (by_name[run.order], run)
        for service in simulation.services.values()
        for run in service.log
    ]


def _identify(attempt):
    plan = attempt.plan
    return plan.organisation, plan.service, plan.key


def _check_single_runs(runs):
    found = []
    seen = {}
    for attempt, run in runs:
        if run.service == _orders.REPEATABLE:
            continue
        identity = _identify(attempt)
        if identity in seen:
            found.append(
                f'{identity} ran twice: {seen[identity]} and {run.order}'
            )
        seen[identity] = run.order
    return found


def _check_not_run(simulation, runs):
    ran = {run.order for _, run in runs}
    return [
        f'{attempt.name} was refused as not run but ran'
        for attempt in simulation.tries
        for outcome in attempt.outcomes
        if isinstance(outcome, outcomes.Refused) and attempt.name in ran
    ]


def _check_results(simulation, runs):
    found = []
    results = {}
    for attempt, run in runs:
        results.setdefault(_identify(attempt), {})[run.result] = run.body
    for attempt in simulation.tries:
        for outcome in attempt.outcomes:
            if not isinstance(outcome, outcomes.Answered):
                continue
            known = results.get(_identify(attempt), {})
            if known.get(outcome.body) != attempt.plan.body:
                found.append(
                    f'{attempt.name} got a result of another order: '
                    f'{outcome.body}'
                )
    return found


def _check_conflicts(simulation):
    found = []
    bodies = {}
    for attempt in simulation.tries:
        known = bodies.setdefault(_identify(attempt), set())
        known.add(attempt.plan.body)
    for attempt in simulation.tries:
        for outcome in attempt.outcomes:
            if outcome.code != outcomes.Code.IDEMPOTENCY_CONFLICT:
                continue
            if len(bodies[_identify(attempt)]) < 2:
                found.append(f'{attempt.name} conflicts with itself')
    return found


def _check_finished(simulation):
    found = []
    for attempt in simulation.tries:
        if len(attempt.outcomes) > 1:
            found.append(f'{attempt.name} got several outcomes')
        if not attempt.outcomes and not attempt.broken:
            found.append(f'{attempt.name} got no outcome')
    for entry in simulation.entries:
        for name, order in entry.T.orders.items():
            found.append(f'{name} stays in {order.state.value}')
    return found


def _check_resolved(simulation):
    found = []
    may_stay_in_doubt = any(
        fault.kind in _IN_DOUBT_FAULTS for fault in simulation.scenario.faults
    )
    finals = {}
    for attempt in simulation.tries:
        if attempt.final and attempt.outcomes:
            finals.setdefault(_identify(attempt), []).append(attempt)
    for identity, attempts in finals.items():
        if identity[1] == _orders.PLAIN and may_stay_in_doubt:
            continue
        found += _check_settled(identity, attempts)
    return found


def _check_settled(identity, attempts):
    found = []
    answered = 0
    for attempt in attempts:
        outcome = attempt.outcomes[0]
        if outcome.code == outcomes.Code.IDEMPOTENCY_CONFLICT:
            continue
        if not isinstance(outcome, outcomes.Answered):
            found.append(f'{identity} is not settled: {outcome}')
            continue
        answered += 1
        elapsed_s = attempt.ended_at - attempt.sent_at
        if elapsed_s > RESOLUTION_S:
            found.append(f'{identity} was settled after {elapsed_s:.1f} s')
    if not answered:
        found.append(f'{identity} brought no result')
    return found
