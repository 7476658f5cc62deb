import json

import testtools

from sniperudder import logs


def make_line(clock, subject, event='request:sent', **fields):
    """Return a line of a log."""
    line = {
        'message_type': event,
        'subject': subject,
        'clock': clock,
        'instance': 'entry-1',
        **fields,
    }
    return json.dumps(line)


class TestStory(testtools.TestCase):
    def test_lines_are_sorted_by_clock(self):
        story = logs.read_story(
            [make_line(5, 'r-1'), make_line(3, 'r-1'), make_line(4, 'r-2')],
            'r-1',
        )
        self.assertEqual([3, 5], [line.clock for line in story.lines])

    def test_subject_in_a_field_matches(self):
        lines = [make_line(1, 'r-1', path='10.1.0.1:80=0-8')]
        self.assertEqual(1, len(logs.read_story(lines, '10.1.0.1:80').lines))

    def test_part_of_a_word_does_not_match(self):
        lines = [
            make_line(1, 'r-10', sends=['gpu-12: 200']),
            make_line(2, 'x', callers='10.2.0.9:8744', row_version=39),
        ]
        for subject in ('r-1', 'gpu-1', '9', '10.2'):
            self.assertEqual((), logs.read_story(lines, subject).lines)
        for subject in ('gpu-12', '10.2.0.9', '39'):
            self.assertEqual(1, len(logs.read_story(lines, subject).lines))

    def test_foreign_and_truncated_lines_are_skipped_and_counted(self):
        complete = make_line(1, 'r-1')
        lines = [
            complete,
            complete[:20],
            'Traceback',
            '[1]',
            '{"a": 1}',
            '{' * 9,
        ]
        story = logs.read_story(lines, 'r-1')
        self.assertEqual((1, 5), (len(story.lines), story.skipped))
        self.assertIn('5 lines skipped', logs.render_story(story))

    def test_no_matching_lines(self):
        self.assertEqual('', logs.render_story(logs.read_story([], 'r-1')))
