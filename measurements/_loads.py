"""Loads of requests and what their callers got."""

import dataclasses
import random
import statistics

from sniperudder import inputs
from sniperudder import outcomes
from sniperudder import tables


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Requests of one kind, arriving at random.

    Attributes
    ----------
    rank : Rank
    organisation : str
    rate : float
        Requests a second.
    prompt_chars : int
    max_tokens : int
    begin_s, end_s : float
        When the load lasts, seconds.
    entry : int or None
        The one entry that it goes through; None for all.
    """

    rank: tables.Rank
    organisation: str
    rate: float
    prompt_chars: int = 400
    max_tokens: int = 30
    begin_s: float = 0.0
    end_s: float = 60.0
    entry: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """What a group of requests got.

    Attributes
    ----------
    sent, answered, refused, failed : int
    tokens_per_s : float
        Tokens given in the window, by second, those of answers that
        failed left out.
    first_p50_s, first_p95_s : float
        Time to the first token of requests that got one, seconds.
    refusal_p95_s : float
        Time to a refusal, seconds.
    wasted : int
        Tokens given in answers that did not become whole.
    """

    sent: int
    answered: int
    refused: int
    failed: int
    tokens_per_s: float
    first_p50_s: float
    first_p95_s: float
    refusal_p95_s: float
    wasted: int


def send_loads(fleet, loads, seed):
    """Schedule the arrivals of loads on a fleet."""
    rng = random.Random(seed)
    names = sorted(fleet.entries)
    count = 0
    for load in loads:
        time = load.begin_s + rng.expovariate(load.rate)
        while time < load.end_s:
            number = load.entry
            if number is None:
                number = rng.randrange(len(names))
            arrival = _make_arrival(load, count, rng)
            fleet.clock.call_at(
                time, fleet.send_request, names[number], arrival
            )
            count += 1
            time += rng.expovariate(load.rate)


def _make_arrival(load, number, rng):
    spread = rng.uniform(0.5, 1.5)
    text = f'{number} '.ljust(int(load.prompt_chars * spread), 'x')
    return inputs.RequestArrived(
        f'r{number}',
        load.organisation,
        load.rank,
        'm',
        text,
        max(1, round(load.max_tokens * spread)),
    )


def summarise_service(fleet, window, choose=lambda arrival: True):
    """Return what the requests sent or ended in a window got.

    Parameters
    ----------
    fleet : StreamFleet
    window : tuple of float
        Begin and end, seconds.
    choose : callable
        Which arrivals count.
    """
    begin, end = window
    sent = []
    tokens = 0
    for heard in fleet.heard.values():
        if not choose(heard.arrival):
            continue
        if not isinstance(heard.outcome, outcomes.Failed):
            tokens += sum(begin <= t < end for t in heard.times)
        if begin <= heard.sent_at < end:
            sent.append(heard)
    answered = _select(sent, outcomes.Answered)
    refused = _select(sent, outcomes.Refused)
    failed = _select(sent, outcomes.Failed)
    firsts = [h.times[0] - h.sent_at for h in sent if h.times]
    refusals = [h.ended_at - h.sent_at for h in refused]
    return Service(
        len(sent),
        len(answered),
        len(refused),
        len(failed),
        tokens / (end - begin),
        find_quantile(firsts, 0.5),
        find_quantile(firsts, 0.95),
        find_quantile(refusals, 0.95),
        sum(len(h.tokens) for h in failed),
    )


def find_quantile(values, share):
    """Return a quantile; nan of nothing.

    Examples
    --------
    >>> find_quantile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    if not values:
        return float('nan')
    if len(values) == 1:
        return values[0]
    cuts = statistics.quantiles(values, n=100, method='inclusive')
    return cuts[round(share * 100) - 1]


def compute_fairness(shares):
    """Return Jain's index of shares: 1 is even, 1/n is one for all.

    Examples
    --------
    >>> compute_fairness([1.0, 1.0])
    1.0
    >>> compute_fairness([1.0, 0.0])
    0.5

    References
    ----------
    .. [1] R. Jain, D. Chiu, W. Hawe, "A quantitative measure of
       fairness", DEC-TR-301, 1984.
    """
    squares = sum(share * share for share in shares)
    if not squares:
        return 1.0
    return sum(shares) ** 2 / (len(shares) * squares)


def _select(heard, kind):
    return [h for h in heard if isinstance(h.outcome, kind)]
