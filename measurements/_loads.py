"""Request loads and summaries of the service they received."""

import dataclasses
import random
import statistics

from sniperudder import inputs
from sniperudder import outcomes
from sniperudder import tables


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Requests of one kind with exponential times between arrivals.

    Attributes
    ----------
    rank : Rank
    organisation : str
    rate : float
        Requests per second.
    prompt_chars : int
    max_tokens : int
    begin_s, end_s : float
        Begin and end of the load, seconds.
    entry : int or None
        Index of the entry instance that receives it; None for a random one
        per request.
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
class LoadSummary:
    """Service received by a group of requests.

    Attributes
    ----------
    sent, answered, refused, failed : int
    tokens_per_s : float
        Tokens per second in the window, without those of answers that
        failed.
    first_p50_s, first_p95_s : float
        Time to the first token, of requests that received one, seconds.
    refusal_p95_s : float
        Time to a refusal, seconds.
    wasted : int
        Tokens of answers that failed before they were complete.
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
    """Schedule the arrivals of all loads on a fleet."""
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
    prompt = f'{number} '.ljust(int(load.prompt_chars * spread), 'x')
    return inputs.RequestArrived(
        f'r{number}',
        load.organisation,
        load.rank,
        'm',
        prompt,
        max(1, round(load.max_tokens * spread)),
    )


def summarise_load(fleet, window, matches=lambda arrival: True):
    """Summarise the service of a group of requests within a window of time.

    Parameters
    ----------
    fleet : StreamFleet
    window : tuple of float
        Begin and end, seconds. Tokens count by the time they were received,
        requests by the time they were sent.
    matches : callable
        Predicate that selects arrivals.
    """
    begin, end = window
    sent = []
    tokens = 0
    for received in fleet.received.values():
        if not matches(received.arrival):
            continue
        if not isinstance(received.outcome, outcomes.Failed):
            tokens += sum(begin <= t < end for t in received.times)
        if begin <= received.sent_at < end:
            sent.append(received)
    answered = _select_by_outcome(sent, outcomes.Answered)
    refused = _select_by_outcome(sent, outcomes.Refused)
    failed = _select_by_outcome(sent, outcomes.Failed)
    first_token_times_s = [h.times[0] - h.sent_at for h in sent if h.times]
    refusal_times_s = [h.ended_at - h.sent_at for h in refused]
    return LoadSummary(
        len(sent),
        len(answered),
        len(refused),
        len(failed),
        tokens / (end - begin),
        interpolate_quantile(first_token_times_s, 0.5),
        interpolate_quantile(first_token_times_s, 0.95),
        interpolate_quantile(refusal_times_s, 0.95),
        sum(len(h.tokens) for h in failed),
    )


def interpolate_quantile(values, share):
    """Return an interpolated quantile, or nan if there are no values.

    Examples
    --------
    >>> interpolate_quantile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    if not values:
        return float('nan')
    if len(values) == 1:
        return values[0]
    cuts = statistics.quantiles(values, n=100, method='inclusive')
    return cuts[round(share * 100) - 1]


def compute_fairness(shares):
    """Return Jain's fairness index.

    It is 1 if all shares are equal, and 1/n if one of n takes everything.

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


def _select_by_outcome(answers, kind):
    return [h for h in answers if isinstance(h.outcome, kind)]
