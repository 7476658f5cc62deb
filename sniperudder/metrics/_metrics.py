"""Recording durations, counters and gauges in bounded memory."""

import collections
import dataclasses
import enum
import threading
import typing

from hdrh import histogram

# Limits memory: a histogram takes about 27 KB, and an organisation has up
# to nine of them.
_MAX_ORGANISATIONS = 16

# Names beyond this number share one counter.
_MAX_COUNTERS = 256

_OVERFLOW_NAME = 'other'

_US_PER_S = 1_000_000
_MIN_DURATION_US = 1
_MAX_DURATION_US = 3_600 * _US_PER_S
_SIGNIFICANT_DIGITS = 2


class Timing(enum.Enum):
    """A duration measured for a request, or for a call made for it."""

    WAIT = 'wait'
    FIRST_TOKEN = 'first_token'
    BETWEEN_TOKENS = 'between_tokens'
    TOTAL = 'total'
    STORE_CALL = 'store_call'


@dataclasses.dataclass(frozen=True, slots=True)
class Series:
    """The labels of one histogram.

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
class SeriesDurations:
    """The recorded durations of one series.

    Attributes
    ----------
    histogram : hdrh.histogram.HdrHistogram
        Durations, microseconds.
    total_s : float
        Sum of all durations, seconds.
    """

    histogram: histogram.HdrHistogram
    total_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Metrics:
    """All metrics of an instance.

    The functions of this package are thread-safe.

    Attributes
    ----------
    max_organisations : int
        Number of organisations with series of their own; all others
        share the label ``other``.
    lock : threading.Lock
        Guards the fields below.
    organisations : set of str
    durations : dict of Series to SeriesDurations
    counters : collections.Counter
    gauges : dict of str to float
    """

    max_organisations: int
    lock: threading.Lock
    organisations: set
    durations: dict
    counters: collections.Counter
    gauges: dict


def create_metrics(max_organisations=_MAX_ORGANISATIONS):
    """Return empty metrics.

    Examples
    --------
    >>> from sniperudder.tables import Rank
    >>> M = create_metrics()
    >>> record_duration(M, Timing.TOTAL, Rank.URGENT, 'studio', 0.5)
    >>> round(read_quantile(M, Timing.TOTAL, Rank.URGENT, 'studio', 0.5), 2)
    0.5
    """
    return Metrics(
        max_organisations=max_organisations,
        lock=threading.Lock(),
        organisations=set(),
        durations={},
        counters=collections.Counter(),
        gauges={},
    )


def record_duration(M, timing, rank, organisation, seconds):
    """Record one duration.

    Parameters
    ----------
    M : Metrics
    timing : Timing
    rank : sniperudder.tables.Rank
    organisation : str
    seconds : float
        Durations above one hour count as one hour in the histogram.
    """
    record_durations(M, timing, rank, organisation, (seconds,))


def record_durations(M, timing, rank, organisation, durations_s):
    """Record several durations of one series.

    Parameters
    ----------
    M : Metrics
    timing : Timing
    rank : sniperudder.tables.Rank
    organisation : str
    durations_s : sequence of float
        Durations in seconds, as for ``record_duration``.
    """
    with M.lock:
        durations = _get_or_create_durations(M, timing, rank, organisation)
        for duration_s in durations_s:
            value_us = round(duration_s * _US_PER_S)
            value_us = min(max(value_us, _MIN_DURATION_US), _MAX_DURATION_US)
            durations.histogram.record_value(value_us)
            durations.total_s += duration_s


def _get_or_create_durations(M, timing, rank, organisation):
    organisation = _limit_organisation(M, organisation)
    series = Series(timing, rank, organisation)
    durations = M.durations.get(series)
    if durations is None:
        durations = SeriesDurations(
            histogram.HdrHistogram(
                _MIN_DURATION_US, _MAX_DURATION_US, _SIGNIFICANT_DIGITS
            )
        )
        M.durations[series] = durations
    return durations


def _limit_organisation(M, organisation):
    if organisation in M.organisations:
        return organisation
    if len(M.organisations) >= M.max_organisations:
        return _OVERFLOW_NAME
    M.organisations.add(organisation)
    return organisation


def read_quantile(M, timing, rank, organisation, quantile):
    """Return a quantile of the recorded durations.

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
        Seconds, to two significant digits; None if nothing was
        recorded.
    """
    with M.lock:
        durations = M.durations.get(Series(timing, rank, organisation))
        if durations is None:
            return None
        value_us = durations.histogram.get_value_at_percentile(quantile * 100)
    return value_us / _US_PER_S


def count_event(M, name, amount=1):
    """Increase a counter; names beyond the limit count as ``other``."""
    with M.lock:
        if name not in M.counters and len(M.counters) >= _MAX_COUNTERS:
            name = _OVERFLOW_NAME
        M.counters[name] += amount


def set_gauge(M, name, value):
    """Set a gauge, such as the number of open streams.

    Parameters
    ----------
    M : Metrics
    name : str
        Must not be derived from the input of a caller, since the number
        of gauges is not limited.
    value : float
    """
    with M.lock:
        M.gauges[name] = value
