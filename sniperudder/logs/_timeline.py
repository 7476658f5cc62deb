"""Rendering a timeline as text and as SVG."""

import datetime
from xml.etree import ElementTree

from sniperudder.logs import _events

_LANE_PX = 260
_TIME_COLUMN_PX = 110
_HEADER_PX = 44
_ROW_PX = 20
_MARKER_RADIUS_PX = 4
_MAX_LABEL_CHARS = 34

# SVG viewers become slow with more events than this.
_MAX_EVENTS = 5_000

_TEXT_COLOUR = '#222222'
_LANE_COLOUR = '#c8c8c8'
_ARROW_COLOUR = '#3465a4'
_INSTANCE_COLOURS = (
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
    """Render a timeline as text, one line per event.

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
    """Render a timeline as SVG, with one lane per process.

    Time runs downwards, with one row per event in causal order, so that
    labels do not overlap. If there are too many events for one image,
    only the last ones are drawn.

    Parameters
    ----------
    timeline : Timeline

    Returns
    -------
    str
    """
    events = timeline.events[-_MAX_EVENTS:]
    lanes = {name: n for n, name in enumerate(_list_instances(events))}
    width = _TIME_COLUMN_PX + _LANE_PX * max(len(lanes), 1)
    height = _HEADER_PX + _ROW_PX * (len(events) + 1)
    root = _create_root(width, height)
    omitted_count = len(timeline.events) - len(events)
    caption = _add_element(
        root, 'text', x=8, y=_HEADER_PX - 18, fill=_TEXT_COLOUR
    )
    caption.text = (
        f'UTC, {omitted_count} earlier events omitted'
        if omitted_count
        else 'UTC'
    )
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
    _add_element(root, 'title').text = 'Timeline of all processes'
    _add_element(root, 'rect', width=width, height=height, fill='white')
    return root


def _add_element(parent, tag, **attributes):
    names = {
        name.replace('_', '-'): str(value)
        for name, value in attributes.items()
    }
    return ElementTree.SubElement(parent, tag, names)


def _compute_lane_x(lane):
    return _TIME_COLUMN_PX + _LANE_PX * lane + 12


def _compute_row_y(row):
    return _HEADER_PX + _ROW_PX * row + _ROW_PX // 2


def _choose_colour(lane):
    return _INSTANCE_COLOURS[lane % len(_INSTANCE_COLOURS)]


def _draw_lane(root, name, lane, height):
    x = _compute_lane_x(lane)
    _add_element(
        root,
        'line',
        x1=x,
        y1=_HEADER_PX - 8,
        x2=x,
        y2=height,
        stroke=_LANE_COLOUR,
    )
    heading = _add_element(
        root,
        'text',
        x=x - 6,
        y=_HEADER_PX - 18,
        font_size=13,
        font_weight='bold',
        fill=_choose_colour(lane),
    )
    heading.text = _truncate_label(name)


def _draw_event(root, event, lane, row):
    x = _compute_lane_x(lane)
    y = _compute_row_y(row)
    time = _add_element(root, 'text', x=8, y=y + 4, fill=_TEXT_COLOUR)
    time.text = _render_time(event.time)
    group = _add_element(root, 'g')
    _add_element(group, 'title').text = _render_line(event, 0)
    _add_element(
        group,
        'circle',
        cx=x,
        cy=y,
        r=_MARKER_RADIUS_PX,
        fill=_choose_colour(lane),
    )
    # The white outline keeps the label legible where an arrow crosses it.
    label = _add_element(
        group,
        'text',
        x=x + 9,
        y=y + 4,
        fill=_TEXT_COLOUR,
        stroke='white',
        stroke_width=3,
        paint_order='stroke',
    )
    label.text = _truncate_label(
        f'{event.kind} {event.subject} {event.detail}'
    )


def _draw_arrow(root, events, lanes, arrow):
    start = lanes[events[arrow.start].instance]
    end = lanes[events[arrow.end].instance]
    x1 = _compute_lane_x(start)
    y1 = _compute_row_y(arrow.start)
    x2 = _compute_lane_x(end)
    y2 = _compute_row_y(arrow.end)
    _add_element(
        root,
        'line',
        x1=x1,
        y1=y1,
        x2=x2,
        y2=y2,
        stroke=_ARROW_COLOUR,
        stroke_opacity=0.6,
    )
    _draw_arrowhead(root, x1, y1, x2, y2)


def _draw_arrowhead(root, x1, y1, x2, y2):
    """Draw an arrowhead as a polygon; some viewers lack SVG markers."""
    length = ((x2 - x1) ** 2 + (y2 - y1) ** 2) ** 0.5
    dx = (x2 - x1) / length
    dy = (y2 - y1) / length
    tip_x = x2 - dx * _MARKER_RADIUS_PX
    tip_y = y2 - dy * _MARKER_RADIUS_PX
    base_x = tip_x - dx * 9
    base_y = tip_y - dy * 9
    points = (
        f'{tip_x:.1f},{tip_y:.1f} '
        f'{base_x - dy * 4:.1f},{base_y + dx * 4:.1f} '
        f'{base_x + dy * 4:.1f},{base_y - dx * 4:.1f}'
    )
    _add_element(root, 'polygon', points=points, fill=_ARROW_COLOUR)


def _truncate_label(text):
    text = ' '.join(text.split())
    if len(text) <= _MAX_LABEL_CHARS:
        return text
    return text[: _MAX_LABEL_CHARS - 1] + '…'
