"""Export in the text exposition format of Prometheus."""

import enum

from sniperudder.metrics import _metrics

CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'

_PREFIX = 'sniperudder'
_PERCENTILES = (50, 95, 99, 99.9)
_US_PER_S = 1_000_000

_HELP = {
    _metrics.Timing.WAIT: 'Time from arrival to the first send.',
    _metrics.Timing.FIRST_TOKEN: 'Time from arrival to the first token.',
    _metrics.Timing.BETWEEN_TOKENS: 'Time between two tokens.',
    _metrics.Timing.TOTAL: 'Time from arrival to the end of the answer.',
    _metrics.Timing.STORE_CALL: 'Time of a call that does not wait.',
}


def render_metrics(M, counters=None):
    """Render all metrics in the Prometheus text format.

    Parameters
    ----------
    M : Metrics
    counters : dict of str to int, optional
        Counters kept outside of ``M``, such as those of the tables;
        added to the counters of the same name.

    Returns
    -------
    str

    Notes
    -----
    The lock is held for one histogram at a time, not for the whole
    rendering.
    """
    lines = []
    for timing in _metrics.Timing:
        lines += _render_timing(M, timing)
    with M.lock:
        counts = dict(M.counters)
        gauges = dict(M.gauges)
    for name, value in (counters or {}).items():
        counts[name] = counts.get(name, 0) + value
    lines += _render_values('events_total', 'counter', 'event', counts)
    lines += _render_values('level', 'gauge', 'subject', gauges)
    return '\n'.join(lines) + '\n'


def _render_timing(M, timing):
    with M.lock:
        found = [item for item in M.durations if item.timing is timing]
    if not found:
        return []
    name = f'{_PREFIX}_{timing.value}_seconds'
    lines = [f'# HELP {name} {_HELP[timing]}', f'# TYPE {name} summary']
    found.sort(key=lambda item: (item.rank, item.organisation))
    for series in found:
        lines += _render_series(M, name, series)
    return lines


def _render_series(M, name, series):
    with M.lock:
        durations = M.durations[series]
        quantiles = durations.histogram.get_percentile_to_value_dict(
            _PERCENTILES
        )
        count = durations.histogram.get_total_count()
        total_s = durations.total_s
    labels = _format_labels(series)
    lines = []
    for percentile, value_us in quantiles.items():
        quantile = f'quantile="{percentile / 100:g}"'
        lines.append(
            f'{name}{_join_labels([*labels, quantile])} '
            f'{value_us / _US_PER_S:g}'
        )
    lines.append(f'{name}_sum{_join_labels(labels)} {total_s:.6f}')
    lines.append(f'{name}_count{_join_labels(labels)} {count}')
    return lines


def _format_labels(series):
    """Return the labels of a series, without those that are empty."""
    values = {
        'rank': _format_rank(series.rank),
        'organisation': _escape_label_value(series.organisation),
    }
    return [f'{name}="{value}"' for name, value in values.items() if value]


def _join_labels(labels):
    return f'{{{",".join(labels)}}}' if labels else ''


def _format_rank(rank):
    """Return the label of a rank; ranks of the platform are integers."""
    return rank.name.lower() if isinstance(rank, enum.Enum) else str(rank)


def _render_values(suffix, kind, label, values):
    if not values:
        return []
    name = f'{_PREFIX}_{suffix}'
    lines = [f'# TYPE {name} {kind}']
    for key in sorted(values):
        lines.append(
            f'{name}{{{label}="{_escape_label_value(key)}"}} {values[key]}'
        )
    return lines


def _escape_label_value(text):
    text = text.replace('\\', '\\\\').replace('"', '\\"')
    return text.replace('\n', '\\n')
