"""Measures dispatch under overload, unfair load and failure of the home.

Run as ``python -m measurements.policy``; writes ``reports/policy.md``
and ``reports/policy.png``. Time is simulated and seeds are fixed, so
every run gives the same results.
"""

import dataclasses
import pathlib

import matplotlib

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402

from measurements import _cases  # noqa: E402
from measurements import _fleets  # noqa: E402
from measurements import _loads  # noqa: E402
from sniperudder import outcomes  # noqa: E402
from sniperudder import tables  # noqa: E402

_SEED = 1
_LONG_RUN_S = 60.0
# Short, as the baseline placements retry every refused step and are slow to
# simulate.
_SHORT_RUN_S = 12.0
_REPORT_LAGS_S = (0.0, 1.0, 10.0)
_KILL_AT_S = 20.0
_FAILURE_WINDOW_S = 5.0
_REFUSAL_LIMIT_S = 0.05
_REPORTS = pathlib.Path('reports')
_URGENT = tables.Rank.URGENT


def run_case(case):
    """Run a case and return its fleet."""
    size = dataclasses.replace(_cases.FLEET_SIZE, lag_s=case.lag_s)

    def configure(T):
        T.policy.placement = case.placement

    fleet = _fleets.create_fleet(size, _SEED, configure)
    _loads.send_loads(fleet, case.loads, _SEED)
    if case.kill_at_s is not None:
        fleet.clock.call_at(case.kill_at_s, _kill_home, fleet)
    fleet.clock.run_until(case.end_s)
    return fleet


def _kill_home(fleet):
    fleet.dead.add(max(fleet.entries.values(), key=_count_granted_slots).me)


def _count_granted_slots(T):
    return len(T.granted)


@dataclasses.dataclass(slots=True)
class Result:
    """Results of one case.

    Attributes
    ----------
    case : Case
    services : dict of Rank to LoadSummary
    share : float
        Throughput as a share of the bound.
    late : int
        Number of refusals that took longer than `_REFUSAL_LIMIT_S`.
    refused : int
        Number of refusals.
    preemptions : int
        Number of times that a stream was preempted.
    jain : float
        Jain's fairness index of the shares that organisations received.
    """

    case: _cases.Case
    services: dict
    share: float
    late: int
    refused: int
    preemptions: int
    jain: float


def measure_case(case):
    """Run a case and return its result."""
    return summarise(case, run_case(case))


def summarise(case, fleet):
    """Return the result of a case from its fleet."""
    window = (case.end_s / 2, case.end_s)
    services = {}
    for rank in tables.RANKS:
        services[rank] = _loads.summarise_load(
            fleet, window, lambda a, rank=rank: a.rank is rank
        )
    received = sum(service.tokens_per_s for service in services.values())
    refusals = [
        record.ended_at - record.sent_at
        for record in fleet.received.values()
        if isinstance(record.outcome, outcomes.Refused)
    ]
    preemptions = [T.counters.get('yields', 0) for T in fleet.entries.values()]
    return Result(
        case,
        services,
        received / _fleets.compute_bound(_cases.FLEET_SIZE),
        sum(wait_s > _REFUSAL_LIMIT_S for wait_s in refusals),
        len(refusals),
        sum(preemptions),
        _loads.compute_fairness(_compute_received_shares(fleet)),
    )


def _compute_received_shares(fleet):
    # Tokens of each organisation relative to the lesser of its requested
    # tokens and an equal share of all tokens, at most 1.
    received = {}
    requested = {}
    for record in fleet.received.values():
        org = record.arrival.organisation
        received[org] = received.get(org, 0) + len(record.tokens)
        requested[org] = requested.get(org, 0) + record.arrival.max_tokens
    equal_share = sum(received.values()) / len(received)
    return [
        min(1.0, received[org] / min(equal_share, requested[org]))
        for org in sorted(received)
    ]


def render_floods(results):
    """Render the table of results by rank."""
    lines = [
        '| placement | load | lag s | run s | rank | sent | answered '
        '| refused | first p50 s | first p95 s | refusal p95 s | tokens/s '
        '| of given | of bound | late refusals | Jain | yields |',
        '|---' * 17 + '|',
    ]
    for result in results:
        lines.extend(_render_result(result))
    return lines


def _render_result(result):
    case = result.case
    total = sum(s.tokens_per_s for s in result.services.values())
    for rank, service in result.services.items():
        if not service.sent:
            continue
        yield (
            f'| {case.placement} | {case.name} | {case.lag_s:g} '
            f'| {case.end_s:g} | {rank.name.lower()} | {service.sent} '
            f'| {service.answered} | {service.refused} '
            f'| {service.first_p50_s:.3f} | {service.first_p95_s:.3f} '
            f'| {service.refusal_p95_s:.3f} | {service.tokens_per_s:.0f} '
            f'| {service.tokens_per_s / total:.2f} | {result.share:.2f} '
            f'| {result.late}/{result.refused} | {result.jain:.3f} '
            f'| {result.preemptions} |'
        )


def render_goals(results):
    """Render a line for each goal and case: whether it is met."""
    baseline_s = results[0].services[_URGENT].first_p95_s
    policy = tables.create_tables('any', 'any').policy
    lines = []
    for result in results[1:]:
        name = result.case.name
        if name.startswith('least'):
            p95_s = result.services[_URGENT].first_p95_s
            ratio = p95_s / baseline_s
            text = f'{name}: urgent p95 {ratio:.2f} times calm (1.2)'
            lines.append(_render_goal(text, ratio <= 1.2))
        else:
            lines.extend(_render_floor_goals(result, policy))
        text = f'{name}: {result.share:.2f} of the bound (0.95)'
        lines.append(_render_goal(text, result.share >= 0.95))
        p95_s = max(
            service.refusal_p95_s
            for service in result.services.values()
            if service.refused
        )
        text = f'{name}: refusals p95 at most {p95_s * 1000:.0f} ms (50)'
        lines.append(_render_goal(text, p95_s <= _REFUSAL_LIMIT_S))
    return lines


def _render_floor_goals(result, policy):
    total = sum(s.tokens_per_s for s in result.services.values())
    for rank in (tables.Rank.MIDDLE, tables.Rank.LEAST):
        floor = policy.ranks[rank].floor
        rank_share = result.services[rank].tokens_per_s / total
        name = f'{result.case.name}: {rank.name.lower()}'
        text = f'{name} got {rank_share:.3f} of what was given ({floor:g})'
        yield _render_goal(text, rank_share >= floor)


def _render_goal(text, met):
    return f'- {"met" if met else "NOT MET"}: {text}'


def measure_large_organisation(end_s):
    """Render the service of small organisations beside a large one."""
    lines = [
        '| large organisation | small sent | answered of sent | first p95 s '
        '| times idle | Jain | goal |',
        '|---|---|---|---|---|---|---|',
    ]
    baseline_s = None
    for case in _cases.list_large_organisation_cases(end_s):
        fleet = run_case(case)
        summary = _loads.summarise_load(
            fleet,
            (case.end_s / 2, case.end_s - 5.0),
            lambda a: a.organisation != _cases.LARGE_ORGANISATION,
        )
        if baseline_s is None:
            baseline_s = summary.first_p95_s
        share = summary.answered / summary.sent
        ratio = summary.first_p95_s / baseline_s
        met = share >= 0.95 and ratio <= 1.2
        jain = summarise(case, fleet).jain
        lines.append(
            f'| {case.name} | {summary.sent} | {share:.3f} '
            f'| {summary.first_p95_s:.3f} | {ratio:.2f} | {jain:.3f} '
            f'| {"met" if met else "NOT MET"} |'
        )
    return lines


def measure_home_failure():
    """Render the urgent service before and after the home fails."""
    fleet = run_case(_cases.create_home_failure(_LONG_RUN_S, _KILL_AT_S))
    urgent = [h for h in fleet.received.values() if h.arrival.rank is _URGENT]
    before = _list_first_token_waits(
        urgent, _KILL_AT_S - _FAILURE_WINDOW_S, _KILL_AT_S
    )
    after = _list_first_token_waits(
        urgent, _KILL_AT_S, _KILL_AT_S + _FAILURE_WINDOW_S
    )
    later = _list_first_token_waits(
        urgent, _KILL_AT_S + _FAILURE_WINDOW_S, _LONG_RUN_S - _FAILURE_WINDOW_S
    )
    baseline_s = _find_p95(before)
    late_times = [
        sent_at + wait_s for sent_at, wait_s in after if wait_s > 0.5
    ]
    recovery_s = max(late_times, default=_KILL_AT_S) - _KILL_AT_S
    return [
        f'The home dies at {_KILL_AT_S:g} s of the calm load with '
        f'{_cases.PROBES_PER_S:g} short urgent requests a second more. '
        'First token of urgent requests that reached a live entry, p95: '
        f'{baseline_s:.3f} s in the {_FAILURE_WINDOW_S:g} s before, '
        f'{_find_p95(after):.3f} s in the {_FAILURE_WINDOW_S:g} s after '
        f'({len(late_times)} of {len(after)} waited longer than 0.5 s, the '
        f'longest {max(wait_s for _, wait_s in after):.3f} s; the last of '
        f'them was served {recovery_s:.2f} s after the death), '
        f'{_find_p95(later):.3f} s from then on.'
    ]


def _list_first_token_waits(answers, begin, end):
    return [
        (h.sent_at, h.times[0] - h.sent_at)
        for h in answers
        if begin <= h.sent_at < end and h.times
    ]


def _find_p95(first_token_waits):
    return _loads.interpolate_quantile(
        [wait_s for _, wait_s in first_token_waits], 0.95
    )


def plot(results, path):
    """Plot the time to the first token and the throughput by case."""
    case_names = [result.case.name for result in results]
    positions = range(len(case_names))
    figure, (top, bottom) = pyplot.subplots(2, 1, figsize=(8, 7), sharex=True)
    for rank in tables.RANKS:
        waits = [result.services[rank].first_p95_s for result in results]
        top.plot(positions, waits, marker='o', label=rank.name.lower())
    top.set_yscale('log')
    top.set_ylabel('first token p95, s')
    top.legend()
    bar_bottoms = [0.0] * len(results)
    for rank in tables.RANKS:
        heights = [result.services[rank].tokens_per_s for result in results]
        bottom.bar(
            positions, heights, bottom=bar_bottoms, label=rank.name.lower()
        )
        bar_bottoms = [
            low + height for low, height in zip(bar_bottoms, heights)
        ]
    bound = _fleets.compute_bound(_cases.FLEET_SIZE)
    bottom.axhline(bound, color='black', linestyle='--', label='bound')
    bottom.set_ylabel('tokens given, 1/s')
    bottom.set_xticks(list(positions), case_names, rotation=45, ha='right')
    bottom.legend(loc='lower right')
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def list_comparisons():
    """Return short cases of all placements, and lags of the default."""
    short = _cases.list_floods(_SHORT_RUN_S, (5,))[:3]
    cases = [
        dataclasses.replace(case, placement=placement)
        for placement in ('home', 'independent', 'round_robin')
        for case in short
    ]
    flood = _cases.list_floods(_LONG_RUN_S, (5,))[1]
    cases += [
        dataclasses.replace(flood, lag_s=lag_s) for lag_s in _REPORT_LAGS_S
    ]
    return cases


def main():
    """Write the report and the plot."""
    _REPORTS.mkdir(exist_ok=True)
    floods = [measure_case(case) for case in _cases.list_floods(_LONG_RUN_S)]
    plot(floods, _REPORTS / 'policy.png')
    comparisons = [measure_case(case) for case in list_comparisons()]
    bound = _fleets.compute_bound(_cases.FLEET_SIZE)
    lines = [
        '# Dispatch under load',
        '',
        f'`python -m measurements.policy`, seed {_SEED}, simulated time; '
        f'the second half of each run counts. Bound: {bound:.0f} tokens/s, '
        'without links and prompts. Floors are shares of what is given; '
        'late refusals took longer than 50 ms, of all in the run.',
        '',
        '## Floods, default placement',
        '',
        *render_floods(floods),
        '',
        '## Goals',
        '',
        *render_goals(floods),
        '',
        '## Placements (short runs), and lag of load reports',
        '',
        *render_floods(comparisons),
        '',
        '## One large organisation, nine small ones, urgent rank',
        '',
        *measure_large_organisation(_LONG_RUN_S),
        '',
        "## Death of the models' home",
        '',
        *measure_home_failure(),
        '',
        '![Service by load](policy.png)',
        '',
    ]
    (_REPORTS / 'policy.md').write_text('\n'.join(lines))


if __name__ == '__main__':
    main()
