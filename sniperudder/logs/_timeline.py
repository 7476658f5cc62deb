"""The time line as text and as a picture."""

import datetime
from xml.etree import ElementTree

from sniperudder.logs import _events

_LANE_PX = 260
_GUTTER_PX = 110
_HEAD_PX = 44
_ROW_PX = 20
_MARK_PX = 4
_MAX_LABEL = 34

# Viewers become slow beyond this.
_MAX_ROWS = 5_000

_INK = '#222222'
_FAINT = '#c8c8c8'
_ARROW = '#3465a4'
_COLOURS = (
    '#204a87',
    '#4e9a06',
    '#a40000',
    '#5c3566',
    '#8f5902',
    '#06989a',
    '#ce5c00',
    '#555753',
)


def render_text(timeline):
    """Return a time line as lines of text.

    Parameters
    ----------
    timeline : Timeline

    Returns
    -------
    str
    """
    width = max((len(item.instance) for item in timeline.events), default=0)
    lines = [_render_line(event, width) for event in timeline.events]
    if timeline.skipped:
        lines.append(f'({timeline.skipped} lines could not be read)')
    return '\n'.join(lines)


def _render_line(event, width):
    parts = (
        _render_time(event.time),
        event.instance.ljust(width),
        event.task[:8],
        event.kind,
        event.subject,
        event.detail,
    )
    return '  '.join(part for part in parts if part)


def _render_time(seconds):
    moment = datetime.datetime.fromtimestamp(seconds, datetime.timezone.utc)
    return moment.strftime('%H:%M:%S.%f')[:-3]


def render_svg(timeline):
    """Return a time line as an SVG picture, one lane for each process.

    Time runs downwards, one row for each event in causal order, so that
    labels never cover each other. Where there are too many events for
    a picture, the last ones are drawn.

    Parameters
    ----------
    timeline : Timeline

    Returns
    -------
    str
    """
    events = timeline.events[-_MAX_ROWS:]
    lanes = {name: n for n, name in enumerate(_list_instances(events))}
    width = _GUTTER_PX + _LANE_PX * max(len(lanes), 1)
    height = _HEAD_PX + _ROW_PX * (len(events) + 1)
    root = _create_root(width, height)
    left_out = len(timeline.events) - len(events)
    caption = _add(root, 'text', x=8, y=_HEAD_PX - 18, fill=_INK)
    caption.text = f'UTC, {left_out} before' if left_out else 'UTC'
    for name, lane in lanes.items():
        _draw_lane(root, name, lane, height)
    for arrow in _events.find_arrows(events):
        _draw_arrow(root, events, lanes, arrow)
    for row, event in enumerate(events):
        _draw_event(root, event, lanes[event.instance], row)
    ElementTree.indent(root)
    return ElementTree.tostring(root, encoding='unicode') + '\n'


def _list_instances(events):
    return sorted({event.instance for event in events})


def _create_root(width, height):
    root = ElementTree.Element(
        'svg',
        {
            'xmlns': 'http://www.w3.org/2000/svg',
            'width': str(width),
            'height': str(height),
            'viewBox': f'0 0 {width} {height}',
            'font-family': 'DejaVu Sans, Helvetica, Arial, sans-serif',
            'font-size': '11',
        },
    )
    _add(root, 'title').text = 'Time line of all processes'
    _add(root, 'rect', width=width, height=height, fill='white')
    return root


def _add(parent, tag, **attributes):
    names = {
        name.replace('_', '-'): str(value)
        for name, value in attributes.items()
    }
    return ElementTree.SubElement(parent, tag, names)


def _place_lane(lane):
    return _GUTTER_PX + _LANE_PX * lane + 12


def _place_row(row):
    return _HEAD_PX + _ROW_PX * row + _ROW_PX // 2


def _choose_colour(lane):
    return _COLOURS[lane % len(_COLOURS)]


def _draw_lane(root, name, lane, height):
    x = _place_lane(lane)
    _add(root, 'line', x1=x, y1=_HEAD_PX - 8, x2=x, y2=height, stroke=_FAINT)
    heading = _add(
        root,
        'text',
        x=x - 6,
        y=_HEAD_PX - 18,
        font_size=13,
        font_weight='bold',
        fill=_choose_colour(lane),
    )
    heading.text = _shorten(name)


def _draw_event(root, event, lane, row):
    x = _place_lane(lane)
    y = _place_row(row)
    time = _add(root, 'text', x=8, y=y + 4, fill=_INK)
    time.text = _render_time(event.time)
    group = _add(root, 'g')
    _add(group, 'title').text = _render_line(event, 0)
    _add(group, 'circle', cx=x, cy=y, r=_MARK_PX, fill=_choose_colour(lane))
    # The white outline keeps labels legible where arrows cross them.
    label = _add(
        group,
        'text',
        x=x + 9,
        y=y + 4,
        fill=_INK,
        stroke='white',
        stroke_width=3,
        paint_order='stroke',
    )
    label.text = _shorten(f'{event.kind} {event.subject} {event.detail}')


def _draw_arrow(root, events, lanes, arrow):
    start = lanes[events[arrow.start].instance]
    end = lanes[events[arrow.end].instance]
    x1 = _place_lane(start)
    y1 = _place_row(arrow.start)
    x2 = _place_lane(end)
    y2 = _place_row(arrow.end)
    _add(
        root,
        'line',
        x1=x1,
        y1=y1,
        x2=x2,
        y2=y2,
        stroke=_ARROW,
        stroke_opacity=0.6,
    )
    _draw_head(root, x1, y1, x2, y2)


def _draw_head(root, x1, y1, x2, y2):
    """Draw the head; SVG markers are not shown by every viewer."""
    length = ((x2 - x1) ** 2 + (y2 - y1) ** 2) ** 0.5
    dx = (x2 - x1) / length
    dy = (y2 - y1) / length
    tip_x = x2 - dx * _MARK_PX
    tip_y = y2 - dy * _MARK_PX
    base_x = tip_x - dx * 9
    base_y = tip_y - dy * 9
    points = (
        f'{tip_x:.1f},{tip_y:.1f} '
        f'{base_x - dy * 4:.1f},{base_y + dx * 4:.1f} '
        f'{base_x + dy * 4:.1f},{base_y - dx * 4:.1f}'
    )
    _add(root, 'polygon', points=points, fill=_ARROW)


def _shorten(text):
    text = ' '.join(text.split())
    if len(text) <= _MAX_LABEL:
        return text
    return text[: _MAX_LABEL - 1] + '…'
