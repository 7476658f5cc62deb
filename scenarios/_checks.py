"""Checks what callers received against the logs of the stand-ins."""

import collections
import dataclasses
import json

from scenarios import _callers
from standins import model as standin_model


@dataclasses.dataclass(frozen=True, slots=True)
class Logs:
    """Logs of the engine and service stand-ins.

    Attributes
    ----------
    steps : list of dict
        Steps run by all engines.
    orders : list of dict
        Calls run by all services.
    complete : bool
        Whether all logs are available: a killed or crashed engine or service
        loses its log.
    """

    steps: list
    orders: list
    complete: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A violated guarantee.

    Attributes
    ----------
    kind : str
        ``lost``, ``doubled``, ``crossed``, ``not run`` or ``expected``.
    detail : str
    """

    kind: str
    detail: str


def find_violations(work_items, logs, layers, version='1'):
    """Return all guarantees to callers that were violated.

    Parameters
    ----------
    work_items : list of WorkItem
    logs : Logs
    layers : int
        Number of layers of the model.
    version : str

    Returns
    -------
    list of Violation

    Notes
    -----
    Runs in linear time in the number of steps and orders.
    """
    steps = collections.defaultdict(list)
    for step in logs.steps:
        steps[step['request']].append(step)
    violations = []
    for item in work_items:
        if item.outcome is None:
            violations.append(Violation('lost', f'no outcome of {item}'))
        if not item.service:
            ran = steps.get(item.request, [])
            violations += _check_answer(item, layers, version)
            violations += _check_steps(item, ran, layers, logs.complete)
    violations += _check_orders(work_items, logs)
    return violations


def _check_answer(item, layers, version):
    expected = standin_model.generate(item.body, layers, version, item.tokens)
    if item.chunks != expected[: len(item.chunks)]:
        yield Violation('crossed', f'answer to another request: {item}')
    elif item.outcome is _callers.Outcome.ANSWERED and item.chunks != expected:
        yield Violation(
            'lost', f'answer reported as complete lacks tokens: {item}'
        )


def _check_steps(item, steps, layers, complete):
    if item.outcome is _callers.Outcome.REFUSED and steps:
        yield Violation(
            'not run', f'refused, but ran {len(steps)} steps: {item}'
        )
    ranges_by_pass = collections.defaultdict(list)
    for step in steps:
        pass_key = (step['attempt'], step['position'])
        ranges_by_pass[pass_key].append(
            (step['first_layer'], step['end_layer'])
        )
    for pass_key, ranges in ranges_by_pass.items():
        if _has_overlap(ranges):
            yield Violation(
                'doubled',
                f'attempt and position {pass_key} ran layers {ranges}: {item}',
            )
    if complete and item.outcome is _callers.Outcome.ANSWERED:
        covered = {
            position
            for (_, position), ranges in ranges_by_pass.items()
            if _covers_all(ranges, layers)
        }
        missing = set(range(len(item.chunks))) - covered
        if missing:
            detail = f'layers not run at positions {sorted(missing)}: {item}'
            yield Violation('lost', detail)


def _has_overlap(ranges):
    ordered = sorted(ranges)
    return any(
        later[0] < earlier[1] for earlier, later in zip(ordered, ordered[1:])
    )


def _covers_all(ranges, layers):
    reached = 0
    for first, end in sorted(ranges):
        if first == reached:
            reached = end
    return reached == layers


def _check_orders(work_items, logs):
    runs = collections.defaultdict(list)
    for entry in logs.orders:
        runs[entry['body']].append(entry)
    for body, entries in runs.items():
        if len(entries) > 1:
            yield Violation(
                'doubled', f'order {body} ran {len(entries)} times'
            )
    ran = [w for w in work_items if w.service and w.body in runs]
    refused = {w.body for w in ran if w.outcome is _callers.Outcome.REFUSED}
    others = {w.body for w in ran if w.outcome is not _callers.Outcome.REFUSED}
    for body in refused - others:
        yield Violation('not run', f'order {body} ran although it was refused')
    for item in work_items:
        if item.service and item.outcome is _callers.Outcome.ANSWERED:
            yield from _check_result(item, runs[item.body], logs.complete)


def _check_result(item, entries, complete):
    if not entries:
        if complete:
            yield Violation('lost', f'order answered but never run: {item}')
        return
    result = json.loads(item.chunks[0])
    numbers = [entry['number'] for entry in entries]
    if result.get('number') not in numbers:
        yield Violation('crossed', f'result of another order: {item}')
