import json
import os
import tempfile
from xml.etree import ElementTree

import testtools

from sniperudder import logs
from sniperudder.logs import _events

_SVG = '{http://www.w3.org/2000/svg}'


def _make_line(clock, instance, kind, level=(1,), task='t', **fields):
    return json.dumps(
        {
            'clock': clock,
            'instance': instance,
            'sequence': clock,
            'timestamp': 1e9 - clock,
            'message_type': kind,
            'task_uuid': task,
            'task_level': level,
            **fields,
        }
    )


class TimelineTestCase(testtools.TestCase):
    def read(self, *files, only=''):
        paths = []
        for lines in files:
            handle, path = tempfile.mkstemp()
            self.addCleanup(os.unlink, path)
            with open(handle, 'w', encoding='utf-8') as file:
                file.write('\n'.join(lines))
            paths.append(path)
        return logs.read_timeline(paths, only)


class TestReadTimeline(TimelineTestCase):
    def test_order_is_causal_despite_wall_clock_times(self):
        timeline = self.read(
            [_make_line(2, 'b', 'x'), _make_line(9, 'b', 'x')],
            [_make_line(3, 'a', 'x'), _make_line(2, 'a', 'x')],
        )
        found = [(item.clock, item.instance) for item in timeline.events]
        self.assertEqual([(2, 'a'), (2, 'b'), (3, 'a'), (9, 'b')], found)

    def test_unreadable_lines_are_counted(self):
        lines = (
            _make_line(1, 'a', 'x'),
            '{"clock": 2, "inst',
            '[]',
            '7',
            _make_line(2, 'a', 'x').replace('2', 'null', 1),
            _make_line(3, 'a', 'x', level=['b']),
            '\x00',
        )
        timeline = self.read(lines)
        self.assertEqual(1, len(timeline.events))
        self.assertEqual(6, timeline.skipped)
        self.assertIn('6 lines', logs.render_text(timeline))

    def test_filter_by_text(self):
        lines = (
            _make_line(1, 'a', 'x', subject='r-1'),
            _make_line(2, 'a', 'x', subject='r-2', code=204),
        )
        (event,) = self.read(lines, only='code=204').events
        self.assertEqual('r-2', event.subject)


class TestFindArrows(TimelineTestCase):
    def test_arrow_starts_before_the_reserved_level(self):
        events = self.read(
            [
                _make_line(1, 'a', 'start', [1]),
                _make_line(2, 'a', 'send', [2]),
                _make_line(3, 'a', 'end', [4]),
                _make_line(4, 'b', 'start', [3, 1]),
                _make_line(5, 'b', 'work', [3, 2]),
                _make_line(6, 'c', 'start', [3, 3, 1]),
                _make_line(7, 'a', 'inner', [5, 1]),
                _make_line(8, 'b', 'other', [3, 1], task='u'),
            ]
        ).events
        arrows = [(a.start, a.end) for a in _events.find_arrows(events)]
        self.assertEqual([(1, 3), (4, 5)], arrows)


class TestRenderSvg(TimelineTestCase):
    def render(self, *files):
        return ElementTree.fromstring(logs.render_svg(self.read(*files)))

    def test_lanes_markers_and_arrow(self):
        root = self.render(
            [_make_line(1, 'a', 'start'), _make_line(2, 'b', 'start', [2, 1])]
        )
        self.assertEqual(2, len(root.findall(f'{_SVG}g')))
        self.assertEqual(1, len(root.findall(f'{_SVG}polygon')))
        names = [item.text for item in root.findall(f'{_SVG}text')]
        self.assertIn('a', names)
        self.assertIn('b', names)

    def test_markup_in_labels_is_escaped(self):
        markup = '<script>&"\x00\x1b\ud800'
        root = self.render([_make_line(1, 'a', 'x', subject=markup)])
        (label,) = root.findall(f'{_SVG}g/{_SVG}text')
        self.assertTrue(label.text.startswith('x <script>&"'))

    def test_only_the_last_events_are_drawn_beyond_the_limit(self):
        lines = [_make_line(n, 'a', 'x', task=str(n)) for n in range(1, 5004)]
        root = self.render(lines)
        self.assertEqual(5000, len(root.findall(f'{_SVG}g')))
        self.assertEqual(
            'UTC, 3 earlier events omitted', root.find(f'{_SVG}text').text
        )

    def test_no_events(self):
        self.assertIsNotNone(self.render([]).find(f'{_SVG}rect'))
