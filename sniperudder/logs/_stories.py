"""Collecting the log lines that concern one subject."""

import dataclasses
import json
import re

from sniperudder.logs import _events


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """A parsed line of a log.

    Attributes
    ----------
    clock : int
        Value of the Lamport clock, microseconds.
    instance, event, subject : str
    fields : dict
        The remaining fields of the line.
    """

    clock: int
    instance: str
    event: str
    subject: str
    fields: dict


@dataclasses.dataclass(frozen=True, slots=True)
class Story:
    """The log lines that concern a subject.

    Attributes
    ----------
    lines : tuple of LogLine
        Sorted by Lamport clock.
    skipped : int
        Number of lines that are truncated or not log lines.
    """

    lines: tuple
    skipped: int


def read_story(lines, subject):
    """Collect the lines on a request, endpoint, version or lease.

    Parameters
    ----------
    lines : iterable of str
        Lines of any number of logs, concatenated; text before the JSON
        object of a line is ignored.
    subject : str
        A line matches if this is its subject, or if one of its other
        fields contains this as a whole word.

    Returns
    -------
    Story

    Examples
    --------
    >>> story = read_story(
    ...     ['x {"message_type": "request:end", "subject": "r-1",'
    ...      ' "clock": 2, "instance": "a", "code": 300}', '{"cut'], 'r-1')
    >>> [(line.event, line.fields) for line in story.lines], story.skipped
    ([('request:end', {'code': 300})], 1)
    """
    mention = re.compile(rf'(?<![\w.-]){re.escape(subject)}(?![\w.-])')
    matches, skipped = [], 0
    for text in lines:
        if not text.strip():
            continue
        line = _parse_line(text)
        if line is None:
            skipped += 1
        elif line.subject == subject or mention.search(str(line.fields)):
            matches.append(line)
    matches.sort(key=lambda line: line.clock)
    return Story(tuple(matches), skipped)


def render_story(story):
    """Render a story as text, with times relative to its first line.

    Returns
    -------
    str
    """
    rows = []
    for line in story.lines:
        since_s = (line.clock - story.lines[0].clock) / 1e6
        fields = ' '.join(
            f'{name}={json.dumps(value)}'
            for name, value in line.fields.items()
        )
        rows.append(
            f'{since_s:9.4f} {line.instance} {line.event} '
            f'{line.subject} {fields}'.rstrip()
        )
    if story.skipped:
        rows.append(f'({story.skipped} lines skipped: not log lines)')
    return '\n'.join(rows)


def _parse_line(text):
    start = text.find('{')
    if start < 0:
        return None
    try:
        value = json.loads(text[start:])
        return LogLine(
            clock=int(value['clock']),
            instance=str(value['instance']),
            event=str(value['message_type']),
            subject=str(value.get('subject', '')),
            fields={
                name: field
                for name, field in value.items()
                if name not in _events.COMMON_FIELDS
            },
        )
    except (AttributeError, KeyError, RecursionError, TypeError, ValueError):
        return None
