"""What callers got, held against what engines and services logged."""

import collections
import dataclasses
import json

from scenarios import _work
from standins import model as standin_model


@dataclasses.dataclass(frozen=True, slots=True)
class Logs:
    """The stand-ins' own logs.

    Attributes
    ----------
    steps : list of dict
        Steps that all engines ran.
    orders : list of dict
        Calls that all services ran.
    whole : bool
        Whether no engine or service lost its log by being killed.
    """

    steps: list
    orders: list
    whole: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken.

    Attributes
    ----------
    kind : str
        ``lost``, ``doubled``, ``crossed``, ``not run`` or ``expected``.
    detail : str
    """

    kind: str
    detail: str


def check_work(works, logs, layers, version='1'):
    """Return every promise that was broken to the callers.

    Parameters
    ----------
    works : list of Work
    logs : Logs
    layers : int
        Layers of the model.
    version : str

    Returns
    -------
    list of Violation

    Notes
    -----
    Linear in steps and orders.
    """
    steps = collections.defaultdict(list)
    for step in logs.steps:
        steps[step['request']].append(step)
    violations = []
    for work in works:
        if work.ending is None:
            violations.append(Violation('lost', f'no outcome of {work}'))
        if not work.service:
            ran = steps.get(work.request, [])
            violations += _check_answer(work, layers, version)
            violations += _check_steps(work, ran, layers, logs.whole)
    violations += _check_orders(works, logs)
    return violations


def _check_answer(work, layers, version):
    expected = standin_model.generate(work.body, layers, version, work.tokens)
    if work.pieces != expected[: len(work.pieces)]:
        yield Violation('crossed', f'answer of another: {work}')
    elif work.ending is _work.Ending.ANSWERED and work.pieces != expected:
        yield Violation('lost', f'tokens are missing: {work}')


def _check_steps(work, steps, layers, whole):
    if work.ending is _work.Ending.REFUSED and steps:
        yield Violation('not run', f'ran {len(steps)} steps: {work}')
    passes = collections.defaultdict(list)
    for step in steps:
        place = (step['attempt'], step['position'])
        passes[place].append((step['first_layer'], step['end_layer']))
    for place, ranges in passes.items():
        if _overlap(ranges):
            yield Violation('doubled', f'{place} ran {ranges}: {work}')
    if whole and work.ending is _work.Ending.ANSWERED:
        covered = {
            position
            for (_, position), ranges in passes.items()
            if _cover(ranges, layers)
        }
        missing = set(range(len(work.pieces))) - covered
        if missing:
            detail = f'layers missing at {sorted(missing)}: {work}'
            yield Violation('lost', detail)


def _overlap(ranges):
    ordered = sorted(ranges)
    return any(
        later[0] < earlier[1] for earlier, later in zip(ordered, ordered[1:])
    )


def _cover(ranges, layers):
    reached = 0
    for first, end in sorted(ranges):
        if first == reached:
            reached = end
    return reached == layers


def _check_orders(works, logs):
    runs = collections.defaultdict(list)
    for entry in logs.orders:
        runs[entry['body']].append(entry)
    for body, entries in runs.items():
        if len(entries) > 1:
            yield Violation('doubled', f'{body} ran {len(entries)} times')
    ran = [w for w in works if w.service and w.body in runs]
    refused = {w.body for w in ran if w.ending is _work.Ending.REFUSED}
    others = {w.body for w in ran if w.ending is not _work.Ending.REFUSED}
    for body in refused - others:
        yield Violation('not run', f'order {body} ran though refused')
    for work in works:
        if work.service and work.ending is _work.Ending.ANSWERED:
            yield from _check_result(work, runs[work.body], logs.whole)


def _check_result(work, entries, whole):
    if not entries:
        if whole:
            yield Violation('lost', f'answered but never run: {work}')
        return
    result = json.loads(work.pieces[0])
    numbers = [entry['number'] for entry in entries]
    if result.get('number') not in numbers:
        yield Violation('crossed', f'result of another order: {work}')
