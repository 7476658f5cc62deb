"""Recording of times and counts in bounded memory."""

import collections
import dataclasses
import enum
import threading
import typing

from hdrh import histogram

# Each histogram takes about 27 KB, and an organisation up to nine.
_MAX_ORGANISATIONS = 16

# Distinct names of counters; what goes beyond is counted together.
_MAX_COUNTERS = 256

_OTHER = 'other'

_US_PER_S = 1_000_000
_LOWEST_US = 1
_HIGHEST_US = 3_600 * _US_PER_S
_SIGNIFICANT_DIGITS = 2


class Timing(enum.Enum):
    """A span of time in the life of a request, or of a call for it."""

    WAIT = 'wait'
    FIRST_TOKEN = 'first_token'
    BETWEEN_TOKENS = 'between_tokens'
    TOTAL = 'total'
    STORE_CALL = 'store_call'


@dataclasses.dataclass(frozen=True, slots=True)
class Series:
    """What a histogram is kept for.

    Attributes
    ----------
    timing : Timing
    rank : sniperudder.tables.Rank
    organisation : str
    """

    timing: Timing
    rank: typing.Any
    organisation: str


@dataclasses.dataclass(slots=True)
class Times:
    """The times of one series.

    Attributes
    ----------
    histogram : hdrh.histogram.HdrHistogram
        Microseconds.
    total_s : float
        Sum of all times, seconds.
    """

    histogram: histogram.HdrHistogram
    total_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Metrics:
    """All metrics of an instance; its functions may share threads.

    Attributes
    ----------
    max_organisations : int
        Organisations told apart; further ones share ``other``.
    lock : threading.Lock
        Held for each access to the rest.
    organisations : set of str
    times : dict of Series to Times
    counters : collections.Counter
    gauges : dict of str to float
    """

    max_organisations: int
    lock: threading.Lock
    organisations: set
    times: dict
    counters: collections.Counter
    gauges: dict


def create_metrics(max_organisations=_MAX_ORGANISATIONS):
    """Return metrics without any value.

    Examples
    --------
    >>> from sniperudder.tables import Rank
    >>> M = create_metrics()
    >>> record_time(M, Timing.TOTAL, Rank.URGENT, 'studio', 0.5)
    >>> round(read_quantile(M, Timing.TOTAL, Rank.URGENT, 'studio', 0.5), 2)
    0.5
    """
    return Metrics(
        max_organisations=max_organisations,
        lock=threading.Lock(),
        organisations=set(),
        times={},
        counters=collections.Counter(),
        gauges={},
    )


def record_time(M, timing, rank, organisation, seconds):
    """Record one span of time.

    Parameters
    ----------
    M : Metrics
    timing : Timing
    rank : sniperudder.tables.Rank
    organisation : str
    seconds : float
        Times above an hour count as an hour.
    """
    record_times(M, timing, rank, organisation, (seconds,))


def record_times(M, timing, rank, organisation, spans_s):
    """Record spans of time of one series.

    Parameters
    ----------
    M : Metrics
    timing : Timing
    rank : sniperudder.tables.Rank
    organisation : str
    spans_s : sequence of float
        Seconds; as for ``record_time``.
    """
    with M.lock:
        times = _find_times(M, timing, rank, organisation)
        for span_s in spans_s:
            value_us = round(span_s * _US_PER_S)
            value_us = min(max(value_us, _LOWEST_US), _HIGHEST_US)
            times.histogram.record_value(value_us)
            times.total_s += span_s


def _find_times(M, timing, rank, organisation):
    organisation = _bound_organisation(M, organisation)
    series = Series(timing, rank, organisation)
    times = M.times.get(series)
    if times is None:
        times = Times(
            histogram.HdrHistogram(
                _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS
            )
        )
        M.times[series] = times
    return times


def _bound_organisation(M, organisation):
    if organisation in M.organisations:
        return organisation
    if len(M.organisations) >= M.max_organisations:
        return _OTHER
    M.organisations.add(organisation)
    return organisation


def read_quantile(M, timing, rank, organisation, quantile):
    """Return a quantile of the times recorded so far.

    Parameters
    ----------
    M : Metrics
    timing : Timing
    rank : sniperudder.tables.Rank
    organisation : str
    quantile : float
        From 0 to 1.

    Returns
    -------
    float or None
        Seconds, to two significant digits; None where nothing was
        recorded.
    """
    with M.lock:
        times = M.times.get(Series(timing, rank, organisation))
        if times is None:
            return None
        value_us = times.histogram.get_value_at_percentile(quantile * 100)
    return value_us / _US_PER_S


def count_event(M, name, amount=1):
    """Add to the counter of a name."""
    with M.lock:
        if name not in M.counters and len(M.counters) >= _MAX_COUNTERS:
            name = _OTHER
        M.counters[name] += amount


def set_gauge(M, name, value):
    """Set a value that goes up and down, such as open streams.

    Parameters
    ----------
    M : Metrics
    name : str
        A name of the program's own, never of a caller's.
    value : float
    """
    with M.lock:
        M.gauges[name] = value
