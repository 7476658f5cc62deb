"""Metrics of an instance: latency histograms, counters and gauges."""

from sniperudder.metrics._metrics import count_event
from sniperudder.metrics._metrics import create_metrics
from sniperudder.metrics._metrics import Metrics
from sniperudder.metrics._metrics import read_quantile
from sniperudder.metrics._metrics import record_duration
from sniperudder.metrics._metrics import record_durations
from sniperudder.metrics._metrics import set_gauge
from sniperudder.metrics._metrics import Timing
from sniperudder.metrics._prometheus import CONTENT_TYPE
from sniperudder.metrics._prometheus import render_metrics

__all__ = [
    'CONTENT_TYPE',
    'Metrics',
    'Timing',
    'count_event',
    'create_metrics',
    'read_quantile',
    'record_duration',
    'record_durations',
    'render_metrics',
    'set_gauge',
]
