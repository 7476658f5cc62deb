"""Aggregates that are computed in parts and merged."""

import abc
import math

from hdrh import histogram

_MAX_SAMPLES = 64
# Values are counted in millionths, which covers 1 us to 115 days.
_SCALE = 1e6
_HIGHEST = 10**13
_DIGITS = 2


def create_accumulator(function, state=None):
    """Return an accumulator for an aggregate's function.

    Parameters
    ----------
    function : str
        See ``Aggregate``.
    state : object, optional
        What ``export`` of another accumulator gave.
    """
    if function.startswith('p'):
        accumulator = PercentileAccumulator(float(function[1:]))
    else:
        accumulator = _CLASSES[function]()
    if state is not None:
        accumulator.merge(state)
    return accumulator


class Accumulator(abc.ABC):
    """One aggregate over a growing set of values."""

    __slots__ = ()

    @abc.abstractmethod
    def add(self, value):
        """Take in a value; None counts only for ``count``."""

    @abc.abstractmethod
    def merge(self, state):
        """Take in what another accumulator exported."""

    @abc.abstractmethod
    def export(self):
        """Return the state as JSON can carry it."""

    @abc.abstractmethod
    def compute(self):
        """Return the aggregate; None where there was no value."""


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


class _Folding(Accumulator):
    """One number, folded with each value."""

    __slots__ = ('number',)

    def __init__(self):
        self.number = None

    @staticmethod
    @abc.abstractmethod
    def fold(left, right):
        """Return two numbers folded into one."""

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


class SumAccumulator(_Folding):
    """Sum of the values."""

    __slots__ = ()

    @staticmethod
    def fold(left, right):
        return left + right


class MinAccumulator(_Folding):
    """Smallest value."""

    __slots__ = ()
    fold = staticmethod(min)


class MaxAccumulator(_Folding):
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
    """A percentile, exact for few values and within 1 % for many.

    Up to 64 values are kept as they are; more go into a histogram
    whose size does not grow with their number.
    """

    __slots__ = ('percentage', 'samples', 'counts')

    def __init__(self, percentage):
        self.percentage = percentage
        self.samples = []
        self.counts = None

    def add(self, value):
        if value is None:
            return
        if self.counts is not None:
            self._record(value)
            return
        self.samples.append(value)
        if len(self.samples) > _MAX_SAMPLES:
            self._spill()

    def merge(self, state):
        if isinstance(state, str):
            if self.counts is None:
                self._spill()
            self.counts.decode_and_add(state)
            return
        for value in state:
            self.add(value)

    def export(self):
        if self.counts is None:
            return self.samples
        return self.counts.encode().decode('ascii')

    def compute(self):
        if self.counts is not None:
            value = self.counts.get_value_at_percentile(self.percentage)
            return value / _SCALE
        if not self.samples:
            return None
        rank = math.ceil(self.percentage / 100 * len(self.samples))
        return sorted(self.samples)[max(rank, 1) - 1]

    def _spill(self):
        self.counts = histogram.HdrHistogram(1, _HIGHEST, _DIGITS)
        for value in self.samples:
            self._record(value)
        self.samples = []

    def _record(self, value):
        count = min(max(round(value * _SCALE), 0), _HIGHEST)
        self.counts.record_value(count)


_CLASSES = {
    'count': CountAccumulator,
    'sum': SumAccumulator,
    'min': MinAccumulator,
    'max': MaxAccumulator,
    'mean': MeanAccumulator,
}
