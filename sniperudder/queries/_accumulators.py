"""Mergeable accumulators for distributed aggregation."""

import abc
import math

from hdrh import histogram

_MAX_EXACT_SAMPLES = 64
# The histogram stores integers, so values are scaled to millionths. For
# values in seconds this covers 1 us to 115 days.
_MICROS_PER_UNIT = 1e6
_MAX_MICROS = 10**13
_SIGNIFICANT_DIGITS = 2


def create_accumulator(function, state=None):
    """Return an accumulator for an aggregate function.

    Parameters
    ----------
    function : str
        See ``Aggregate``.
    state : object, optional
        State exported by another accumulator, merged into the new one.
    """
    if function.startswith('p'):
        accumulator = PercentileAccumulator(float(function[1:]))
    else:
        accumulator = _ACCUMULATOR_TYPES[function]()
    if state is not None:
        accumulator.merge(state)
    return accumulator


class Accumulator(abc.ABC):
    """Incremental computation of one aggregate."""

    __slots__ = ()

    @abc.abstractmethod
    def add(self, value):
        """Add a value; only ``count`` counts a missing value (None)."""

    @abc.abstractmethod
    def merge(self, state):
        """Merge the exported state of another accumulator."""

    @abc.abstractmethod
    def export(self):
        """Return the state as a JSON-serialisable object."""

    @abc.abstractmethod
    def compute(self):
        """Return the aggregate, or None if no value was added."""


class CountAccumulator(Accumulator):
    """Number of rows."""

    __slots__ = ('count',)

    def __init__(self):
        self.count = 0

    def add(self, value):
        self.count += 1

    def merge(self, state):
        self.count += state

    def export(self):
        return self.count

    def compute(self):
        return self.count


class _FoldAccumulator(Accumulator):
    """Left fold of a binary function over the values."""

    __slots__ = ('number',)

    def __init__(self):
        self.number = None

    @staticmethod
    @abc.abstractmethod
    def fold(left, right):
        """Combine two numbers into one."""

    def add(self, value):
        if value is None:
            return
        if self.number is None:
            self.number = value
        else:
            self.number = self.fold(self.number, value)

    def merge(self, state):
        self.add(state)

    def export(self):
        return self.number

    def compute(self):
        return self.number


class SumAccumulator(_FoldAccumulator):
    """Sum of the values."""

    __slots__ = ()

    @staticmethod
    def fold(left, right):
        return left + right


class MinAccumulator(_FoldAccumulator):
    """Smallest value."""

    __slots__ = ()
    fold = staticmethod(min)


class MaxAccumulator(_FoldAccumulator):
    """Largest value."""

    __slots__ = ()
    fold = staticmethod(max)


class MeanAccumulator(Accumulator):
    """Arithmetic mean of the values."""

    __slots__ = ('total', 'count')

    def __init__(self):
        self.total = 0.0
        self.count = 0

    def add(self, value):
        if value is not None:
            self.merge((value, 1))

    def merge(self, state):
        total, count = state
        self.total += total
        self.count += count

    def export(self):
        return [self.total, self.count]

    def compute(self):
        return self.total / self.count if self.count else None


class PercentileAccumulator(Accumulator):
    """A percentile, exact for up to 64 values and within 1 % for more.

    Up to 64 values are stored individually; beyond that, all values move
    to an HDR histogram, whose size does not grow with the number of values.
    """

    __slots__ = ('percentile', 'samples', 'hdr_histogram')

    def __init__(self, percentile):
        self.percentile = percentile
        self.samples = []
        self.hdr_histogram = None

    def add(self, value):
        if value is None:
            return
        if self.hdr_histogram is not None:
            self._record_value(value)
            return
        self.samples.append(value)
        if len(self.samples) > _MAX_EXACT_SAMPLES:
            self._switch_to_histogram()

    def merge(self, state):
        if isinstance(state, str):
            if self.hdr_histogram is None:
                self._switch_to_histogram()
            self.hdr_histogram.decode_and_add(state)
            return
        for value in state:
            self.add(value)

    def export(self):
        if self.hdr_histogram is None:
            return self.samples
        return self.hdr_histogram.encode().decode('ascii')

    def compute(self):
        if self.hdr_histogram is not None:
            value = self.hdr_histogram.get_value_at_percentile(self.percentile)
            return value / _MICROS_PER_UNIT
        if not self.samples:
            return None
        rank = math.ceil(self.percentile / 100 * len(self.samples))
        return sorted(self.samples)[max(rank, 1) - 1]

    def _switch_to_histogram(self):
        self.hdr_histogram = histogram.HdrHistogram(
            1, _MAX_MICROS, _SIGNIFICANT_DIGITS
        )
        for value in self.samples:
            self._record_value(value)
        self.samples = []

    def _record_value(self, value):
        micros = min(max(round(value * _MICROS_PER_UNIT), 0), _MAX_MICROS)
        self.hdr_histogram.record_value(micros)


_ACCUMULATOR_TYPES = {
    'count': CountAccumulator,
    'sum': SumAccumulator,
    'min': MinAccumulator,
    'max': MaxAccumulator,
    'mean': MeanAccumulator,
}
